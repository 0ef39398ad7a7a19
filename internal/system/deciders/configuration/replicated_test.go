package configuration_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/faultplan"
	"reachspread/coord/simulation"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/message"
)

var (
	replicatedSchedules = flag.Int("replicated", 8, "number of random fault schedules of the configuration store to simulate for each case")
	showReplicated      = flag.Bool("replicated-show", false, "log the events of the simulation")
)

// storeApplication lets a simulation run the store. Each order is a complete configuration or a
// patch.
type storeApplication struct {
	routes int // number of routes of a configuration, besides the route that has the name of the order
}

// New implements simulation.Application.
func (storeApplication) New() chain.Machine { return configuration.NewStore() }

// Version implements simulation.Application.
func (storeApplication) Version(m chain.Machine) int {
	state, _ := m.Value().(*configuration.State)
	return int(state.Version())
}

// Encode implements simulation.Application. The order is a PATCH if the next version is odd and a
// configuration is in force, and otherwise a PUT.
func (r storeApplication) Encode(o simulation.Command) []byte {
	order := &message.Order{Kind: message.Order_PUT, IfMatch: int64(o.Base), Body: r.document(o)}
	if o.Base > 0 && o.Next%2 == 1 {
		order.Kind = message.Order_PATCH
		order.Body = patchOf(o)
	}
	text, _ := proto.Marshal(order)
	return text
}

const (
	serviceName   = "s"
	nameDelimiter = "|"
)

// patchOf returns a patch of the route that has the name of the order.
func patchOf(o simulation.Command) []byte {
	return fmt.Appendf(nil, `{"version":%d,"upsert":{"routes":[%s]}}`, o.Next, routeOf(o.Name))
}

// routeOf returns the route that has the name of an order in its path prefix, between delimiters.
func routeOf(name string) string {
	return fmt.Sprintf(`{"name":"maker","host":"maker.example","pathPrefix":"/%s%s%s/","kind":"safe","timeoutMs":1000,"service":%q,"maxAttempts":1}`,
		nameDelimiter, name, nameDelimiter, serviceName)
}

