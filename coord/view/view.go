// Package view decides, together with its like on other machines, who replicates: a small agreed view with an epoch, its voting
// members and the order of a chain. docs/design/control.md has the proofs and the ways not taken.
//
// Each view is agreed on by the members of the one before, by one instance of Paxos. A member that promises to vote on the next view
// leaves the chain of its own at once (it is sealed), so that nothing is committed in an epoch once the next one may begin.
//
// A Decider is a state machine without I/O, clock or goroutine. Its owner calls Step with the time and what happened and carries out
// the effects in their order; messages that come behind a Write go out once all that was to be written is on the disk. The owner owes
// it one caller at a time and a clock that never goes back.
package view

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
)

// The periods. TestPeriods derives a bound on a failover from them.
const (
	HeartbeatEvery = 200 * time.Millisecond
	suspectAfter   = 900 * time.Millisecond  // without a heartbeat
	settledAfter   = 500 * time.Millisecond  // heard of for so long without a pause: may be taken into the chain
	replaceAfter   = 1500 * time.Millisecond // without a heartbeat a member may be replaced by a process that stands by
	foundAfter     = 400 * time.Millisecond  // nobody new was heard of for so long
	foundAtLast    = 3 * time.Second         // then with those that are there
	replaceUnfit   = 3 * time.Second         // nor can one be counted on whose disk fails for so long
	staggered      = 250 * time.Millisecond  // a member proposes later by so much for each one before it
	collectFor     = 80 * time.Millisecond   // for promises beyond a majority
	collectAtMost  = 140 * time.Millisecond  // for those of members that live
	giveUpAfter    = 600 * time.Millisecond  // a proposal of which neither half has succeeded; twice as long after each in vain
	mostGiveUp     = 2400 * time.Millisecond
	mostBackoff    = 400 * time.Millisecond
	sealedFor      = 700 * time.Millisecond // sealed without a view to follow: proposes itself
	fewestMembers  = 3                      // voted for where there are as many
	leastApart     = 100 * time.Millisecond // between two views, for what is known of the processes to follow
	lookEvery      = 20 * time.Millisecond  // whether another view is called for is looked at so often at most
	joinAgain      = 500 * time.Millisecond // a member may join after a view that did not change the chain; twice as long after each more
	mostJoinAgain  = 16 * time.Second
	mostPeers      = 256
)

// Config is what a Decider is told at its start.
type Config struct {
	Self      *coordpb.Member
	Seeds     []string // addresses that are the voters on the first view, the same everywhere on the first start
	Founder   bool     // this process may be one of them: it is the first life at its address
	Core      bool     // this process may be a member
	Tolerance int      // members that may be lost at once
	Seed      uint64   // of all chance

	// What was kept, nil for nothing.
	View           *coordpb.View
	Promised       *coordpb.Ballot
	AcceptedBallot *coordpb.Ballot
	AcceptedView   *coordpb.View
}

// Status is how the owner stands, for others to know.
type Status struct {
	Position *coordpb.Position
	Idle     time.Duration       // for so long it has not acted on its duties
	Answered []*coordpb.Answered // how long ago this process last confirmed its epoch, and to whom
	Healthy  bool                // what is written gets to the disk
	Stuck    bool                // a change has waited for the chain for too long
	Leaving  bool                // the process is about to end
}

// Effect is something for the owner to do: one of the types below.
type Effect interface{ isEffect() }

// Send brings a message to an address. Informal ones tell nothing that has to be on a disk first.
type Send struct {
	To       string
	Message  *coordpb.Message
	Informal bool
}

// Write puts a record on the disk.
type Write struct{ Record *coordpb.Record }

// Decided says that a view is in force from now on.
type Decided struct{ View *coordpb.View }

// Sealed says that nothing may be done in the present epoch any more.
type Sealed struct{}

func (Send) isEffect()    {}
func (Write) isEffect()   {}
func (Decided) isEffect() {}
func (Sealed) isEffect()  {}

// peer is another process that may be a member.
type peer struct {
	member   *coordpb.Member
	heard    time.Duration // last
	since    time.Duration // heard of without a pause from then on
	first    time.Duration
	position *coordpb.Position
	epoch    uint64
	healthy  bool
	founder  bool
	leaving  bool
	eligible bool          // it may be a member
	hears    bool          // it has heard of this process of late
	unfit    time.Duration // since then its storage fails, 0 for not at all
}

