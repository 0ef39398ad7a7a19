package node

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
)

var (
	manyRouters = flag.Int("many-routers", 60, "number of routers to which the hosts send heartbeats at once")
	manyHosts   = flag.Int("many-hosts", 1500, "number of hosts that send heartbeats at once")
)

// TestMeasureManyHosts has many hosts send heartbeats at once to all routers of a fleet in one
// process, and waits until every router knows every host. The result is the processor time of the
// test (go test -run MeasureManyHosts -measure).
func TestMeasureManyHosts(t *testing.T) {
	if !*measure {
		t.Skip("measurement, runs only with -measure; see docs/measurements/")
	}
	f := newFleet(t, *manyRouters, 3)
	f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 0)
	address := f.host("one")
	f.eventually("all routers know each other", func() bool {
		for i := range f.nodes {
			if f.nodes[i].plane.Routers() != len(f.nodes) {
				return false
			}
		}
		return true
	})
	var group sync.WaitGroup
	const callers = 8
	for w := range callers {
		group.Go(func() {
			for i := w; i < *manyHosts; i += callers {
				f.heartbeat(i%*manyRouters, fmt.Sprint("i-", i), "s", address, "ready", 1)
			}
		})
	}
	group.Wait()
	for i := range f.nodes {
		f.eventually(fmt.Sprint("router ", i, " knows all hosts"), func() bool {
			known, ok := query(t.Context(), f.nodes[i].hub, f.nodes[i].hub.registry.Len)
			return ok && known == *manyHosts
		})
	}
}
