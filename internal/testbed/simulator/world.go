package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"reachspread/balance"
)

const (
	maxTrace = 64 // events that a Violation reports
	// epoch is the time on the routers' clock at which a simulation begins. It is not 0 because
	// routers take the time 0 for an unknown time in the past.
	epoch = time.Hour
)

// World is the state of one simulation. It is not safe for concurrent use.
type World struct {
	spec              Spec
	queue             queue
	now               time.Duration // present time since the beginning of the simulation
	networkRand       *rand.Rand    // delays of messages and lists, and lost peer messages
	disruptionRand    *rand.Rand    // targets of disruptions
	classes           []*load
	zones             []string
	hosts             []*host
	routers           []*router
	front             []int // the routers that the front sends to
	list              list
	openRequests      int // requests that have not ended
	lastRequest       int
	burstFactor       float64
	heavyTails        []heavyTail
	activeDisruptions []activeDisruption
	faults            faultSchedule
	demand            []classDemand // demand of the present second, by class
	noHostsAt         time.Duration // when the last live host last died

	planOnly bool // for Plan: requests are recorded, not sent
	plan     []Planned

	result    Result
	traceRing [maxTrace]traceEntry
	traced    int
	violation *Violation
}

// traceEntry is an event that the report of a Violation shows.
type traceEntry struct {
	at   time.Duration
	what string
	id   string
	n    int
}

// trace records an event in a ring buffer of maxTrace entries.
func (w *World) trace(what, id string, n int) {
	w.traceRing[w.traced%maxTrace] = traceEntry{w.now, what, id, n}
	w.traced++
}

// stream returns a separate source of random numbers for one purpose, so that draws for one purpose
// do not change those for another.
func (w *World) stream(purpose, n uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.spec.Seed, purpose<<48|n))
}

// The purposes of random streams. Changing a value changes the results of every seed.
const (
	forNet uint64 = iota + 1
	forChance
	forClass
	forSession
	forHost
	forRouter
	forClientAttempt
	forGate
	forWeight
)

// New returns a simulation at its beginning, or an error if the Spec is invalid.
func New(s Spec) (*World, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.New == nil {
		s.New = func(c balance.Config, seed uint64) (Decider, error) { return balance.New(c, seed) }
	}
	w := &World{spec: s, burstFactor: 1}
	w.networkRand, w.disruptionRand = w.stream(forNet, 0), w.stream(forChance, 0)
	w.result.Classes = make([]ClassResult, len(s.Classes))
	s.Balance.StepInterval = s.Tick
	s.Balance.Classes = nil
	for i, c := range s.Classes {
		s.Balance.Classes = append(s.Balance.Classes, c.Class)
		w.classes = append(w.classes, newLoad(w, i))
		w.result.Classes[i] = newClassResult(c.Class.Name)
	}
	w.spec = s
	for g := range s.Groups {
		w.addZone(s.Groups[g].Zone)
		for range s.Groups[g].Count {
			w.addHost(g)
		}
	}
	for i := range s.Routers {
		zone := ""
		if len(w.zones) > 0 {
			zone = w.zones[i%len(w.zones)]
		}
		off := min(max(w.stream(forWeight, uint64(i)).NormFloat64(), -maxDeviations), maxDeviations)
		w.routers = append(w.routers, &router{world: w, number: i, zone: zone, weight: math.Exp(s.Front.Uneven * (off - maxDeviations))})
		if err := w.startRouter(i); err != nil {
			return nil, err
		}
		w.front = append(w.front, i)
	}
	for i, c := range s.Classes {
		if c.Rate > 0 && len(s.Captured) == 0 {
			w.classes[i].beginUnderway()
			w.schedule(w.classes[i].nextSessionAt(), event{kind: sessionBegins, number: i})
		}
	}
	if len(s.Captured) > 0 {
		w.schedule(s.Captured[0].At, event{kind: capturedArrives})
	}
	for i, t := range s.Disruptions {
		w.schedule(t.At, event{kind: disruptionBegins, number: i})
	}
	w.scheduleFaults()
	w.schedule(time.Second, event{kind: sampleDue})
	if s.View.On {
		w.schedule(0, event{kind: viewsChange})
	}
	return w, nil
}

// addZone adds a zone unless it was added before.
func (w *World) addZone(name string) {
	for _, z := range w.zones {
		if z == name {
			return
		}
	}
	w.zones = append(w.zones, name)
}

// schedule adds an event that happens at time t, or now if t has passed.
func (w *World) schedule(t time.Duration, e event) {
	e.at = max(t, w.now)
	w.queue.push(e)
}

// clock returns the present time on the routers' clock.
func (w *World) clock() time.Duration { return epoch + w.now }

// networkDelay draws how long a message takes from one zone to another.
func (w *World) networkDelay(from, to string) time.Duration {
	d := w.spec.Net.Same
	if from != to {
		d = w.spec.Net.Cross
	}
	return d + time.Duration(w.spec.Net.Jitter*w.networkRand.Float64()*float64(d))
}

// Run runs the simulation to its end, until a rule is broken, or for at most maxEvents events (0
// for no limit). If a rule is broken, the error is a *Violation. The Result covers the time until
// Run stops.
func (w *World) Run(maxEvents int) (*Result, error) {
	for len(w.queue.heap) > 0 && w.violation == nil {
		if w.now >= w.spec.Length && w.openRequests == 0 {
			break
		}
		if maxEvents > 0 && w.result.Events >= uint64(maxEvents) {
			return &w.result, fmt.Errorf("the simulation did not end within %d events; it stopped at %v", maxEvents, w.now)
		}
		e := w.queue.pop()
		w.now = e.at
		w.result.Events++
		w.handle(&e)
	}
	w.finish()
	if w.violation != nil {
		return &w.result, w.violation
	}
	return &w.result, nil
}
