package simulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"reachspread/balance"
)

const (
	maxTrace = 64 // kept for whoever reads of a broken rule
	// epoch is a world's first moment on the routers' clock: 0 would be "long ago" to them.
	epoch = time.Hour
)

// World is one experiment at one moment.
type World struct {
	s        Spec
	queue    queue
	now      time.Duration // since the beginning
	net      *rand.Rand    // delays on the network
	chance   *rand.Rand    // disruptions and the front
	classes  []*load
	zones    []string
	hosts    []*host
	routers  []*router
	front    []int // the routers that the front believes in
	list     list
	open     int // requests that are not over
	requests int
	burst    float64
	tail     []tail
	struck   []struck
	faults   schedule
	need     []need        // in this second, by class
	emptied  time.Duration // the last moment at which no host was alive

	planning bool // requests are only written down
	plan     []Planned

	res       Result
	traceRing [maxTrace]traceEntry
	traced    int
	broken    *Violation
}

// traceEntry is something that happened, for a report of a broken rule.
type traceEntry struct {
	at   time.Duration
	what string
	id   string
	n    int
}

func (w *World) trace(what, id string, n int) {
	w.traceRing[w.traced%maxTrace] = traceEntry{w.now, what, id, n}
	w.traced++
}

// stream returns a source of random numbers of its own for one purpose, so that what one draws
// moves nothing of another.
func (w *World) stream(purpose, n uint64) *rand.Rand {
	return rand.New(rand.NewPCG(w.s.Seed, purpose<<48|n))
}

// The purposes.
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

// New makes a world.
func New(s Spec) (*World, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.New == nil {
		s.New = func(c balance.Config, seed uint64) (Decider, error) { return balance.New(c, seed) }
	}
	w := &World{s: s, burst: 1}
	w.net, w.chance = w.stream(forNet, 0), w.stream(forChance, 0)
	w.res.Classes = make([]ClassResult, len(s.Classes))
	s.Balance.StepInterval = s.Tick
	s.Balance.Classes = nil
	for i, c := range s.Classes {
		s.Balance.Classes = append(s.Balance.Classes, c.Class)
		w.classes = append(w.classes, newLoad(w, i))
		w.res.Classes[i] = newClassResult(c.Class.Name)
	}
	w.s = s
	for g := range s.Groups {
		w.zone(s.Groups[g].Zone)
		for range s.Groups[g].Count {
			w.addHost(g)
		}
	}
	for i := range s.Routers {
		zone := ""
		if len(w.zones) > 0 {
			zone = w.zones[i%len(w.zones)]
		}
		off := min(max(w.stream(forWeight, uint64(i)).NormFloat64(), -mostOff), mostOff)
		w.routers = append(w.routers, &router{w: w, n: i, zone: zone, weight: math.Exp(s.Front.Uneven * (off - mostOff))})
		if err := w.startRouter(i); err != nil {
			return nil, err
		}
		w.front = append(w.front, i)
	}
	for i, c := range s.Classes {
		if c.Rate > 0 && len(s.Captured) == 0 {
			w.classes[i].underway()
			w.at(w.classes[i].gap(), event{kind: sessionBegins, n: i})
		}
	}
	if len(s.Captured) > 0 {
		w.at(s.Captured[0].At, event{kind: capturedComes})
	}
	for i, t := range s.Disruptions {
		w.at(t.At, event{kind: disruptionBegins, n: i})
	}
	w.schedules()
	w.at(time.Second, event{kind: sampled})
	if s.View.On {
		w.at(0, event{kind: viewsChange})
	}
	return w, nil
}

// zone has a zone listed, in the order in which they are named.
func (w *World) zone(name string) {
	for _, z := range w.zones {
		if z == name {
			return
		}
	}
	w.zones = append(w.zones, name)
}

// at puts in an event, not before now.
func (w *World) at(t time.Duration, e event) {
	e.at = max(t, w.now)
	w.queue.push(e)
}

