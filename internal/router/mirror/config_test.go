package mirror

import (
	"testing"
	"time"

	"reachspread/balance"
)

// A candidate pool is this router's alone: no other tells of its hosts, so it must not wait to
// hear, nor deal them out.
func TestCopiesTellNobody(t *testing.T) {
	c := copyConfig(balance.Config{Routers: 80, Self: 3, MayProbe: true, MaxRetryAfter: time.Second}, time.Second)
	if c.Routers != 0 || c.MayProbe || c.MaxRetryAfter != 0 {
		t.Errorf("got %d gateways, probes %v, advice %v; want none", c.Routers, c.MayProbe, c.MaxRetryAfter)
	}
}
