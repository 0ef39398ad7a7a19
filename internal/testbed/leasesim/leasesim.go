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
	Seed           uint64
	Routers        int
	Zones          int // 0 counts as 1
	Candidates     int // the first routers may vote; 0 counts as Voters
	Voters         int
	Roles          []lease.Role
	RolesOf        func(router int) []string // the duties that a router wants, nil for all
	Timing         lease.Timing              // its zero value counts as duty.Usual
	Length         time.Duration
	Latency        time.Duration // of a message; 0 counts as 500 us, each is up to a half longer
	SyncDelay      time.Duration // of a write to disk; what waits for it leaves so much later
	ClockDrift     float64       // the most by which two clocks' rates differ
	ActInterval    time.Duration // between two acts of a holder; 0 counts as 40 ms
	Faults         []faults.Fault
	SkipTokenCheck bool // planted: the receiver takes everything
	SkipLeaseWait  bool // planted: a new leader does not wait a whole lease
	ReplaceTimeout time.Duration
	History        func(*history.Event)
}

// Shape is the fleet as schedules see it. Its one host is the receiver.
func (s *Spec) Topology() *faults.Topology {
	topology := &faults.Topology{Hosts: []string{""}}
	for i := range s.Routers {
		topology.Routers = append(topology.Routers, string(rune('a'+i%max(s.Zones, 1))))
	}
	return topology
}

// World is a play at one moment.
type World struct {
	spec       Spec
	now        time.Duration
	rng        *rand.Rand
	events     eventqueue.Queue[event]
	routers    []*router
	byName     map[string]*router
	guard      lease.TokenGuard
	faults     []*faults.Injection
	linkFaults []*faults.Injection
	link       *faults.Link
	copies     []faults.Copy
	grantedAt  map[uint64]time.Duration // by token, its application

	// Spans has who held which duty when, by the moments at which holders began and ended; To is 0 while it lasts.
	Spans                       []Span
	Messages, Requests, Answers uint64
	Bytes                       uint64
	Acts, Refused               int
	Notices                     []string
	AppliedIndex                uint64 // the furthest
	applied                     map[uint64]string
	Err                         error
}

// Span is a time in which a router held a duty.
type Span struct {
	Role     string
	Router   int
	Token    uint64
	From, To time.Duration
	Reason   string
}

// New makes a world.
func New(s Spec) (*World, error) {
	if s.Routers < 1 || s.Routers > 5000 {
		return nil, fmt.Errorf("spec: Routers is %d; it must be from 1 to 5000", s.Routers)
	}
	if s.Timing == (lease.Timing{}) {
		s.Timing = lease.DefaultTiming
	}
	s.Candidates = max(s.Candidates, s.Voters)
	if s.Candidates > s.Routers {
		return nil, fmt.Errorf("spec: May is %d of %d routers", s.Candidates, s.Routers)
	}
	for _, d := range []struct {
		of *time.Duration
		to time.Duration
	}{{&s.Latency, 500 * time.Microsecond}, {&s.ActInterval, 40 * time.Millisecond}, {&s.ReplaceTimeout, 10 * time.Second}} {
		if *d.of == 0 {
			*d.of = d.to
		}
	}
	if err := faults.Check(s.Faults, s.Topology(), faults.View, s.Length); err != nil {
		return nil, err
	}
	w := &World{spec: s, rng: rand.New(rand.NewPCG(s.Seed, 0xd071)), byName: map[string]*router{}, link: faults.NewLink(s.Seed, 7), applied: map[uint64]string{}, grantedAt: map[uint64]time.Duration{}}
	topology := s.Topology()
	for i := range s.Routers {
		r := &router{number: i, name: fmt.Sprint("r", i), zone: topology.Routers[i], clockRate: 1 + s.ClockDrift*(w.rng.Float64()-0.5), actionsUntilCrash: -1}
		w.routers = append(w.routers, r)
		w.byName[r.name] = r
		w.schedule(event{at: time.Duration(w.rng.Int64N(int64(50 * time.Millisecond))), kind: startRouter, router: i})
	}
	w.faults = faults.Resolve(s.Faults, topology, s.Seed)
	for i, x := range w.faults {
		w.schedule(event{at: x.At, kind: beginFault, router: i})
	}
	w.schedule(event{at: membershipInterval, kind: updateMembership})
	return w, nil
}

