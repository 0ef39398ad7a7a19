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
	scheduleCount = flag.Int("schedules", 24, "drawn schedules that are played of each kind")
	firstSeed     = flag.Uint64("from", 1, "the seed of the first one")
	showTrace     = flag.Bool("show", false, "tell what happens")
	onlyKind      = flag.String("only", "", "draw this kind of fault alone")
)

const (
	faultsUntil         = 40 * time.Second
	quietTime           = 8 * time.Second
	overlapRecoveryTime = 12 * time.Second // after more faults than are tolerated
	acknowledgeTimeout  = 5 * time.Second  // after the end of all faults
	callInterval        = 60 * time.Millisecond
)

// schedule is a kind of run with drawn faults.
type schedule struct {
	machines, tolerance int
	overlap             bool              // more machines may be lost than are tolerated, though not their disks
	kinds               []simulation.Kind // of faults, nil for all
	sync                time.Duration     // mean duration of a write, 0 for a drawn one
}

func (s schedule) String() string {
	if s.overlap {
		return fmt.Sprintf("%d machines, more than tolerated", s.machines)
	}
	return fmt.Sprintf("%d machines", s.machines)
}

// schedules are the kinds of runs.
var schedules = []schedule{{machines: 3, tolerance: 1}, {machines: 6, tolerance: 2}, {machines: 8, tolerance: 2},
	{machines: 3, tolerance: 1, overlap: true}, {machines: 6, tolerance: 2, overlap: true}}

// run runs one schedule.
func (s schedule) run(seed uint64, bug simulation.Bug, trace func(string, ...any)) *simulation.World {
	w := simulation.New(simulation.Options{Seed: seed, Machines: s.machines, Tolerance: s.tolerance, Application: simulation.Counter{},
		Bug: bug, Sync: s.sync, Trace: trace})
	w.StartAll()
	kinds := s.kinds
	if kinds == nil {
		kinds = simulation.Kinds()
	}
	if *onlyKind != "" {
		kinds = []simulation.Kind{simulation.Kind(*onlyKind)}
	}
	d := w.InjectFaults(kinds, faultsUntil, s.overlap)
	startClients(w, seed)
	w.Run(faultsUntil)
	for w.Violation == nil && w.Now < d.EndsAt() {
		w.Run(d.EndsAt())
	}
	settleTime := quietTime
	if s.overlap {
		settleTime = overlapRecoveryTime + acknowledgeTimeout
	}
	w.Run(w.Now + settleTime)
	if w.Violation == nil && w.Now-w.History.LastAcknowledged > acknowledgeTimeout {
		w.Fail("no command was acknowledged since %v", w.History.LastAcknowledged)
	}
	w.CheckEnd()
	w.CheckHistory()
	return w
}

// startClients starts clients. In every other schedule they are sequential, so that the complete
// history can be checked; in the others one of them builds on versions that it doesn't know to
// be in force.
func startClients(w *simulation.World, seed uint64) {
	for i := range 3 {
		c := w.NewClient(seed%2 == 0)
		if seed%2 == 1 && i == 0 {
			c.BuildAhead()
		}
		c.Loop(callInterval)
	}
}

// Whatever is drawn of the kinds of faults of the operators' bench: acknowledged commands are
// durable, reads are never stale, no command is rejected after it was accepted or accepted after
// it was rejected, no epoch has two views and no shard two owners, and commands are acknowledged
// again once all faults are over. Within the tolerance they are acknowledged whenever nothing
// has changed for a while.
func TestPromisesHoldUnderDrawnFaults(t *testing.T) {
	for _, s := range schedules {
		t.Run(s.String(), func(t *testing.T) {
			is := is.New(t)
			var commands, reads, views atomic.Int64
			runAll(*scheduleCount, func(seed uint64) {
				var trace func(string, ...any)
				if *showTrace {
					trace = t.Logf
				}
				w := s.run(seed, simulation.NoBug, trace)
				if w.Violation != nil {
					t.Errorf("seed %d: %v", seed, w.Violation)
				}
				commands.Add(int64(w.History.Commands))
				reads.Add(int64(w.History.Reads))
				views.Add(int64(w.History.NewestEpoch()))
			})
			t.Logf("%d schedules: %d commands acknowledged, %d reads, %d views", *scheduleCount, commands.Load(), reads.Load(), views.Load())
			is.True(int(commands.Load()) > *scheduleCount*100)
		})
	}
}

// runAll runs seeds on all processors.
func runAll(n int, run func(seed uint64)) {
	faultplan.ForEachParallel(n, func(i int) { run(*firstSeed + uint64(i)) })
}

// Each bug is found by the checks within some schedules, where need be with the kinds of faults
// that concern it.
func TestSchedulesFindBugs(t *testing.T) {
	three := schedules[0]
	powerLoss := schedule{machines: 3, tolerance: 1, sync: syncWithBug, kinds: []simulation.Kind{simulation.HerdKillOff, simulation.HerdKillAcknowledged, simulation.PowerOffAll}}
	for name, c := range map[string]struct {
		bug simulation.Bug
		schedule
	}{
		"acknowledged before the tail":        {simulation.EarlyReply, three},
		"written before the disk has it":      {simulation.EarlyWrite, powerLoss},
		"votes again after its disk was lost": {simulation.ReusedIdentity, three},
		"stale read":                          {simulation.UnconfirmedReads, three},
		"lease ignored":                       {simulation.IgnoredLease, three},
		"rejected without asking the members": {simulation.StaleRejections, three},
	} {
		t.Run(name, func(t *testing.T) {
			found := atomic.Int64{}
			runAll(maxBugSchedules, func(seed uint64) {
				if found.Load() > 0 {
					return
				}
				if w := c.run(seed, c.bug, nil); w.Violation != nil {
					found.Add(1)
					t.Logf("seed %d: %v", seed, w.Violation)
				}
			})
			if found.Load() == 0 {
				t.Errorf("not found in %d schedules", maxBugSchedules)
			}
		})
	}
}

// maxBugSchedules bounds the schedules within which a bug has to be found.
const maxBugSchedules = 300
