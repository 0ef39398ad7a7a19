package register_test

import (
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/faultplan"
	"reachspread/coord/simulation"
)

var (
	drawn = flag.Int("schedules", 24, "drawn schedules that are played of each kind")
	from  = flag.Uint64("from", 1, "the seed of the first one")
	show  = flag.Bool("show", false, "tell what happens")
	only  = flag.String("only", "", "draw this kind of fault alone")
)

const (
	faultsFor   = 40 * time.Second
	calmAfter   = 8 * time.Second
	recoverIn   = 12 * time.Second // after faults that were more than is tolerated
	ackedWithin = 5 * time.Second  // of the end of all faults
	callEvery   = 60 * time.Millisecond
)

// schedule is how a drawn schedule is played.
type schedule struct {
	machines, tolerance int
	overlap             bool              // faults may be more than are tolerated, but for lost disks
	kinds               []simulation.Kind // that are drawn, nil for all
	sync                time.Duration     // that a disk takes for a write on average, 0 for a drawn one
}

func (s schedule) String() string {
	if s.overlap {
		return fmt.Sprintf("%d machines, more than tolerated", s.machines)
	}
	return fmt.Sprintf("%d machines", s.machines)
}

// schedules are all ways in which schedules are drawn.
var schedules = []schedule{{machines: 3, tolerance: 1}, {machines: 6, tolerance: 2}, {machines: 8, tolerance: 2},
	{machines: 3, tolerance: 1, overlap: true}, {machines: 6, tolerance: 2, overlap: true}}

// play plays one drawn schedule.
func (s schedule) play(seed uint64, plant simulation.Bug, trace func(string, ...any)) *simulation.World {
	w := simulation.New(simulation.Options{Seed: seed, Machines: s.machines, Tolerance: s.tolerance, Application: simulation.Counter{},
		Bug: plant, Sync: s.sync, Trace: trace})
	w.StartAll()
	kinds := s.kinds
	if kinds == nil {
		kinds = simulation.Kinds()
	}
	if *only != "" {
		kinds = []simulation.Kind{simulation.Kind(*only)}
	}
	d := w.InjectFaults(kinds, faultsFor, s.overlap)
	startClients(w, seed)
	w.Run(faultsFor)
	for w.Violation == nil && w.Now < d.EndsAt() {
		w.Run(d.EndsAt())
	}
	calm := calmAfter
	if s.overlap {
		calm = recoverIn + ackedWithin
	}
	w.Run(w.Now + calm)
	if w.Violation == nil && w.Now-w.History.LastAcknowledged > ackedWithin {
		w.Fail("no order was acknowledged since %v", w.History.LastAcknowledged)
	}
	w.CheckEnd()
	w.CheckHistory()
	return w
}

// startClients has clients call. In every other schedule they wait for each answer, so that the history can be checked as a whole; in the
// others one of them builds on versions that it does not know to be in force.
func startClients(w *simulation.World, seed uint64) {
	for i := range 3 {
		c := w.NewClient(seed%2 == 0)
		if seed%2 == 1 && i == 0 {
			c.BuildAhead()
		}
		c.Loop(callEvery)
	}
}

// Whatever is drawn of the kinds of faults that the operators' bench has: what was acknowledged is there, reads are never stale, no order
// is refused after it was taken or taken after it was refused, no epoch has two views, no duty two owners, and once it is over orders are
// acknowledged again. Within what is tolerated, orders are acknowledged whenever nothing has changed for a while.
func TestDrawnSchedules(t *testing.T) {
	for _, s := range schedules {
		t.Run(s.String(), func(t *testing.T) {
			is := is.New(t)
			var orders, reads, views atomic.Int64
			playAll(*drawn, func(seed uint64) {
				var trace func(string, ...any)
				if *show {
					trace = t.Logf
				}
				w := s.play(seed, simulation.NoBug, trace)
				if w.Violation != nil {
					t.Errorf("seed %d: %v", seed, w.Violation)
				}
				orders.Add(int64(w.History.Commands))
				reads.Add(int64(w.History.Reads))
				views.Add(int64(w.History.NewestEpoch()))
			})
			t.Logf("%d schedules: %d orders acknowledged, %d reads, %d views", *drawn, orders.Load(), reads.Load(), views.Load())
			is.True(int(orders.Load()) > *drawn*100)
		})
	}
}

// playAll plays seeds on all cores.
func playAll(n int, play func(seed uint64)) {
	faultplan.Parallel(n, func(i int) { play(*from + uint64(i)) })
}

// Each planted fault is found by the checks within some schedules, where need be of the kinds that concern it.
func TestPlantedFaults(t *testing.T) {
	three := schedules[0]
	power := schedule{machines: 3, tolerance: 1, sync: plantedSync, kinds: []simulation.Kind{simulation.HerdKillOff, simulation.HerdKillAcknowledged, simulation.PowerOffAll}}
	for name, c := range map[string]struct {
		plant simulation.Bug
		schedule
	}{
		"acknowledged before the tail":       {simulation.EarlyReply, three},
		"written before the disk has it":     {simulation.EarlyWrite, power},
		"votes again after its disk is gone": {simulation.KeptIdentity, three},
		"stale read":                         {simulation.UnconfirmedReads, three},
		"lease ignored":                      {simulation.IgnoredLease, three},
		"refused without asking the members": {simulation.StaleRejections, three},
	} {
		t.Run(name, func(t *testing.T) {
			found := atomic.Int64{}
			playAll(mostPlanted, func(seed uint64) {
				if found.Load() > 0 {
					return
				}
				if w := c.play(seed, c.plant, nil); w.Violation != nil {
					found.Add(1)
					t.Logf("seed %d: %v", seed, w.Violation)
				}
			})
			if found.Load() == 0 {
				t.Errorf("not found in %d schedules", mostPlanted)
			}
		})
	}
}

// mostPlanted bounds the schedules in which a planted fault has to be found.
const mostPlanted = 300
