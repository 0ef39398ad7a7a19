package mirror

import (
	"testing"
	"time"

	"reachspread/balance"
)

// A candidate pool is this router's alone: no other tells of its hosts, so it must not wait to hear, nor deal them out.
func TestCopiesTellNobody(t *testing.T) {
	c := copyConfig(balance.Config{Gateways: 80, Me: 3, MayProbe: true, MaxAway: time.Second}, time.Second)
	if c.Gateways != 0 || c.MayProbe || c.MaxAway != 0 {
		t.Errorf("got %d gateways, probes %v, advice %v; want none", c.Gateways, c.MayProbe, c.MaxAway)
	}
}
