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

// pinSchedules is the number of random schedules to simulate. Each takes 20 ms, and ten times that
// under the race detector.
var pinSchedules = flag.Int("pin-schedules", 100, "number of random schedules of pin changes to simulate")

const (
	simulatedRevocation  = 3 * time.Second // maximum age of a configuration by which keys are honoured
	randomScheduleLength = 30 * time.Second
	simulatedTick        = 20 * time.Millisecond
)

// plantedFault is a fault of the program that the test plants and the check must find.
type plantedFault int

const (
	noPlantedFault  plantedFault = iota
	ackedTooEarly                // a change is acknowledged one tick after the tail committed it
	staleAfterStall              // after a stall, a router uses its last result of the freshness check
	neverExpires                 // an isolated router honours keys forever
)

// pinSimulation is a group of routers that exchange the configuration in virtual time while the
// pins in it change. The first router is the register's tail.
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
	intercept func(m simulatedMessage) (lost bool) // called before each message is delivered, reports whether it is lost; nil for no faults
}

// pinChange is a change of the pins. The first change makes revision 1, the next one revision 2,
// and so on.
type pinChange struct {
	committed, acked time.Duration
}

type simulatedRouter struct {
	simulation   *pinSimulation
	number       int
	feed         *feed.Node
	config       *configurationFeed
	stalledUntil time.Duration // the router does nothing before this time
	waiting      []func()      // actions that wait for the end of the stall
	fresh        bool          // the last result of the freshness check
}

type simulatedMessage struct {
	at   time.Duration
	from int
	to   int
	send feed.Send
}

// randomScheduleRouters is the number of routers in a random schedule.
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

// startIncarnation starts a new incarnation of a router. Routers 1 and 2 are the owners of the
// configuration in their zones and ask only the tail. Routers from 3 on ask these owners first.
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

// do runs an action of a router, after those that wait. If the router is stalled, the action waits
// for the end of the stall.
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

// change commits a change of the pins and records when it is acknowledged.
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

// request sends a client's request to a router, which handles it by what it knows when it runs.
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

// check checks a request that a router serves: every change that had been acknowledged when the
// request arrived must be in force on the router.
func (w *pinSimulation) check(r *simulatedRouter, arrived time.Duration) {
	revision := r.config.state.Pins().Revision
	for i, c := range w.changes {
		if int64(i+1) > revision && c.acked <= arrived {
			w.violation = fmt.Errorf("%v: router %d serves by revision %d a request that arrived at %v; revision %d was acknowledged at %v", w.now, r.number, revision, arrived, i+1, c.acked)
		}
	}
}

// injectRandomFault injects or heals a partition, or stalls or restarts a router, at random.
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

// step simulates one tick. It runs the given actions before the clients send their requests.
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

// Under random partitions, stalls and restarts of routers, each request that arrives after a
// change of the pins was acknowledged is served by that change or a later one, or is rejected.
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
	t.Logf("%d schedules: %d requests served, %d rejected", *pinSchedules, served, rejected)
	if served < rejected {
		t.Error("fewer requests are served than rejected: too few for a result")
	}
}

// The check finds each planted fault in random schedules.
func TestCheckerFindsPlantedPinFaults(t *testing.T) {
	for name, plant := range map[string]plantedFault{"acknowledged too early": ackedTooEarly, "stale after a stall": staleAfterStall, "never expires": neverExpires} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(*pinSchedules) {
				w := newPinSimulation(t, randomScheduleRouters, seed, plant)
				w.run()
				if w.violation != nil {
					t.Logf("seed %d: %v", seed, w.violation)
					return
				}
			}
			t.Error("no random schedule violates the check despite the planted fault")
		})
	}
}
