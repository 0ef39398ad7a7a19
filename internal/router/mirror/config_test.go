package mirror

import (
	"testing"
	"time"

	"reachspread/balance"
)

// No other router reports on the hosts of a candidate pool. The balancer of the pool must therefore
// neither wait for such reports nor divide the hosts between routers.
func TestPoolModuleKnowsNoOtherRouter(t *testing.T) {
	c := copyConfig(balance.Config{Routers: 80, Self: 3, MayProbe: true, MaxRetryAfter: time.Second}, time.Second)
	if c.Routers != 0 || c.MayProbe || c.MaxRetryAfter != 0 {
		t.Errorf("got %d routers, MayProbe %v, MaxRetryAfter %v; want 0, false and 0", c.Routers, c.MayProbe, c.MaxRetryAfter)
	}
}
