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
	scheduleCount = flag.Int("schedules", 24, "random runs of each schedule")
	firstSeed     = flag.Uint64("from", 1, "the seed of the first run")
	showTrace     = flag.Bool("show", false, "log every event of each run")
	onlyKind      = flag.String("only", "", "inject only faults of this kind")
)

const (
	faultsUntil         = 40 * time.Second      // no fault begins later
	quietTime           = 8 * time.Second       // run time after the end of all faults
	overlapRecoveryTime = 12 * time.Second      // recovery time after more faults than are tolerated
	acknowledgeTimeout  = 5 * time.Second       // a command must be acknowledged within this time before the end of a run
	callInterval        = 60 * time.Millisecond // mean time between two calls of a client
)

// schedule describes runs with random faults.
type schedule struct {
	machines, tolerance int
	overlap             bool              // more machines than tolerated may fail at once, though not lose their disks
	kinds               []simulation.Kind // the kinds of faults to inject, nil for all
	sync                time.Duration     // the mean duration of a write; if 0, the world draws one from the seed
}

func (s schedule) String() string {
	if s.overlap {
		return fmt.Sprintf("%d machines, more than tolerated", s.machines)
	}
	return fmt.Sprintf("%d machines", s.machines)
}

// schedules are the schedules that the tests run.
var schedules = []schedule{{machines: 3, tolerance: 1}, {machines: 6, tolerance: 2}, {machines: 8, tolerance: 2},
	{machines: 3, tolerance: 1, overlap: true}, {machines: 6, tolerance: 2, overlap: true}}

// run runs the schedule with a seed and returns the world at the end of the run.
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

// startClients starts three clients. With an even seed they are sequential, so that the complete
// history can be checked. With an odd seed, one of them submits commands that build on versions
// before the answers about those versions have arrived.
func startClients(w *simulation.World, seed uint64) {
	for i := range 3 {
		c := w.NewClient(seed%2 == 0)
		if seed%2 == 1 && i == 0 {
			c.BuildAhead()
		}
		c.Loop(callInterval)
	}
}

// The guarantees of a register hold under random faults of all kinds that the operators' bench
// injects. Acknowledged commands are durable and reads are never stale. No command is rejected after
// it was accepted, or accepted after it was rejected. No epoch has two views and no shard has two
// owners. Commands are acknowledged again once all faults are over. With no more faults than
// tolerated, commands are also acknowledged during the run whenever no fault has begun or ended for
// a while.
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

// runAll calls run with n successive seeds from firstSeed on, in parallel on all processors.
func runAll(n int, run func(seed uint64)) {
	faultplan.ForEachParallel(n, func(i int) { run(*firstSeed + uint64(i)) })
}

// The checks find each bug that is built into the simulated processes within maxBugSchedules runs.
// Runs for the bug EarlyWrite inject only the kinds of faults that concern it, in which all machines
// lose power.
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
				t.Errorf("the checks did not find the bug in %d schedules", maxBugSchedules)
			}
		})
	}
}

// maxBugSchedules is the number of runs of a schedule within which the checks have to find a bug.
const maxBugSchedules = 300