// document returns a complete configuration with the name of an order.
func (r storeApplication) document(o simulation.Command) []byte {
	routes := []string{routeOf(o.Name)}
	for i := range r.routes {
		routes = append(routes, fmt.Sprintf(`{"name":"r%d","host":"h%d.example","pathPrefix":"/p%d/","kind":"safe","timeoutMs":1000,"service":%q,"maxAttempts":2}`, i, i, i, serviceName))
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":%q,"healthCheckPath":"/h","connectionLimit":10}],`+
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4096,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`, o.Next, strings.Join(routes, ","), serviceName)
}

// NameOf implements simulation.Application. It finds the name of the order between the delimiters.
func (storeApplication) NameOf(change []byte) string {
	in := &message.Change{}
	if proto.Unmarshal(change, in) != nil {
		return ""
	}
	parts := strings.SplitN(string(in.Order.GetBody()), nameDelimiter, 3)
	if len(parts) < 3 {
		return ""
	}
	return parts[1]
}

// Outcome implements simulation.Application. It interprets the status as the control API reports it
// to an operator.
func (storeApplication) Outcome(reply []byte) (simulation.Outcome, error) {
	out := &message.OrderReply{}
	if err := proto.Unmarshal(reply, out); err != nil {
		return simulation.Outcome{}, err
	}
	o := simulation.Outcome{Version: int(out.Version)}
	switch {
	case out.Status == http.StatusOK:
		o.Verdict = simulation.Accepted
	case out.Status == http.StatusPreconditionFailed:
		o.Verdict = simulation.Rejected
	case out.Status < http.StatusInternalServerError:
		return o, fmt.Errorf("a valid order was answered with status %d: %s", out.Status, out.Text)
	}
	return o, nil
}

const (
	storeFaultDuration = 30 * time.Second
	storeRecoveryTime  = 17 * time.Second
	storeCallInterval  = 150 * time.Millisecond
	largeCallInterval  = time.Second // each read of 170 kB occupies the tail's link for 0.14 s
)

// simulateStore simulates the store under random faults, checks that it recovers, and checks the
// history of orders and reads. The bandwidth of each machine is in bytes per second; 0 means
// unlimited.
func simulateStore(seed uint64, machines, tolerance, routes, bandwidth int, overlap bool, trace func(string, ...any)) *simulation.World {
	w := simulation.New(simulation.Options{Seed: seed, Machines: machines, Tolerance: tolerance, Application: storeApplication{routes}, Bandwidth: bandwidth, Trace: trace})
	w.StartAll()
	d := w.InjectFaults(simulation.Kinds(), storeFaultDuration, overlap)
	for i := range 2 {
		c := w.NewClient(seed%2 == 0)
		if seed%2 == 1 && i == 0 {
			c.BuildAhead()
		}
		if bandwidth > 0 {
			c.Loop(largeCallInterval)
		} else {
			c.Loop(storeCallInterval)
		}
	}
	w.Run(storeFaultDuration)
	for w.Violation == nil && w.Now < d.EndsAt() {
		w.Run(d.EndsAt())
	}
	w.Run(w.Now + storeRecoveryTime)
	if w.Violation == nil && w.Now-w.History.LastAcknowledged > storeRecoveryTime/2 {
		w.Fail("no order was acknowledged after %v", w.History.LastAcknowledged)
	}
	w.CheckEnd()
	w.CheckHistory()
	return w
}

// The store stays consistent and recovers under random faults of the kinds that the operators'
// bench injects. The orders are complete configurations and patches. Most cases have small
// configurations; one has configurations of 170 kB over links of 10 Mbit/s.
func TestReplicatedStoreUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name                         string
		machines, tolerance          int
		routes, bandwidth, schedules int
		overlap                      bool
	}{
		{"three machines", 3, 1, 2, 0, *replicatedSchedules, false},
		{"six machines", 6, 2, 2, 0, *replicatedSchedules, false},
		{"more than tolerated", 3, 1, 2, 0, *replicatedSchedules, true},
		{"large, 10 Mbit/s", 3, 1, 1200, 10_000_000 / 8, max(*replicatedSchedules/6, 1), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var orders, reads atomic.Int64
			var trace func(string, ...any)
			if *showReplicated {
				trace = t.Logf
			}
			faultplan.ForEachParallel(c.schedules, func(i int) {
				w := simulateStore(uint64(i+1), c.machines, c.tolerance, c.routes, c.bandwidth, c.overlap, trace)
				if w.Violation != nil {
					t.Errorf("seed %d: %v", i+1, w.Violation)
				}
				orders.Add(int64(w.History.Commands))
				reads.Add(int64(w.History.Reads))
			})
			t.Logf("%d schedules: %d orders acknowledged, %d reads", c.schedules, orders.Load(), reads.Load())
			is.True(int(orders.Load()) > 10*c.schedules)
		})
	}
}

// A restarted member that missed hundreds of changes to a large configuration rejoins the chain
// within the operators' time limit. Its link has 10 Mbit/s. In the further cases its disk is slow,
// it is killed repeatedly while it receives the snapshot, or its disk is wiped.
func TestMemberCatchesUpInTime(t *testing.T) {
	const (
		routes       = 1200 // 170 kB
		changes      = 300
		downtime     = 20 * time.Second
		catchUpLimit = 4 * time.Second
	)
	for _, c := range []struct {
		name   string
		faults func(w *simulation.World, p *simulation.Process)
		within time.Duration
	}{
		{"nothing else", func(*simulation.World, *simulation.Process) {}, catchUpLimit},
		{"a slow disk", func(_ *simulation.World, p *simulation.Process) { p.SlowDisk(30*time.Millisecond, time.Minute) }, catchUpLimit},
		{"killed again and again", func(w *simulation.World, p *simulation.Process) {
			for i := range 3 {
				w.After(time.Duration(i+1)*150*time.Millisecond, p.Crash)
				w.After(time.Duration(i+1)*150*time.Millisecond+50*time.Millisecond, p.Start)
			}
		}, catchUpLimit + time.Second},
		{"its disk is gone", func(_ *simulation.World, p *simulation.Process) {}, catchUpLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := simulation.New(simulation.Options{Seed: 3, Machines: 3, Tolerance: 1, Application: storeApplication{routes}, Bandwidth: 10_000_000 / 8, Sync: time.Millisecond})
			w.StartAll()
			w.NewClient(true).Loop(20 * time.Millisecond)
			w.Run(3 * time.Second)
			restarted := w.Processes[0]
			restarted.Crash()
			w.Run(3*time.Second + downtime)
			for w.Violation == nil && w.History.Commands < changes && w.Now < 5*time.Minute {
				w.Run(w.Now + time.Second)
			}
			is.True(w.History.Commands >= changes)
			if c.name == "its disk is gone" {
				restarted.Wipe()
			}
			restartedAt := w.Now
			restarted.Start()
			c.faults(w, restarted)
			for w.Violation == nil && w.Now < restartedAt+2*c.within && !inChain(w.Processes[1], restarted) {
				w.Run(w.Now + 20*time.Millisecond)
			}
			is.NoErr(w.Violation)
			t.Logf("in the chain after %v", w.Now-restartedAt)
			is.True(inChain(w.Processes[1], restarted))
			is.True(w.Now-restartedAt <= c.within)
			w.CheckEnd()
			is.NoErr(w.Violation)
		})
	}
}

// inChain reports whether a process is in the chain, with the complete state, by the latest view
// that another process knows.
func inChain(other, p *simulation.Process) bool {
	v := other.Core.View()
	if !p.Up() || p.Core.View().Epoch != v.Epoch {
		return false
	}
	for _, m := range v.Members {
		if m.Address != p.Address {
			continue
		}
		for _, identity := range v.Chain {
			if identity == m.Identity {
				return p.Core.Position().StateEpoch == v.Epoch
			}
		}
	}
	return false
}

// orderOn returns an encoded order that replaces the configuration of version base by one of
// version next.
func orderOn(base, next int64, name string) []byte {
	text, _ := proto.Marshal(&message.Order{Kind: message.Order_PUT, IfMatch: base,
		Body: storeApplication{1}.document(simulation.Command{Name: name, Base: int(base), Next: int(next)})})
	return text
}

// decide runs an order through Decide and Apply.
func decide(t *testing.T, s *configuration.Store, order []byte) *message.OrderReply {
	t.Helper()
	change, reply := s.Decide(order)
	if change != nil {
		s.Apply(change)
	}
	out := &message.OrderReply{}
	if err := proto.Unmarshal(reply, out); err != nil {
		t.Fatal(err)
	}
	return out
}

// An applied order that is sent again is acknowledged again: after hundreds of later orders, after
// a snapshot is restored, and until MaxDigests later orders have displaced its digest. If two
// operators send the same bytes, both are acknowledged. Of two different orders for the same
// version, one is rejected.
func TestOrderSentAgainIsAcknowledged(t *testing.T) {
	is := is.New(t)
	s := configuration.NewStore()
	is.Equal(decide(t, s, orderOn(0, 1, "first")).Status, int32(http.StatusOK))
	// Another operator sends the same bytes.
	is.Equal(decide(t, s, orderOn(0, 1, "first")).Status, int32(http.StatusOK))
	is.Equal(decide(t, s, orderOn(0, 1, "rival")).Status, int32(http.StatusPreconditionFailed))
	for v := int64(1); v < 700; v++ {
		is.Equal(decide(t, s, orderOn(v, v+1, "later")).Status, int32(http.StatusOK))
	}
	is.Equal(decide(t, s, orderOn(0, 1, "first")).Status, int32(http.StatusOK))
	restored := configuration.NewStore()
	is.NoErr(restored.Restore(s.Snapshot()))
	is.Equal(decide(t, restored, orderOn(0, 1, "first")).Status, int32(http.StatusOK))
	is.Equal(decide(t, restored, orderOn(0, 1, "rival")).Status, int32(http.StatusPreconditionFailed))
	for v := int64(700); v < configuration.MaxDigests; v++ {
		decide(t, restored, orderOn(v, v+1, "later"))
	}
	// MaxDigests orders are applied, so the digest of the first one is still retained.
	is.Equal(decide(t, restored, orderOn(0, 1, "first")).Status, int32(http.StatusOK))
	// One more order displaces the digest of the first one.
	is.Equal(decide(t, restored, orderOn(configuration.MaxDigests, configuration.MaxDigests+1, "one more")).Status, int32(http.StatusOK))
	// The first order is now rejected like any order for an old version.
	is.Equal(decide(t, restored, orderOn(0, 1, "first")).Status, int32(http.StatusPreconditionFailed))
	// The digest of the second order is still retained.
	is.Equal(decide(t, restored, orderOn(1, 2, "later")).Status, int32(http.StatusOK))
	is.True(json.Valid(restored.Value().(*configuration.State).JSON()))
}

// An order for a later version than the one in force is not applied, but it may be retried. The
// retry is applied once that version is in force.
func TestOrderForLaterVersionMayBeRetried(t *testing.T) {
	is := is.New(t)
	s := configuration.NewStore()
	decide(t, s, orderOn(0, 3, "first"))
	is.Equal(decide(t, s, orderOn(5, 7, "second")).Status, int32(http.StatusServiceUnavailable))
	is.Equal(decide(t, s, orderOn(3, 5, "between")).Status, int32(http.StatusOK))
	is.Equal(decide(t, s, orderOn(5, 7, "second")).Status, int32(http.StatusOK))
	is.Equal(decide(t, s, orderOn(3, 5, "rival")).Status, int32(http.StatusPreconditionFailed))
}
