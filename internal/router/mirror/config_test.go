package mirror

import (
	"testing"
	"time"

	"reachspread/balance"
)

// No other router reports on the hosts of a candidate pool, so the pool's module must neither wait
// for reports nor share the hosts out.
func TestPoolModuleKnowsNoOtherRouter(t *testing.T) {
	c := copyConfig(balance.Config{Routers: 80, Self: 3, MayProbe: true, MaxRetryAfter: time.Second}, time.Second)
	if c.Routers != 0 || c.MayProbe || c.MaxRetryAfter != 0 {
		t.Errorf("got %d gateways, probes %v, advice %v; want none", c.Routers, c.MayProbe, c.MaxRetryAfter)
	}
}
