package register_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/faultplan"
	"reachspread/coord/simulation"
)

// maxFaults bounds the number of faults in one run of TestPromisesHoldWithFaultsAtAnyPoint.
var maxFaults = flag.Int("deviations", 1, "explore runs with up to this many faults")

// The explorer runs a register of three machines in virtual time, with a client, and injects each
// kind of fault at each point. A point is the moment before a protocol message arrives or a write
// becomes durable. Each further fault is injected at a later point within nextFaultWithin of the
// previous one. Everything else in a run follows from one seed.
const (
	exploreStart        = 3 * time.Second         // the first view has been chosen by then
	firstFaultIn        = 200 * time.Millisecond  // the first fault is injected within this time after exploreStart
	firstFaultInWithBug = 400 * time.Millisecond  // firstFaultIn in runs with a built-in bug
	nextFaultWithin     = 2 * time.Second         // long enough for a failover and commands after it
	recoveryTime        = 4 * time.Second         // from nextFaultWithin after the last fault until the end of the run
	stallTime           = 1300 * time.Millisecond // the duration of a partition, a freeze or a disk stall
	restartDelay        = 300 * time.Millisecond  // from a power loss until the restart of the process
	syncWithBug         = 250 * time.Millisecond  // mean duration of a write in runs with a bug; a slow disk, so that a crash loses more writes
	maxSeeds            = 6                       // number of seeds within which a bug has to be found
)

// faultKind is a kind of fault to inject at a point. The sender and the receiver are those of the
// message; at a write, both are the process that writes.
type faultKind int

const (
	loseMessage   faultKind = iota // the message is lost; at a write, the disk stalls for stallTime
	partitionLink                  // messages from the sender to the receiver are lost for stallTime
	crashReceiver
	wipeReceiver
	freezeReceiver
	crashSender
	wipeSender
	faultKinds
)

func (s faultKind) String() string {
	return [...]string{"lose", "partition", "crash receiver", "wipe receiver", "freeze receiver", "crash sender", "wipe sender"}[s]
}

// runOptions are the options that all runs of an exploration have in common.
type runOptions struct {
	seed uint64        // the seed of the simulated world
	sync time.Duration // the mean duration of a write; if 0, the world draws one from the seed
}

// exploration is the state of one run.
type exploration struct {
	world     *simulation.World
	plan      faultplan.Plan[faultKind]
	points    int           // number of points reached so far
	lastFault time.Duration // when the last fault was injected, in virtual time
	wiped     int           // number of disks that were wiped
}

// explore runs a plan. It returns the number of points at which the run could inject a fault, and
// the world at the end. The first fault is injected within firstIn after exploreStart.
func explore(d runOptions, plan faultplan.Plan[faultKind], p simulation.Bug, firstIn time.Duration, trace func(string, ...any)) (points int, w *simulation.World) {
	w = simulation.New(simulation.Options{Seed: d.seed, Sync: d.sync, Machines: 3, Tolerance: 1, Application: simulation.Counter{}, Bug: p, Trace: trace})
	w.StartAll()
	w.NewClient(true).Loop(40 * time.Millisecond)
	w.Run(exploreStart)
	e := &exploration{world: w, plan: plan, lastFault: exploreStart + firstIn - nextFaultWithin}
	w.InjectAt = e.injectAt
	w.Run(e.lastFault + nextFaultWithin)
	w.Run(e.lastFault + nextFaultWithin) // the run above may have injected a fault and so moved lastFault
	w.InjectAt = nil
	w.Run(e.lastFault + nextFaultWithin + recoveryTime)
	e.checkEnd()
	return e.points, w
}

// checkEnd checks the properties that must hold at the end of a run. It checks nothing if the run
// lost two disks: within such a short time the register tolerates the loss of one only, so commands
// need not be acknowledged.
func (e *exploration) checkEnd() {
	if e.wiped > 1 {
		return
	}
	if w := e.world; w.Violation == nil && w.Now-w.History.LastAcknowledged > recoveryTime/2 {
		w.Fail("no command was acknowledged since %v", w.History.LastAcknowledged)
	}
	e.world.CheckEnd()
	e.world.CheckHistory()
}

