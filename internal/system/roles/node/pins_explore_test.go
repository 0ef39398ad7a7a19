package node

import (
	"flag"
	"sync/atomic"
	"testing"
	"time"

	"reachspread/coord/faultplan"
)

// pinFaults is how many faults an explored schedule of pins has at most. With 2 there are some ten
// thousand schedules.
var pinFaults = flag.Int("pin-faults", 1, "faults of an explored schedule of pins")

// The explorer plays four routers in virtual time: the tail, the homes of two zones and one that is
// none. A pin is set, and changed a while later. It places faults in all ways: each kind at each
// message that arrives around the first change, and a second one at each message after that until
// the changes are over.
const (
	exploredRouters = 4
	exploredSeed    = 1
	firstChange     = 5 * time.Second
	secondChange    = 9 * time.Second
	exploredLength  = 17 * time.Second
	pointsFrom      = firstChange - 200*time.Millisecond
	pointsFor       = time.Second
)

// pinFaultKind is a kind of fault, at a message that arrives.
type pinFaultKind int

const (
	dropMessage     pinFaultKind = iota
	cutLink                      // from the sender to the receiver, for longer than the bound
	cutReceiver                  // from all others, for longer than the bound
	cutIncoming                  // the receiver hears nobody, and is heard
	stallShort                   // the receiver stalls for less than the bound
	stallLong                    // and for longer
	stallAndLose                 // and for longer, and what comes meanwhile is lost
	restartReceiver              // of the receiver
	pinFaultKinds
)

func (f pinFaultKind) String() string {
	return [...]string{"lose", "cut the link", "cut the receiver", "deafen the receiver", "freeze briefly", "freeze for long", "suspend", "new life"}[f]
}

const (
	cutFor     = simulatedRevocation + time.Second
	shortStall = time.Second
	longStall  = simulatedRevocation + time.Second
)

// exploredSchedule is one schedule.
type exploredSchedule struct {
	*pinSimulation
	plan   faultplan.Plan[pinFaultKind]
	points int
	heals  []heal
}

// heal ends a cut.
type heal struct {
	at   time.Duration
	link [2]int
}

// explorePins plays a plan, and returns how many points there were for one more fault.
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

// place has the faults of the plan strike. The first one does near the first change, others at any
// time behind it.
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

// freeze has a router stand still. The tail's own part is the register's, which has an explorer of
// its own.
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

// exploreAllPins plays all plans with so many faults, until one finds something that does not hold.
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
// was acknowledged is served by it, or rejected.
func TestPinsHoldInExploredSchedules(t *testing.T) {
	found, served := exploreAllPins(t, *pinFaults, noPlantedFault)
	if found.Violation != nil {
		t.Fatalf("%v: %v", found.Plan, found.Violation)
	}
	t.Logf("%d schedules with at most %d faults, %d requests served", found.Runs, *pinFaults, served)
	if found.Runs < 100 || served/found.Runs < 1000 {
		t.Error("too little is played to tell")
	}
}

// The explorer finds each planted fault with one fault of the network or a router.
func TestExplorerFindsPlantedPinFaults(t *testing.T) {
	for name, plant := range map[string]plantedFault{"acknowledged too early": ackedTooEarly, "stale after a thaw": staleAfterStall, "never runs out": neverExpires} {
		t.Run(name, func(t *testing.T) {
			found, _ := exploreAllPins(t, 1, plant)
			if found.Violation == nil {
				t.Fatal("not found")
			}
			t.Logf("%d schedules; %v: %v", found.Runs, found.Plan, found.Violation)
		})
	}
}
