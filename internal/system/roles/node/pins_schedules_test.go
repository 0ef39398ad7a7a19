package node

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"reachspread/coord/feed"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
	"reachspread/internal/testbed/pintest"
)

// pinSchedules is how many drawn schedules are played. Each takes 20 ms, and ten times that under
// the race detector.
var pinSchedules = flag.Int("pin-schedules", 100, "drawn schedules of pins that are played")

const (
	simulatedRevocation  = 3 * time.Second // on the age of what keys are honoured by
	randomScheduleLength = 30 * time.Second
	simulatedTick        = 20 * time.Millisecond
)

// pinPlant is a fault in the program, which the judge is to find.
type plantedFault int

const (
	noPlantedFault  plantedFault = iota
	ackedTooEarly                // a change is acknowledged as soon as the router that took it has it
	staleAfterStall              // a router that stood still goes by what it found young before
	neverExpires                 // an isolated router goes on honouring keys
)

// pinWorld is routers that bring each other the configuration, with pins that change, in virtual
// time. The first is the register's tail.
type pinSimulation struct {
	rng       *rand.Rand
	now       time.Duration
	planted   plantedFault
	routers   []*simulatedRouter
	queue     []simulatedMessage
	cut       map[[2]int]bool
	state     *configuration.State
	changes   []pinChange
	served    int
	rejected  int
	violation error
	intercept func(m simulatedMessage) (lost bool) // called before each message arrives, nil for nothing
}

// drawnChange is a change of the pins: the number of its revision is its place, from 1 on.
type pinChange struct {
	committed, acked time.Duration
}

type simulatedRouter struct {
	simulation   *pinSimulation
	number       int
	feed         *feed.Node
	config       *configurationFeed
	stalledUntil time.Duration // until then it does nothing
	waiting      []func()      // for the end of that
	fresh        bool          // as it last found
}

type simulatedMessage struct {
	at   time.Duration
	from int
	to   int
	send feed.Send
}

// drawnRouters is how many routers a drawn schedule has.
const randomScheduleRouters = 8

func newPinSimulation(t *testing.T, routers int, seed uint64, plant plantedFault) *pinSimulation {
	document, err := configuration.Parse([]byte(pintest.Configuration))
	if err != nil {
		t.Fatal(err)
	}
	state, err := configuration.NewState(document)
	if err != nil {
		t.Fatal(err)
	}
	w := &pinSimulation{rng: rand.New(rand.NewPCG(seed, 0)), planted: plant, cut: map[[2]int]bool{}, state: state}
	for i := range routers {
		w.routers = append(w.routers, &simulatedRouter{simulation: w, number: i})
		w.startIncarnation(i)
	}
	w.tail().config.install(1, state)
	return w
}

func routerName(i int) string { return fmt.Sprintf("r%d", i) }

// startIncarnation begins an incarnation of a router: the first two are the owners in their zones,
// and ask the tail.
func (w *pinSimulation) startIncarnation(i int) {
	r := w.routers[i]
	r.feed = feed.New(routerName(i), w.rng.Uint64(), w.now)
	r.config = &configurationFeed{confirmedAt: -1, clock: func() time.Duration { return w.now }, onError: func(err error) { w.violation = err }}
	r.config.onChange = func(*configuration.State) { w.post(i, r.feed.Publish(w.now, configurationTopic)) }
	r.feed.Add(configurationTopic, r.config)
	r.fresh, r.stalledUntil, r.waiting = false, 0, nil
	candidates := []string{routerName(0)}
	if i > 2 {
		candidates = []string{routerName(1 + i%2), routerName(2 - i%2), routerName(0)}
	}
	if i > 0 {
		w.post(i, r.feed.Subscribe(w.now, []feed.Subscription{{Topic: configurationTopic, Candidates: candidates, RequireConfirmed: true}}))
	}
}

func (w *pinSimulation) tail() *simulatedRouter { return w.routers[0] }

func (w *pinSimulation) post(from int, all []feed.Send) {
	for _, s := range all {
		var to int
		fmt.Sscanf(s.To, "r%d", &to)
		w.queue = append(w.queue, simulatedMessage{w.now + time.Duration(1+w.rng.IntN(30))*time.Millisecond, from, to, s})
	}
}

// do has a router do something, once it does anything.
func (r *simulatedRouter) do(f func()) {
	if r.simulation.now < r.stalledUntil {
		r.waiting = append(r.waiting, f)
		return
	}
	waiting := r.waiting
	r.waiting = nil
	for _, before := range waiting {
		before()
	}
	f()
}

func (w *pinSimulation) deliver() {
	slices.SortStableFunc(w.queue, func(a, b simulatedMessage) int { return cmp.Compare(a.at, b.at) })
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		m := w.queue[0]
		w.queue = w.queue[1:]
		if w.cut[[2]int{m.from, m.to}] || w.intercept != nil && w.intercept(m) {
			continue
		}
		r := w.routers[m.to]
		r.do(func() {
			if m.send.Poll != nil {
				w.post(m.to, r.feed.HandlePoll(w.now, m.send.Poll))
			} else {
				w.post(m.to, r.feed.HandleUpdate(w.now, m.send.Update))
			}
		})
	}
}

