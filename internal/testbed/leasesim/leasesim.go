// Package leasesim plays duties in virtual time: voters of package quorum, agents of package duty, a receiver that they act upon, the
// network between them with the faults of package faults, disks that may be lost, swapped or older, and clocks whose rates differ. The
// same Spec gives the same play. It is pure and single-threaded.
package leasesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"reachspread/internal/router/lease"
	"reachspread/internal/router/quorum"
	"reachspread/internal/testbed/eventqueue"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

// Spec is a play.
type Spec struct {
	Seed    uint64
	Routers int
	Zones   int // 0 counts as 1
	May     int // the first routers may vote; 0 counts as Voters
	Voters  int
	Duties  []lease.Duty
	Wants   func(router int) []string // the duties that a router wants, nil for all
	Times   lease.Times               // its zero value counts as duty.Usual
	Length  time.Duration
	Way     time.Duration // of a message; 0 counts as 500 us, each is up to a half longer
	Sync    time.Duration // of a write to disk; what waits for it leaves so much later
	Rates   float64       // the most by which two clocks' rates differ
	Every   time.Duration // between two acts of a holder; 0 counts as 40 ms
	Faults  []faults.Fault
	NoFence bool // planted: the receiver takes everything
	NoWait  bool // planted: a new leader does not wait a whole lease
	Replace time.Duration
	History func(*history.Event)
}

// Shape is the fleet as schedules see it. Its one host is the receiver.
func (s *Spec) Shape() *faults.Shape {
	shape := &faults.Shape{Hosts: []string{""}}
	for i := range s.Routers {
		shape.Routers = append(shape.Routers, string(rune('a'+i%max(s.Zones, 1))))
	}
	return shape
}

// World is a play at one moment.
type World struct {
	s       Spec
	now     time.Duration
	rng     *rand.Rand
	events  eventqueue.Queue[event]
	routers []*router
	byName  map[string]*router
	fence   lease.Fence
	strikes []*faults.Strike
	on      []*faults.Strike
	link    *faults.Link
	copies  []faults.Copy
	grantAt map[uint64]time.Duration // by token, its application

	// Spans has who held which duty when, by the moments at which holders began and ended; To is 0 while it lasts.
	Spans                       []Span
	Messages, Requests, Answers uint64
	Bytes                       uint64
	Acts, Refused               int
	Told                        []string
	Applied                     uint64 // the furthest
	table                       map[uint64]string
	Broken                      error
}

// Span is a time in which a router held a duty.
type Span struct {
	Duty     string
	Router   int
	Token    uint64
	From, To time.Duration
	Why      string
}

// New makes a world.
func New(s Spec) (*World, error) {
	if s.Routers < 1 || s.Routers > 5000 {
		return nil, fmt.Errorf("spec: Routers is %d; it must be from 1 to 5000", s.Routers)
	}
	if s.Times == (lease.Times{}) {
		s.Times = lease.Usual
	}
	s.May = max(s.May, s.Voters)
	if s.May > s.Routers {
		return nil, fmt.Errorf("spec: May is %d of %d routers", s.May, s.Routers)
	}
	for _, d := range []struct {
		of *time.Duration
		to time.Duration
	}{{&s.Way, 500 * time.Microsecond}, {&s.Every, 40 * time.Millisecond}, {&s.Replace, 10 * time.Second}} {
		if *d.of == 0 {
			*d.of = d.to
		}
	}
	if err := faults.Check(s.Faults, s.Shape(), faults.View, s.Length); err != nil {
		return nil, err
	}
	w := &World{s: s, rng: rand.New(rand.NewPCG(s.Seed, 0xd071)), byName: map[string]*router{}, link: faults.NewLink(s.Seed, 7), table: map[uint64]string{}, grantAt: map[uint64]time.Duration{}}
	shape := s.Shape()
	for i := range s.Routers {
		r := &router{n: i, name: fmt.Sprint("r", i), zone: shape.Routers[i], rate: 1 + s.Rates*(w.rng.Float64()-0.5), stops: -1}
		w.routers = append(w.routers, r)
		w.byName[r.name] = r
		w.put(event{at: time.Duration(w.rng.Int64N(int64(50 * time.Millisecond))), do: starts, n: i})
	}
	w.strikes = faults.Resolve(s.Faults, shape, s.Seed)
	for i, x := range w.strikes {
		w.put(event{at: x.At, do: begins, n: i})
	}
	w.put(event{at: lookEvery, do: looks})
	return w, nil
}

