package register_test

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"

	"reachspread/coord/faultplan"
	"reachspread/coord/simulation"
)

// maxFaults bounds the faults of an explored run.
var maxFaults = flag.Int("deviations", 1, "faults of an explored run")

// The explorer runs a register of three machines in virtual time, with a client, and injects
// each kind of fault at each point where a message of the protocol arrives or a write is
// durable. After one fault the next one comes at any later point within the time of a failover.
// All else follows from one seed.
const (
	exploreStart        = 3 * time.Second        // the first view is chosen by then
	firstFaultIn        = 200 * time.Millisecond // within which the first fault is injected after that
	firstFaultInWithBug = 400 * time.Millisecond
	nextFaultWithin     = 2 * time.Second // after the fault before: a failover, and commands after it
	recoveryTime        = 4 * time.Second // after the last one, until commands are acknowledged again
	stallTime           = 1300 * time.Millisecond
	restartDelay        = 300 * time.Millisecond // of a crashed process
	syncWithBug         = 250 * time.Millisecond // a slow disk, so that crashes lose more
	maxSeeds            = 6                      // within which a bug has to be found
)

// faultKind is a kind of fault at a point.
type faultKind int

const (
	loseMessage   faultKind = iota // or, at a write, the disk stalls
	partitionLink                  // messages from the sender to the receiver are lost for a while
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

// runOptions are common to all runs of an exploration.
type runOptions struct {
	seed uint64        // of the world
	sync time.Duration // mean duration of a write, 0 for a drawn one
}

// exploration is one run.
type exploration struct {
	world     *simulation.World
	plan      faultplan.Plan[faultKind]
	points    int           // so far
	lastFault time.Duration // when the last fault was injected
	wiped     int
}

// explore runs a plan, and returns the number of points at which one more fault could have been
// injected. The first one is injected within a time.
func explore(d runOptions, plan faultplan.Plan[faultKind], p simulation.Bug, firstIn time.Duration, trace func(string, ...any)) (points int, w *simulation.World) {
	w = simulation.New(simulation.Options{Seed: d.seed, Sync: d.sync, Machines: 3, Tolerance: 1, Application: simulation.Counter{}, Bug: p, Trace: trace})
	w.StartAll()
	w.NewClient(true).Loop(40 * time.Millisecond)
	w.Run(exploreStart)
	e := &exploration{world: w, plan: plan, lastFault: exploreStart + firstIn - nextFaultWithin}
	w.InjectAt = e.injectAt
	w.Run(e.lastFault + nextFaultWithin)
	w.Run(e.lastFault + nextFaultWithin) // a fault may have been injected meanwhile
	w.InjectAt = nil
	w.Run(e.lastFault + nextFaultWithin + recoveryTime)
	e.checkEnd()
	return e.points, w
}

// checkEnd checks what holds at the end. Two lost disks within a moment are more than is
// tolerated, so then commands need not be acknowledged.
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

// injectAt is called at each point, and injects the faults of the plan.
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

// inject injects a fault at a point. At a write, sender and receiver are the process whose disk
// it is.
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

// losePower has a machine lose power and all that it was writing, and its disk with wipe, and
// starts it again in a moment.
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

// explorer explores all plans with some number of faults. The first one is injected within a time.
func explorer(d runOptions, p simulation.Bug, faults int, firstIn time.Duration) faultplan.Explorer[faultKind] {
	return faultplan.Explorer[faultKind]{Kinds: faultKinds, MaxFaults: faults, Simulate: func(plan faultplan.Plan[faultKind]) faultplan.Outcome {
		points, w := explore(d, plan, p, firstIn, nil)
		return faultplan.Outcome{Points: points, Violation: w.Violation}
	}}
}

// Wherever a fault is injected, what a register promises holds, and commands are acknowledged
// afterwards.
func TestPromisesHoldWithFaultsAtAnyPoint(t *testing.T) {
	found := explorer(runOptions{seed: 1}, simulation.NoBug, *maxFaults, firstFaultIn).Explore()
	if found.Violation != nil {
		t.Errorf("%v: %v", found.Plan, found.Violation)
		return
	}
	t.Logf("%d runs with at most %d faults", found.Runs, *maxFaults)
}

// The explorer finds bugs. It begins behind a first fault, so that this takes some hundreds of
// runs and not thousands. Whether a bug shows depends on the seed, so some seeds are tried.
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