// names are of those that may vote.
func (w *World) candidates() (all []string) {
	for _, r := range w.routers[:w.spec.Candidates] {
		all = append(all, r.name)
	}
	return all
}

func (w *World) schedule(e event) {
	e.at = max(e.at, w.now)
	w.events.Add(e.at, e)
}

// Run plays until a time.
func (w *World) Run(until time.Duration) error {
	for w.Err == nil {
		e, at, ok := w.events.Next(until)
		if !ok {
			break
		}
		w.now = at
		w.handle(&e)
	}
	w.now = max(w.now, until)
	return w.Err
}

// Now is the time of the play.
func (w *World) Now() time.Duration { return w.now }

func (w *World) emit(e history.Event) {
	if w.spec.History != nil {
		e.T = w.now.Nanoseconds()
		w.spec.History(&e)
	}
}

const (
	membershipInterval = 500 * time.Millisecond
	deadTimeout        = 3 * time.Second // until the view of the play takes who is gone for dead
	maxInbox           = 1000
)

func (w *World) handle(e *event) {
	switch e.kind {
	case toVoter, toVoters, toAgent, wakeUp, beginAct, sendAct:
		r := w.routers[e.router]
		switch {
		case !r.alive || e.generation != 0 && e.generation != r.generation:
		case e.kind == wakeUp && r.wakeUpAt != e.at:
		case r.frozenCount > 0:
			if len(r.inbox) < maxInbox && e.kind != wakeUp {
				r.inbox = append(r.inbox, *e)
			}
		default:
			w.deliver(r, e)
		}
	case startRouter:
		w.startProcess(w.routers[e.router])
	case receiveAct:
		w.handleAct(e)
	case updateMembership:
		w.notifyMembership()
	case beginFault:
		s := w.faults[e.router]
		w.emit(simulator.FaultEvent(history.Fault, e.router, s))
		w.schedule(event{at: w.now + s.Length, kind: endFault, router: e.router})
		w.applyFault(s, true)
	case endFault:
		s := w.faults[e.router]
		w.applyFault(s, false)
		w.emit(simulator.FaultEvent(history.Heal, e.router, s))
	case freezeRouter, thawRouter:
		w.stepCrawl(e)
	}
}

// look tells voters who lives.
func (w *World) notifyMembership() {
	living := map[string]bool{}
	for _, r := range w.routers {
		if r.alive && r.frozenCount == 0 {
			r.lastSeen = w.now
		}
		living[r.name] = w.now < r.lastSeen+deadTimeout
	}
	for _, r := range w.routers[:w.spec.Candidates] {
		if r.alive && r.frozenCount == 0 {
			w.carryOutVoter(r, r.voter.Step(r.clock(w.now), quorum.Membership{Alive: living}))
			w.scheduleWakeUp(r)
		}
	}
	w.schedule(event{at: w.now + membershipInterval, kind: updateMembership})
}

// Holder is who holds a duty by its own account, -1 for nobody.
func (w *World) LeaseHolder(name string) int {
	for _, r := range w.routers {
		if r.alive && r.leases[name] != 0 {
			return r.number
		}
	}
	return -1
}

// Leader is the voter that leads as most see it, -1 for nobody.
func (w *World) Leader() int {
	for _, r := range w.routers[:w.spec.Candidates] {
		if r.alive && r.frozenCount == 0 && r.voter.Status().RemainingLeases != nil {
			return r.number
		}
	}
	return -1
}

// Standing is a voter's, false while it does not live.
func (w *World) VoterStatus(n int) (quorum.Status, bool) {
	if r := w.routers[n]; r.voter != nil {
		return r.voter.Status(), true
	}
	return quorum.Status{}, false
}

// Ask has an operator's request go from a router to the voters.
func (w *World) SendCommand(n int, c lease.Command) {
	for _, r := range w.routers[:w.spec.Candidates] {
		w.send(w.routers[n], r, event{kind: toVoter, data: (&lease.Request{ID: 1, Command: c}).Encode()}, 0)
	}
}

// Rebuild asks a router for a new group, and says why it was refused.
func (w *World) Rebuild(n int, gone ...string) string {
	r := w.routers[n]
	out := r.voter.Step(r.clock(w.now), quorum.Rebuild{LostRouters: gone})
	w.carryOutVoter(r, out)
	w.scheduleWakeUp(r)
	for _, a := range out {
		if x, ok := a.(quorum.RebuildFinished); ok {
			return x.Refusal
		}
	}
	return "nothing was said"
}
