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

const (
	membershipInterval = 500 * time.Millisecond // between two Membership events of voters
	deadTimeout        = 3 * time.Second        // until the membership takes a router for dead
	maxStartDelay      = 50 * time.Millisecond  // of the first processes
	maxInbox           = 1000                   // events of a frozen process
	maxRecordedIndexes = 1 << 20                // of which all voters must apply the same command
)

// Streams of the seed.
const (
	worldStream = 0xd071
	linkStream  = 7
)

// World is a play at one moment.
type World struct {
	spec       Spec
	now        time.Duration
	rng        *rand.Rand
	events     eventqueue.Queue[event]
	routers    []*router
	byName     map[string]*router
	guard      lease.TokenGuard // the receiver's
	faults     []*faults.Injection
	linkFaults []*faults.Injection // that are active
	link       *faults.Link
	copies     []faults.Copy            // of the last message, for reuse
	grantedAt  map[uint64]time.Duration // by token
	applied    map[uint64]string        // by group and index, the command

	// Spans are who worked under which role when, in the order of their beginnings.
	Spans                       []Span
	Messages, Requests, Replies uint64
	Bytes                       uint64 // of messages
	Acts, RejectedActs          int    // that came to the receiver; of them, with a lower token
	Notices                     []string
	AppliedIndex                uint64 // the furthest
	Err                         error  // ends the play
}

// Span is a time in which a router worked under a role, by its own account.
type Span struct {
	Role     string
	Router   int
	Token    uint64
	From, To time.Duration // To is 0 while it lasts
	Reason   string        // of its end
}

// New returns the world of a spec before its first event.
func New(s Spec) (*World, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	w := &World{spec: s, rng: rand.New(rand.NewPCG(s.Seed, worldStream)), byName: map[string]*router{},
		link: faults.NewLink(s.Seed, linkStream), applied: map[uint64]string{}, grantedAt: map[uint64]time.Duration{}}
	topology := s.Topology()
	for i := range s.Routers {
		r := &router{number: i, name: fmt.Sprint("r", i), zone: topology.Routers[i], clockRate: 1 + s.ClockDrift*(w.rng.Float64()-0.5), actionsUntilCrash: noCrash}
		w.routers = append(w.routers, r)
		w.byName[r.name] = r
		w.schedule(event{at: time.Duration(w.rng.Int64N(int64(maxStartDelay))), kind: startRouter, router: i})
	}
	w.faults = faults.Resolve(s.Faults, topology, s.Seed)
	for i, x := range w.faults {
		w.schedule(event{at: x.At, kind: beginFault, router: i})
	}
	w.schedule(event{at: membershipInterval, kind: updateMembership})
	return w, nil
}

// candidates are the names of the routers that may vote.
func (w *World) candidates() (names []string) {
	for _, r := range w.candidateRouters() {
		names = append(names, r.name)
	}
	return names
}

func (w *World) candidateRouters() []*router { return w.routers[:w.spec.Candidates] }

func (w *World) schedule(e event) {
	e.at = max(e.at, w.now)
	w.events.Add(e.at, e)
}

// Run plays until a time, and returns Err.
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

// Now returns the time of the play.
func (w *World) Now() time.Duration { return w.now }

func (w *World) emit(e history.Event) {
	if w.spec.History != nil {
		e.T = w.now.Nanoseconds()
		w.spec.History(&e)
	}
}

func (w *World) handle(e *event) {
	switch e.kind {
	case toVoter, toVoters, toAgent, wakeUp, beginAct, sendAct:
		w.handleAtRouter(w.routers[e.router], e)
	case startRouter:
		w.startProcess(w.routers[e.router])
	case receiveAct:
		w.handleAct(e)
	case updateMembership:
		w.notifyMembership()
	case beginFault:
		fault := w.faults[e.router]
		w.emit(simulator.FaultEvent(history.Fault, e.router, fault))
		w.schedule(event{at: w.now + fault.Length, kind: endFault, router: e.router})
		w.applyFault(fault, true)
	case endFault:
		fault := w.faults[e.router]
		w.applyFault(fault, false)
		w.emit(simulator.FaultEvent(history.Heal, e.router, fault))
	case freezeRouter, thawRouter:
		w.stepCrawl(e)
	}
}

// handleAtRouter delivers an event of a router, unless it is of an earlier process or out of date.
// A frozen process has it later.
func (w *World) handleAtRouter(r *router, e *event) {
	switch {
	case !r.alive || e.generation != 0 && e.generation != r.generation:
	case e.kind == wakeUp && r.wakeUpAt != e.at:
	case r.frozenCount == 0:
		w.deliver(r, e)
	case len(r.inbox) < maxInbox && e.kind != wakeUp:
		r.inbox = append(r.inbox, *e)
	}
}

// notifyMembership tells voters who is alive.
func (w *World) notifyMembership() {
	alive := map[string]bool{}
	for _, r := range w.routers {
		if r.isRunning() {
			r.lastSeen = w.now
		}
		alive[r.name] = w.now < r.lastSeen+deadTimeout
	}
	for _, r := range w.candidateRouters() {
		if r.isRunning() {
			w.carryOutVoter(r, r.voter.Step(r.clock(w.now), quorum.Membership{Alive: alive}))
			w.scheduleWakeUp(r)
		}
	}
	w.schedule(event{at: w.now + membershipInterval, kind: updateMembership})
}

// LeaseHolder returns the router that works under a role by its own account, -1 for nobody.
func (w *World) LeaseHolder(role string) int {
	for _, r := range w.routers {
		if r.alive && r.leases[role] != 0 {
			return r.number
		}
	}
	return -1
}

// Leader returns a running voter that leads, -1 for nobody.
func (w *World) Leader() int {
	for _, r := range w.candidateRouters() {
		if r.isRunning() && r.voter.Status().RemainingLeases != nil {
			return r.number
		}
	}
	return -1
}

// VoterStatus returns a router's voter's, false where there is none.
func (w *World) VoterStatus(n int) (quorum.Status, bool) {
	if r := w.routers[n]; r.voter != nil {
		return r.voter.Status(), true
	}
	return quorum.Status{}, false
}

// SendCommand has an operator's request go from a router to all candidates.
func (w *World) SendCommand(n int, c lease.Command) {
	for _, r := range w.candidateRouters() {
		w.send(w.routers[n], r, event{kind: toVoter, data: (&lease.Request{ID: 1, Command: c}).Encode()}, 0)
	}
}

// Rebuild asks a router for a new group, and returns why that was refused, empty if it was not.
func (w *World) Rebuild(n int, lostRouters ...string) (refusal string) {
	r := w.routers[n]
	actions := r.voter.Step(r.clock(w.now), quorum.Rebuild{LostRouters: lostRouters})
	w.carryOutVoter(r, actions)
	w.scheduleWakeUp(r)
	for _, a := range actions {
		if x, ok := a.(quorum.RebuildFinished); ok {
			return x.Refusal
		}
	}
	return "nothing was said"
}