// change commits a change of the pins, and acknowledges it once it is in force.
func (w *pinSimulation) change() {
	revision := int64(len(w.changes) + 1)
	set, err := (&pins.Set{Revision: revision - 1}).Add(&message.Pin{Name: "p", Tenant: "x", Model: "m", Version: revision, By: "ann", Why: "trial"})
	if err != nil {
		w.violation = err
		return
	}
	w.state = w.state.WithPins(set)
	w.tail().config.install(w.tail().config.sequence+1, w.state)
	acked := w.now + simulatedRevocation
	if w.planted == ackedTooEarly {
		acked = w.now + simulatedTick
	}
	w.changes = append(w.changes, pinChange{w.now, acked})
}

// request has a client ask a router, which answers by what it knows then.
func (r *simulatedRouter) request() {
	w, arrived := r.simulation, r.simulation.now
	frozen := w.now < r.stalledUntil
	r.do(func() {
		if w.planted != staleAfterStall || !frozen {
			age := w.now - r.config.confirmedAt
			r.fresh = r.config.confirmedAt >= 0 && (age < simulatedRevocation-revocationMargin || w.planted == neverExpires)
		}
		if !r.fresh {
			w.rejected++
			return
		}
		w.served++
		w.check(r, arrived)
	})
}

// check looks at a request that a router serves: it goes by all changes that were acknowledged when
// it arrived.
func (w *pinSimulation) check(r *simulatedRouter, arrived time.Duration) {
	revision := r.config.state.Pins().Revision
	for i, c := range w.changes {
		if int64(i+1) > revision && c.acked <= arrived {
			w.violation = fmt.Errorf("%v: router %d serves by revision %d a request of %v; %d was acknowledged at %v", w.now, r.number, revision, arrived, i+1, c.acked)
		}
	}
}

// drawFault draws a partition, a stall or a restart.
func (w *pinSimulation) injectRandomFault() {
	a, b := w.rng.IntN(len(w.routers)), w.rng.IntN(len(w.routers))
	switch w.rng.IntN(7) {
	case 0:
		w.cut[[2]int{a, b}] = true
	case 1:
		for i := range w.routers {
			w.cut[[2]int{a, i}] = true
			w.cut[[2]int{i, a}] = w.rng.IntN(3) > 0
		}
	case 2, 3:
		clear(w.cut)
	case 4, 5:
		if a > 0 {
			w.routers[a].stalledUntil = w.now + time.Duration(w.rng.IntN(6000))*time.Millisecond
		}
	case 6:
		if a > 0 {
			w.startIncarnation(a)
		}
	}
}

func (w *pinSimulation) run() {
	for w.now < randomScheduleLength && w.violation == nil {
		w.step(func() {
			if w.rng.IntN(60) == 0 {
				w.change()
			}
			if w.rng.IntN(30) == 0 {
				w.injectRandomFault()
			}
		})
	}
}

// step has a tick pass. What happens besides does so before the clients ask.
func (w *pinSimulation) step(actions func()) {
	w.tail().config.confirmAt(w.now, w.tail().config.sequence)
	for i, r := range w.routers {
		r.do(func() { w.post(i, r.feed.Tick(w.now)) })
	}
	w.deliver()
	actions()
	for _, r := range w.routers {
		r.request()
	}
	w.now += simulatedTick
}

// Whatever is drawn of partitions, stalls and restarts of routers, each request that arrives after
// a change of the pins was acknowledged is served by it, or rejected.
func TestPinsHoldInDrawnSchedules(t *testing.T) {
	served, rejected := 0, 0
	for seed := range uint64(*pinSchedules) {
		w := newPinSimulation(t, randomScheduleRouters, seed, noPlantedFault)
		w.run()
		if w.violation != nil {
			t.Errorf("seed %d: %v", seed, w.violation)
		}
		served, rejected = served+w.served, rejected+w.rejected
	}
	t.Logf("%d schedules: %d requests served, %d refused", *pinSchedules, served, rejected)
	if served < rejected {
		t.Error("too few are served to tell")
	}
}

// The judge finds each planted fault.
func TestCheckerFindsPlantedPinFaults(t *testing.T) {
	for name, plant := range map[string]plantedFault{"acknowledged too early": ackedTooEarly, "stale after a thaw": staleAfterStall, "never runs out": neverExpires} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*pinSchedules) {
				w := newPinSimulation(t, randomScheduleRouters, seed, plant)
				w.run()
				if w.violation != nil {
					t.Logf("seed %d: %v", seed, w.violation)
					return
				}
			}
			t.Error("not found")
		})
	}
}
