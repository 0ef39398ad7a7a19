package register_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/simulation"
)

// newWorld starts a simulated register of three machines, and writes its trace to the log of the
// test.
func newWorld(t *testing.T, seed uint64) *simulation.World {
	w := simulation.New(simulation.Options{Seed: seed, Machines: 3, Tolerance: 1, Application: simulation.Counter{}, Trace: t.Logf})
	w.StartAll()
	return w
}

// Three machines without faults agree on a view and stay in it.
func TestUndisturbedRegisterKeepsItsView(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1)
	w.NewClient(false).Loop(100 * time.Millisecond)
	w.Run(30 * time.Second)
	is.NoErr(w.Violation)
	is.Equal(w.History.NewestEpoch(), uint64(1))
	is.True(w.History.Acknowledged() > 100)
	is.True(w.History.Reads > 50)
}

// A machine that crashes is removed from the chain, and joins the chain again after its restart.
// The crash costs at most one further view. The restart costs at most two, where an epoch has to end
// before the machine can join.
func TestCrashedMemberRejoinsChain(t *testing.T) {
	for victim := range 3 {
		is := is.New(t)
		w := newWorld(t, uint64(victim))
		w.NewClient(false).Loop(50 * time.Millisecond)
		w.Run(5 * time.Second)
		w.Processes[victim].Crash()
		w.Run(9 * time.Second)
		is.NoErr(w.Violation)
		is.True(w.History.NewestEpoch() <= 2)
		is.True(w.Now-w.History.LastAcknowledged < time.Second)
		w.Processes[victim].Start()
		w.Run(13 * time.Second)
		is.NoErr(w.Violation)
		t.Logf("%d views", w.History.NewestEpoch())
		is.True(w.History.NewestEpoch() <= 4)
		is.Equal(len(w.Processes[victim].Core.View().Chain), 3)
	}
}