// Decider is one process's.
type Decider struct {
	c      Config
	rng    *rand.Rand
	now    time.Duration
	began  time.Duration
	out    []Effect
	status Status

	view           *coordpb.View // epoch 0 before the first one
	learnedAt      time.Duration // when this process learnt of it
	promised       *coordpb.Ballot
	acceptedBallot *coordpb.Ballot
	acceptedView   *coordpb.View
	sealedAt       time.Duration

	peers    map[string]*peer // by address
	known    []string         // addresses of processes that may be members, as told by the owner
	beatAt   time.Duration
	lookAt   time.Duration // the next look at whether another view is called for
	wantAt   time.Duration // when the wish for another view came up, 0 for none
	notUntil time.Duration // the next proposal
	round    uint64        // the greatest seen
	proposal *proposal
	inVain   int // proposals of this process since the last view
	same     int // views since the chain has changed
}

// New returns the Decider of a process that starts now.
func New(c Config, now time.Duration) *Decider {
	d := &Decider{c: c, rng: rand.New(rand.NewPCG(c.Seed, c.Self.Identity)), now: now, began: now, peers: map[string]*peer{},
		view: c.View, promised: c.Promised, acceptedBallot: c.AcceptedBallot, acceptedView: c.AcceptedView,
		status: Status{Position: &coordpb.Position{}, Healthy: true}}
	if d.view == nil {
		d.view = &coordpb.View{}
	}
	d.learnedAt = now
	if d.promised != nil {
		d.round, d.sealedAt = d.promised.Round, now
	}
	return d
}

// View is the last view that this process knows of; its epoch is 0 before the first one. It is not to be changed.
func (d *Decider) View() *coordpb.View { return d.view }

// Kept fills in what has to be on the disk of a process that goes on after this one.
func (d *Decider) Kept(to *coordpb.Durable) {
	if d.view.Epoch > 0 {
		to.View = d.view
	}
	to.Promised, to.AcceptedBallot, to.AcceptedView = d.promised, d.acceptedBallot, d.acceptedView
}

// IsSealed tells that this process has promised to leave the epoch of its view.
func (d *Decider) IsSealed() bool { return d.promised != nil }

// Know names the addresses of processes that may be members.
func (d *Decider) Know(addresses []string) { d.known = addresses }

// SetStatus tells how the owner stands.
func (d *Decider) SetStatus(s Status) { d.status = s }

// Tick takes in that time has passed.
func (d *Decider) Tick(now time.Duration) []Effect {
	d.begin(now)
	d.due()
	return d.out
}

// Receive takes in a message; ok is false where it is none of this package's.
func (d *Decider) Receive(now time.Duration, m *coordpb.Message) (effects []Effect, ok bool) {
	d.begin(now)
	from := m.From
	if from == nil {
		return nil, false
	}
	switch body := m.Body.(type) {
	case *coordpb.Message_Heartbeat:
		d.takeHeartbeat(from, body.Heartbeat)
	case *coordpb.Message_Prepare:
		d.takePrepare(from, body.Prepare)
	case *coordpb.Message_Promise:
		d.takePromise(from, body.Promise)
	case *coordpb.Message_Accept:
		d.takeAccept(from, body.Accept)
	case *coordpb.Message_Accepted:
		d.takeAccepted(from, body.Accepted)
	case *coordpb.Message_Reject:
		d.takeReject(body.Reject)
	case *coordpb.Message_Learn:
		d.learn(body.Learn.View)
	default:
		return nil, false
	}
	d.due()
	return d.out, true
}

func (d *Decider) begin(now time.Duration) {
	d.now, d.out = max(now, d.now), nil
}

func (d *Decider) do(e Effect) { d.out = append(d.out, e) }

func (d *Decider) send(to string, m *coordpb.Message) {
	m.From = d.c.Self
	d.do(Send{To: to, Message: m})
}

// due does what time calls for.
func (d *Decider) due() {
	if d.now >= d.beatAt {
		d.beat()
	}
	d.dueProposal()
}

// beat sends a heartbeat to all that may be members.
func (d *Decider) beat() {
	d.beatAt = d.now + HeartbeatEvery
	if !d.c.Core && !d.mayVote() {
		return
	}
	for _, address := range d.targets() {
		d.sendHeartbeat(address)
	}
}