// clock is the routers' time.
func (w *World) clock() time.Duration { return epoch + w.now }

// way is how long a message takes from one zone to another.
func (w *World) way(from, to string) time.Duration {
	d := w.s.Net.Same
	if from != to {
		d = w.s.Net.Cross
	}
	return d + time.Duration(w.s.Net.Jitter*w.net.Float64()*float64(d))
}

// Run plays a world to its end, until a rule is broken, or until most events have been played (0
// for no bound).
func (w *World) Run(most int) (*Result, error) {
	for len(w.queue.heap) > 0 && w.broken == nil {
		if w.now >= w.s.Length && w.open == 0 {
			break
		}
		if most > 0 && w.res.Events >= uint64(most) {
			return &w.res, fmt.Errorf("the world was not over after %d events, at %v", most, w.now)
		}
		e := w.queue.pop()
		w.now = e.at
		w.res.Events++
		w.play(&e)
	}
	w.end()
	if w.broken != nil {
		return &w.res, w.broken
	}
	return &w.res, nil
}

func (w *World) play(e *event) {
	switch e.kind {
	case sessionBegins:
		w.classes[e.n].begin()
	case turnComes:
		w.turn(e.p.(*session))
	case streamsIdle:
		w.endIdleStreams(w.hosts[e.n], e.gen)
	case capturedComes:
		w.captured(e.n)
	case retryComes:
		w.sendToRouter(e.p.(*request))
	case clientAttemptReaches:
		w.reach(e.p.(*clientAttempt))
	case clientAttemptOverdue:
		w.overdue(e.p.(*clientAttempt), e.n == 1)
	case routerSteps:
		if r := w.routers[e.n]; r.alive && r.gen == e.gen {
			r.step()
		}
	case routerHears:
		if r := w.routers[e.n]; r.alive {
			w.res.Heard++
			r.take(e.p.(balance.ReportsReceived))
		}
	case routerWakes:
		if r := w.routers[e.n]; r.alive && r.gen == e.gen {
			r.take(balance.TimerExpired{Token: e.p.(int64)})
		}
	case listReaches:
		if r := w.routers[e.n]; r.alive && r.gen == e.gen {
			r.applyList(e.p.(*listUpdate))
		}
	case routerStarts:
		if err := w.startRouter(e.n); err != nil {
			w.violated("a router did not start", "", e.n, err.Error())
		}
	case attemptReaches:
		w.attemptReaches(e.p.(*attempt))
	case hostMessageReaches:
		t := e.p.(*hostMessage)
		if r := w.routers[e.n]; r.alive && r.gen == e.gen {
			r.receiveHostMessage(t)
		}
	case cancelReaches:
		w.cancelled(e.p.(*attempt))
	case connGivenUp:
		w.givenUp(e.p.(*attempt))
	case connClosed:
		w.routers[e.n].idleOver(e.p.(*conn), e.gen)
	case probeReaches:
		w.probeReaches(e.p.(*probe))
	case probeResultReaches:
		p := e.p.(*probe)
		if r := w.routers[e.n]; r.alive && r.gen == e.gen {
			r.take(balance.ProbeResult{Replica: w.hosts[p.host].id, Result: p.result, Load: p.load})
		}
	case hostSteps:
		if h := w.hosts[e.n]; h.gen == e.gen && h.due == e.at {
			h.due = -1
			w.hostDoes(h, nil)
		}
	case hostStarts:
		w.startHost(w.hosts[e.n], e.gen)
	case disruptionBegins:
		w.begins(e.n)
	case disruptionEnds:
		w.ends(e.n)
	case faultBegins:
		w.faultBegins(e.n)
	case faultEnds:
		w.faultEnds(e.n)
	case releaseGoesOn:
		w.release(e.p.(*releasing))
	case viewsChange:
		w.views()
	case sampled:
		w.sample()
	}
}
