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
	membershipInterval = 500 * time.Millisecond // time between two Membership events of a voter
	deadTimeout        = 3 * time.Second        // how long after its last sign of life the membership declares a router dead
	maxStartDelay      = 50 * time.Millisecond  // longest delay of a router's first start
	maxInbox           = 1000                   // most events that are queued for a frozen process
	maxRecordedIndexes = 1 << 20                // most log indexes for which the applied command is recorded and compared
)

// Streams of random numbers that are derived from the seed.
const (
	worldStream = 0xd071
	linkStream  = 7
)

// World is the state of a run.
type World struct {
	spec       Spec
	now        time.Duration
	rng        *rand.Rand
	events     eventqueue.Queue[event]
	routers    []*router
	byName     map[string]*router
	guard      lease.TokenGuard // the receiver's check of tokens
	faults     []*faults.Injection
	linkFaults []*faults.Injection // the active faults of links
	link       *faults.Link
	copies     []faults.Copy            // the copies of the last message, for reuse
	grantedAt  map[uint64]time.Duration // the time of the grant, by token
	applied    map[uint64]string        // the applied command, by group and index

	// Spans are the times in which routers held roles, ordered by their start.
	Spans                       []Span
	Messages, Requests, Replies uint64
	Bytes                       uint64   // the size of all Messages
	Acts, RejectedActs          int      // acts that arrived at the receiver, and acts that it rejected for a lower token
	Notices                     []string // all notices of voters
	AppliedIndex                uint64   // the greatest index that a voter has applied
	Err                         error    // the first error, which ends the run
}

// Span is a time in which a router considered itself the holder of a role.
type Span struct {
	Role     string
	Router   int
	Token    uint64
	From, To time.Duration // To is 0 while the span lasts
	Reason   string        // why the span ended
}

// New returns the world of a spec before its first event. It returns an error if the spec is invalid.
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

// candidates returns the names of the routers that may vote.
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

// Run runs the simulation until a time or an error, and returns Err.
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

// Now returns the virtual time.
func (w *World) Now() time.Duration { return w.now }

func (w *World) emit(e history.Event) {
	if w.spec.History != nil {
		e.T = w.now.Nanoseconds()
		w.spec.History(&e)
	}
}

func (w *World) handle(e *event) {
	switch e.kind {
	case deliverRequest, deliverVoterMessage, deliverReply, wakeUp, beginAct, sendAct:
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

// handleAtRouter delivers an event to a router. It drops events of an earlier process and wake-ups
// that were rescheduled. For a frozen process, it queues other events than wake-ups until the
// process thaws.
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

// notifyMembership informs all voters which routers are alive.
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

// LeaseHolder returns the number of a router that considers itself the holder of a role, -1 for none.
func (w *World) LeaseHolder(role string) int {
	for _, r := range w.routers {
		if r.alive && r.leases[role] != 0 {
			return r.number
		}
	}
	return -1
}

// Leader returns the number of a running router whose voter is the leader, -1 for none.
func (w *World) Leader() int {
	for _, r := range w.candidateRouters() {
		if r.isRunning() && r.voter.Status().RemainingLeases != nil {
			return r.number
		}
	}
	return -1
}

// VoterStatus returns the status of a router's voter, and false if the router has no voter.
func (w *World) VoterStatus(n int) (quorum.Status, bool) {
	if r := w.routers[n]; r.voter != nil {
		return r.voter.Status(), true
	}
	return quorum.Status{}, false
}

// SendCommand sends an operator's command from a router to all candidates.
func (w *World) SendCommand(n int, c lease.Command) {
	for _, r := range w.candidateRouters() {
		w.send(w.routers[n], r, event{kind: deliverRequest, data: (&lease.Request{ID: 1, Command: c}).Encode()}, 0)
	}
}

// Rebuild asks a router's voter to found a new group. It returns the reason for a refusal, empty if
// the voter founds the group.
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
	return "the voter neither founded a group nor refused to"
}