func (d *Decider) sendHeartbeat(to string) {
	h := &coordpb.Heartbeat{Epoch: d.view.Epoch, Position: d.status.Position, Healthy: d.status.Healthy, Founder: d.c.Founder,
		Sealed: d.IsSealed(), Leaving: d.status.Leaving, Eligible: d.c.Core}
	for _, p := range d.peers {
		if d.alive(p) {
			h.Heard = append(h.Heard, p.member.Identity)
		}
	}
	if p := d.peers[to]; p != nil && p.epoch < d.view.Epoch {
		h.View = d.view
	}
	m := &coordpb.Message{From: d.c.Self, Body: &coordpb.Message_Heartbeat{Heartbeat: h}}
	d.do(Send{To: to, Message: m, Informal: true})
}

// targets are the addresses that heartbeats go to: members, those that stand by, and before a view is known the seeds.
func (d *Decider) targets() []string {
	var all []string
	add := func(address string) {
		if address != d.c.Self.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	for _, m := range d.view.Members {
		add(m.Address)
	}
	for _, address := range d.known {
		add(address)
	}
	for address, p := range d.peers {
		if d.now-p.heard < replaceAfter {
			add(address)
		}
	}
	if d.view.Epoch == 0 {
		for _, address := range d.c.Seeds {
			add(address)
		}
	}
	slices.Sort(all)
	return all
}

func (d *Decider) takeHeartbeat(from *coordpb.Member, h *coordpb.Heartbeat) {
	p := d.peers[from.Address]
	if p == nil {
		if len(d.peers) >= mostPeers {
			return
		}
		p = &peer{}
		d.peers[from.Address] = p
	}
	if p.member == nil || p.member.Identity != from.Identity {
		*p = peer{member: from, first: d.now, since: d.now, heard: d.now}
		if d.c.Core || d.mayVote() {
			d.sendHeartbeat(from.Address) // it waits for a word of this process
		}
	}
	if d.now-p.heard >= suspectAfter {
		p.since = d.now
	}
	p.heard, p.epoch, p.healthy, p.founder, p.leaving, p.eligible = d.now, h.Epoch, h.Healthy, h.Founder, h.Leaving, h.Eligible
	switch {
	case h.Healthy:
		p.unfit = 0
	case p.unfit == 0:
		p.unfit = d.now
	}
	p.hears = slices.Contains(h.Heard, d.c.Self.Identity)
	if p.position = h.Position; p.position == nil {
		p.position = &coordpb.Position{}
	}
	if h.View != nil {
		d.learn(h.View)
	}
	if h.Epoch < d.view.Epoch && d.view.Epoch > 0 {
		d.send(from.Address, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: d.view}}})
	}
}

// learn takes up a view that was decided.
func (d *Decider) learn(v *coordpb.View) {
	if v == nil || v.Epoch <= d.view.Epoch {
		return
	}
	d.same++
	if !sameIdentities(v.Chain, d.view.Chain) {
		d.same = 0
	}
	d.view, d.learnedAt = proto.Clone(v).(*coordpb.View), d.now
	d.promised, d.acceptedBallot, d.acceptedView, d.proposal, d.sealedAt, d.wantAt, d.inVain = nil, nil, nil, nil, 0, 0, 0
	d.notUntil = d.now + leastApart
	d.do(Write{&coordpb.Record{Body: &coordpb.Record_Learned{Learned: d.view}}})
	d.do(Decided{d.view})
}

// Majority is how many of n members agree on a view.
func Majority(n int) int { return n/2 + 1 }

// LeastChain is how short a chain of n members may be: the loss of as many as are tolerated leaves one of it, and any majority of the
// members has one of it, so that what was committed is always found.
func LeastChain(n, tolerance int) int {
	return max(min(tolerance+1, n), n-Majority(n)+1)
}

// Target is how many members are wanted where there are enough processes.
func Target(tolerance int) int { return max(2*tolerance+1, fewestMembers) }

// MemberOf returns the member of a view with an identity, nil for none.
func MemberOf(v *coordpb.View, identity uint64) *coordpb.Member {
	for _, m := range v.Members {
		if m.Identity == identity {
			return m
		}
	}
	return nil
}

// Less compares ballots; nil is the least.
func Less(a, b *coordpb.Ballot) bool {
	if a == nil || b == nil {
		return a == nil && b != nil
	}
	return cmp.Or(cmp.Compare(a.Round, b.Round), cmp.Compare(a.Proposer, b.Proposer)) < 0
}
