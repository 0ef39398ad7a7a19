package node

import (
	"flag"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// pinFaults is how many faults an explored schedule of pins has at most. With 2 there are some ten thousand schedules.
var pinFaults = flag.Int("pin-faults", 1, "faults of an explored schedule of pins")

// The explorer plays four routers in virtual time: the tail, the homes of two zones and one that is none. A pin is set, and changed a while
// later. It places faults in all ways: each kind at each message that arrives around the first change, and a second one at each message
// after that until the changes are over.
const (
	exploredRouters = 4
	exploredSeed    = 1
	firstChange     = 5 * time.Second
	secondChange    = 9 * time.Second
	exploredLength  = 17 * time.Second
	pointsFrom      = firstChange - 200*time.Millisecond
	pointsFor       = time.Second
)

// pinFault is a kind of fault, at a message that arrives.
type pinFault int

const (
	loseOne        pinFault = iota
	cutLink                 // from the sender to the receiver, for longer than the bound
	cutReceiver             // from all others, for longer than the bound
	cutFromSources          // the receiver hears nobody, and is heard
	freezeShort             // the receiver stands still for less than the bound
	freezeLong              // and for longer
	suspend                 // and for longer, and what comes meanwhile is lost
	newLife                 // of the receiver
	pinFaultKinds
)

func (f pinFault) String() string {
	return [...]string{"lose", "cut the link", "cut the receiver", "deafen the receiver", "freeze briefly", "freeze for long", "suspend", "new life"}[f]
}

const (
	cutFor    = drawnBound + time.Second
	briefStop = time.Second
	longStop  = drawnBound + time.Second
)

// placedFault is a fault at the point of a number.
type placedFault struct {
	at   int
	kind pinFault
}

// pinExploration is one schedule.
type pinExploration struct {
	*pinWorld
	plan   []placedFault
	points int
	heals  []heal
}

// heal ends a cut.
type heal struct {
	at   time.Duration
	link [2]int
}

// explorePins plays a plan, and returns how many points there were for one more fault.
func explorePins(t *testing.T, plan []placedFault, plant pinPlant) (points int, w *pinWorld) {
	e := &pinExploration{pinWorld: newPinWorld(t, exploredRouters, exploredSeed, plant), plan: plan}
	e.strike = e.place
	for e.now < exploredLength && e.fault == nil {
		e.step(func() {
			if e.now == firstChange || e.now == secondChange {
				e.change()
			}
		})
		e.healDue()
	}
	return e.points, e.pinWorld
}

// place has the faults of the plan strike. The first one does near the first change, others at any time behind it.
func (e *pinExploration) place(m drawnMessage) (lost bool) {
	if e.now < pointsFrom || e.now > pointsFrom+pointsFor {
		return false
	}
	e.points++
	for _, f := range e.plan {
		if f.at == e.points {
			lost = e.apply(f.kind, m) || lost
		}
	}
	return lost
}

func (e *pinExploration) apply(kind pinFault, m drawnMessage) (lost bool) {
	switch kind {
	case loseOne:
		return true
	case cutLink:
		e.cutUntil(m.from, m.to)
		return true
	case cutReceiver, cutFromSources:
		for i := range e.routers {
			e.cutUntil(i, m.to)
			if kind == cutReceiver {
				e.cutUntil(m.to, i)
			}
		}
		return true
	case freezeShort:
		e.freeze(m.to, briefStop)
	case freezeLong:
		e.freeze(m.to, longStop)
	case suspend:
		e.freeze(m.to, longStop)
		for i := range e.routers {
			e.cutUntil(i, m.to)
		}
		return true
	case newLife:
		if m.to > 0 {
			e.begin(m.to)
			return true
		}
	}
	return false
}

// freeze has a router stand still. The tail's own part is the register's, which has an explorer of its own.
func (e *pinExploration) freeze(router int, span time.Duration) {
	if router > 0 {
		e.routers[router].frozen = e.now + span
	}
}

func (e *pinExploration) cutUntil(from, to int) {
	link := [2]int{from, to}
	e.cut[link] = true
	e.heals = append(e.heals, heal{e.now + cutFor, link})
}

func (e *pinExploration) healDue() {
	for len(e.heals) > 0 && e.heals[0].at <= e.now {
		delete(e.cut, e.heals[0].link)
		e.heals = e.heals[1:]
	}
}

// nextPlans are all plans with one fault more behind those of a plan.
func nextPlans(plan []placedFault, points int) (all [][]placedFault) {
	first := 1
	if len(plan) > 0 {
		first = plan[len(plan)-1].at + 1
	}
	for at := first; at <= points; at++ {
		for kind := range pinFaultKinds {
			all = append(all, append(plan[:len(plan):len(plan)], placedFault{at, kind}))
		}
	}
	return all
}

// exploreAllPins plays all plans with so many faults on all cores, until one finds something that does not hold.
func exploreAllPins(t *testing.T, faults int, plant pinPlant) (played, served int64, found []placedFault, fault error) {
	var count, answered atomic.Int64
	var broken atomic.Pointer[pinExploration]
	var try func(plan []placedFault)
	try = func(plan []placedFault) {
		if broken.Load() != nil {
			return
		}
		points, w := explorePins(t, plan, plant)
		count.Add(1)
		answered.Add(int64(w.served))
		if w.fault != nil {
			broken.CompareAndSwap(nil, &pinExploration{pinWorld: w, plan: plan})
			return
		}
		if len(plan) < faults {
			for _, next := range nextPlans(plan, points) {
				try(next)
			}
		}
	}
	points, w := explorePins(t, nil, plant)
	if w.fault != nil {
		return 1, int64(w.served), nil, w.fault
	}
	first := nextPlans(nil, points)
	var next atomic.Int64
	var group sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		group.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(first); i = int(next.Add(1)) - 1 {
				try(first[i])
			}
		})
	}
	group.Wait()
	if b := broken.Load(); b != nil {
		return count.Load(), answered.Load(), b.plan, b.fault
	}
	return count.Load(), answered.Load(), nil, nil
}

// Wherever a fault strikes around a change of the pins, each request that arrives after a change was acknowledged is served by it, or refused.
func TestExplorePins(t *testing.T) {
	played, served, plan, fault := exploreAllPins(t, *pinFaults, noPlant)
	if fault != nil {
		t.Fatalf("%v: %v", plan, fault)
	}
	t.Logf("%d schedules with at most %d faults, %d requests served", played, *pinFaults, served)
	if played < 100 || served/played < 1000 {
		t.Error("too little is played to tell")
	}
}

// The explorer finds each planted fault with one fault of the network or a router.
func TestExplorePlantedPins(t *testing.T) {
	for name, plant := range map[string]pinPlant{"acknowledged too early": ackedTooEarly, "stale after a thaw": staleAfterThaw, "never runs out": neverRunsOut} {
		t.Run(name, func(t *testing.T) {
			played, _, plan, fault := exploreAllPins(t, 1, plant)
			if fault == nil {
				t.Fatal("not found")
			}
			t.Logf("%d schedules; %v: %v", played, plan, fault)
		})
	}
}