// injectAt injects the fault that the plan has at the current point, if any. The world calls it at
// each point. It reports whether the message or the write of the point is lost.
func (e *exploration) injectAt(at simulation.Point) (lost bool) {
	if e.world.Now > e.lastFault+nextFaultWithin {
		return false
	}
	e.points++
	for _, f := range e.plan {
		if f.Point == e.points {
			e.lastFault = e.world.Now
			e.world.Trace("%v %v at point %d", e.world.Now, f.Kind, f.Point)
			return e.inject(f.Kind, at)
		}
	}
	return false
}

// inject injects a fault at a point, and reports whether the message or the write of the point is
// lost.
func (e *exploration) inject(kind faultKind, at simulation.Point) (lost bool) {
	sender, receiver := at.From, at.To
	if receiver == nil {
		receiver = sender
	}
	switch kind {
	case loseMessage:
		if at.To == nil {
			e.stallDisk(sender)
			return false
		}
		return true
	case partitionLink:
		partition := e.world.Partition([]string{sender.Address}, []string{receiver.Address}, true)
		e.world.After(stallTime, partition.Heal)
		return at.To != nil
	case freezeReceiver:
		receiver.Freeze(stallTime)
	case crashReceiver, wipeReceiver:
		e.losePower(receiver, kind == wipeReceiver)
		return true
	case crashSender, wipeSender:
		e.losePower(sender, kind == wipeSender)
	}
	return false
}

// losePower makes a machine lose power together with all that it was writing, and if wipe is true
// also its disk. The machine starts again after restartDelay.
func (e *exploration) losePower(p *simulation.Process, wipe bool) {
	p.LoseUnwritten()
	if wipe {
		p.Wipe()
		e.wiped++
	}
	e.world.After(restartDelay, p.Start)
}

func (e *exploration) stallDisk(p *simulation.Process) {
	p.SlowDisk(stallTime, stallTime)
}

// explorer returns an explorer of all plans with up to the given number of faults. The first fault
// is injected within firstIn after exploreStart.
func explorer(d runOptions, p simulation.Bug, faults int, firstIn time.Duration) faultplan.Explorer[faultKind] {
	return faultplan.Explorer[faultKind]{Kinds: faultKinds, MaxFaults: faults, Simulate: func(plan faultplan.Plan[faultKind]) faultplan.Outcome {
		points, w := explore(d, plan, p, firstIn, nil)
		return faultplan.Outcome{Points: points, Violation: w.Violation}
	}}
}

// The guarantees of a register hold wherever a fault is injected, and commands are acknowledged
// again afterwards.
func TestPromisesHoldWithFaultsAtAnyPoint(t *testing.T) {
	found := explorer(runOptions{seed: 1}, simulation.NoBug, *maxFaults, firstFaultIn).Explore()
	if found.Violation != nil {
		t.Errorf("run with the faults %v violates a guarantee: %v", found.Plan, found.Violation)
		return
	}
	t.Logf("%d runs with at most %d faults", found.Runs, *maxFaults)
}

// The explorer finds bugs that are built into the simulated processes. For one bug it starts from a
// plan that already has a first fault, so that it needs some hundreds of runs rather than thousands.
// The seed decides whether a bug shows, so the test tries up to maxSeeds seeds.
func TestExplorerFindsBugs(t *testing.T) {
	for _, c := range []struct {
		name        string
		bug         simulation.Bug
		initialPlan faultplan.Plan[faultKind]
	}{
		{"acknowledged before the tail", simulation.EarlyReply, nil},
		{"written before the disk has it", simulation.EarlyWrite, faultplan.Plan[faultKind]{{Point: 1, Kind: freezeReceiver}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var found faultplan.Result[faultKind]
			for seed := uint64(1); seed <= maxSeeds && found.Violation == nil; seed++ {
				found = explorer(runOptions{seed, syncWithBug}, c.bug, len(c.initialPlan)+1, firstFaultInWithBug).ExploreFrom(c.initialPlan)
				t.Logf("seed %d: %d runs; %v: %v", seed, found.Runs, found.Plan, found.Violation)
			}
			is.True(found.Violation != nil)
		})
	}
}
