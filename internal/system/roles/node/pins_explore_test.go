package node

import (
	"flag"
	"sync/atomic"
	"testing"
	"time"

	"reachspread/coord/faultplan"
)

// pinFaults is the maximum number of faults in an explored schedule of pin changes. With 2 there
// are some ten thousand schedules.
var pinFaults = flag.Int("pin-faults", 1, "maximum number of faults in an explored schedule of pin changes")

// The explorer simulates four routers in virtual time: the tail, the configuration's owners in two
// zones, and one router that owns nothing. A pin is set and is changed 4 s later. The explorer tries
// every placement of faults: each kind of fault at each message that arrives within pointsFor of
// pointsFrom, which is around the first change. With more than one fault, each further one strikes
// at a later message within the same time.
const (
	exploredRouters = 4
	exploredSeed    = 1
	firstChange     = 5 * time.Second
	secondChange    = 9 * time.Second
	exploredLength  = 17 * time.Second
	pointsFrom      = firstChange - 200*time.Millisecond
	pointsFor       = time.Second
)

// pinFaultKind is a kind of fault that is injected when a message arrives.
type pinFaultKind int

const (
	dropMessage     pinFaultKind = iota
	cutLink                      // block messages from the sender to the receiver for longer than the bound
	cutReceiver                  // block messages between the receiver and all others for longer than the bound
	cutIncoming                  // block only the messages to the receiver
	stallShort                   // stall the receiver for less than the bound
	stallLong                    // stall the receiver for longer than the bound
	stallAndLose                 // as stallLong, and drop the messages that arrive during the stall
	restartReceiver              // start a new incarnation of the receiver
	pinFaultKinds
)

func (f pinFaultKind) String() string {
	return [...]string{"drop the message", "cut the link", "isolate the receiver", "block messages to the receiver", "short stall", "long stall", "long stall with message loss", "restart the receiver"}[f]
}

const (
	cutFor     = simulatedRevocation + time.Second
	shortStall = time.Second
	longStall  = simulatedRevocation + time.Second
)

// exploredSchedule is the simulation of one plan of faults.
type exploredSchedule struct {
	*pinSimulation
	plan   faultplan.Plan[pinFaultKind]
	points int
	heals  []heal
}

// heal is the scheduled end of a cut.
type heal struct {
	at   time.Duration
	link [2]int
}

// explorePins simulates a plan of faults. It returns the number of points at which one more fault
// could strike, and the simulation.
func explorePins(t *testing.T, plan faultplan.Plan[pinFaultKind], plant plantedFault) (points int, w *pinSimulation) {
	e := &exploredSchedule{pinSimulation: newPinSimulation(t, exploredRouters, exploredSeed, plant), plan: plan}
	e.intercept = e.injectFaults
	for e.now < exploredLength && e.violation == nil {
		e.step(func() {
			if e.now == firstChange || e.now == secondChange {
				e.change()
			}
		})
		e.healDue()
	}
	return e.points, e.pinSimulation
}

// injectFaults injects the faults that the plan has for an arriving message, and reports whether
// the message is lost. Only messages that arrive within pointsFor of pointsFrom count as points.
func (e *exploredSchedule) injectFaults(m simulatedMessage) (lost bool) {
	if e.now < pointsFrom || e.now > pointsFrom+pointsFor {
		return false
	}
	e.points++
	for _, f := range e.plan {
		if f.Point == e.points {
			lost = e.apply(f.Kind, m) || lost
		}
	}
	return lost
}

func (e *exploredSchedule) apply(kind pinFaultKind, m simulatedMessage) (lost bool) {
	switch kind {
	case dropMessage:
		return true
	case cutLink:
		e.cutUntil(m.from, m.to)
		return true
	case cutReceiver, cutIncoming:
		for i := range e.routers {
			e.cutUntil(i, m.to)
			if kind == cutReceiver {
				e.cutUntil(m.to, i)
			}
		}
		return true
	case stallShort:
		e.stall(m.to, shortStall)
	case stallLong:
		e.stall(m.to, longStall)
	case stallAndLose:
		e.stall(m.to, longStall)
		for i := range e.routers {
			e.cutUntil(i, m.to)
		}
		return true
	case restartReceiver:
		if m.to > 0 {
			e.startIncarnation(m.to)
			return true
		}
	}
	return false
}

// stall stops a router for a time. It never stops the tail: the tail's own behaviour belongs to
// the register, which has an explorer of its own.
func (e *exploredSchedule) stall(router int, span time.Duration) {
	if router > 0 {
		e.routers[router].stalledUntil = e.now + span
	}
}

func (e *exploredSchedule) cutUntil(from, to int) {
	link := [2]int{from, to}
	e.cut[link] = true
	e.heals = append(e.heals, heal{e.now + cutFor, link})
}

func (e *exploredSchedule) healDue() {
	for len(e.heals) > 0 && e.heals[0].at <= e.now {
		delete(e.cut, e.heals[0].link)
		e.heals = e.heals[1:]
	}
}

// exploreAllPins simulates all plans with at most this number of faults, until one of them
// violates the check.
func exploreAllPins(t *testing.T, faults int, plant plantedFault) (found faultplan.Result[pinFaultKind], served int64) {
	var answered atomic.Int64
	found = faultplan.Explorer[pinFaultKind]{Kinds: pinFaultKinds, MaxFaults: faults, Simulate: func(plan faultplan.Plan[pinFaultKind]) faultplan.Outcome {
		points, w := explorePins(t, plan, plant)
		answered.Add(int64(w.served))
		return faultplan.Outcome{Points: points, Violation: w.violation}
	}}.Explore()
	return found, answered.Load()
}

// Wherever a fault strikes around a change of the pins, each request that arrives after a change
// was acknowledged is served by that change or a later one, or is rejected.
func TestPinsHoldInExploredSchedules(t *testing.T) {
	found, served := exploreAllPins(t, *pinFaults, noPlantedFault)
	if found.Violation != nil {
		t.Fatalf("%v: %v", found.Plan, found.Violation)
	}
	t.Logf("%d schedules with at most %d faults, %d requests served", found.Runs, *pinFaults, served)
	if found.Runs < 100 || served/found.Runs < 1000 {
		t.Error("fewer than 100 schedules, or fewer than 1000 requests served per schedule: too few for a result")
	}
}

// The explorer finds each planted program fault with a single fault of the network or a router.
func TestExplorerFindsPlantedPinFaults(t *testing.T) {
	for name, plant := range map[string]plantedFault{"acknowledged too early": ackedTooEarly, "stale after a stall": staleAfterStall, "never expires": neverExpires} {
		t.Run(name, func(t *testing.T) {
			found, _ := exploreAllPins(t, 1, plant)
			if found.Violation == nil {
				t.Fatal("no schedule with one fault violates the check despite the planted fault")
			}
			t.Logf("%d schedules; %v: %v", found.Runs, found.Plan, found.Violation)
		})
	}
}