// names are of those that may vote.
func (w *World) names() (all []string) {
	for _, r := range w.routers[:w.s.May] {
		all = append(all, r.name)
	}
	return all
}

func (w *World) put(e event) {
	e.at = max(e.at, w.now)
	w.events.Add(e.at, e)
}

// Run plays until a time.
func (w *World) Run(until time.Duration) error {
	for w.Broken == nil {
		e, at, ok := w.events.Next(until)
		if !ok {
			break
		}
		w.now = at
		w.play(&e)
	}
	w.now = max(w.now, until)
	return w.Broken
}

// Now is the time of the play.
func (w *World) Now() time.Duration { return w.now }

func (w *World) emit(e history.Event) {
	if w.s.History != nil {
		e.T = w.now.Nanoseconds()
		w.s.History(&e)
	}
}

const (
	lookEvery = 500 * time.Millisecond
	lostAfter = 3 * time.Second // until the view of the play takes who is gone for dead
	mostInbox = 1000
)

func (w *World) play(e *event) {
	switch e.do {
	case toVoter, toVoters, toAgent, wakes, acts, leaves:
		r := w.routers[e.n]
		switch {
		case !r.lives || e.gen != 0 && e.gen != r.gen:
		case e.do == wakes && r.due != e.at:
		case r.still > 0:
			if len(r.inbox) < mostInbox && e.do != wakes {
				r.inbox = append(r.inbox, *e)
			}
		default:
			w.take(r, e)
		}
	case starts:
		w.start(w.routers[e.n])
	case lands:
		w.land(e)
	case looks:
		w.look()
	case begins:
		s := w.strikes[e.n]
		w.emit(simulator.FaultEvent(history.Fault, e.n, s))
		w.put(event{at: w.now + s.Length, do: ends, n: e.n})
		w.strike(s, true)
	case ends:
		s := w.strikes[e.n]
		w.strike(s, false)
		w.emit(simulator.FaultEvent(history.Heal, e.n, s))
	case freezes, thaws:
		w.crawl(e)
	}
}

// look tells voters who lives.
func (w *World) look() {
	living := map[string]bool{}
	for _, r := range w.routers {
		if r.lives && r.still == 0 {
			r.unseen = w.now
		}
		living[r.name] = w.now < r.unseen+lostAfter
	}
	for _, r := range w.routers[:w.s.May] {
		if r.lives && r.still == 0 {
			w.voted(r, r.voter.Step(r.clock(w.now), quorum.View{Living: living}))
			w.wake(r)
		}
	}
	w.put(event{at: w.now + lookEvery, do: looks})
}

// Holder is who holds a duty by its own account, -1 for nobody.
func (w *World) Holder(name string) int {
	for _, r := range w.routers {
		if r.lives && r.held[name] != 0 {
			return r.n
		}
	}
	return -1
}

// Leader is the voter that leads as most see it, -1 for nobody.
func (w *World) Leader() int {
	for _, r := range w.routers[:w.s.May] {
		if r.lives && r.still == 0 && r.voter.Standing().Left != nil {
			return r.n
		}
	}
	return -1
}

// Standing is a voter's, false while it does not live.
func (w *World) Standing(n int) (quorum.Standing, bool) {
	if r := w.routers[n]; r.voter != nil {
		return r.voter.Standing(), true
	}
	return quorum.Standing{}, false
}

// Ask has an operator's request go from a router to the voters.
func (w *World) Ask(n int, c lease.Command) {
	for _, r := range w.routers[:w.s.May] {
		w.send(w.routers[n], r, event{do: toVoter, data: (&lease.Request{ID: 1, Command: c}).Append()}, 0)
	}
}

// Rebuild asks a router for a new group, and says why it was refused.
func (w *World) Rebuild(n int, gone ...string) string {
	r := w.routers[n]
	out := r.voter.Step(r.clock(w.now), quorum.Rebuild{Gone: gone})
	w.voted(r, out)
	w.wake(r)
	for _, a := range out {
		if x, ok := a.(quorum.Rebuilt); ok {
			return x.Refused
		}
	}
	return "nothing was said"
}
