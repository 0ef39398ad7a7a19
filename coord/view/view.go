package view

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
)

// Config holds the settings and the persisted values from which New creates a Decider.
type Config struct {
	// Self identifies this process by its address and the identity of its storage.
	Self *coordpb.Member
	// Seeds are the addresses of the acceptors of the first view. All processes must have the same
	// seeds on their first start. Later a process contacts them only while it knows no view.
	Seeds []string
	// Founder reports whether this process may vote on the first view. It is true only for a
	// process that runs at its address for the first time, with new storage.
	Founder bool
	// Eligible reports whether this process may become a member.
	Eligible bool
	// Tolerance is how many members may be lost at once. A view has TargetMembers(Tolerance)
	// members, so a greater tolerance needs more machines and a longer chain.
	Tolerance int
	// Seed initializes the random number generator for the backoff.
	Seed uint64

	// View, Promised, AcceptedNumber and AcceptedView are the values that Persist stored before the
	// process restarted. They are nil for a process with new storage.
	View           *coordpb.View
	Promised       *coordpb.Ballot
	AcceptedNumber *coordpb.Ballot
	AcceptedView   *coordpb.View
}

// Status is the state of this process that its caller sets with SetStatus. The Decider reports all
// of it except Stalled to other processes, in heartbeats and promises.
type Status struct {
	// Position is the position of the replicated state on this process.
	Position *coordpb.Position
	// Idle is the time for which this process is certain not to have acted on its shards.
	Idle time.Duration
	// Confirmations lists the members to which this process has confirmed the epoch, with the age
	// of the last confirmation to each.
	Confirmations []*coordpb.Answered
	// Healthy reports whether writes reach the disk in time.
	Healthy bool
	// Stalled reports whether the chain has made no progress for so long that another view is
	// needed.
	Stalled bool
	// Draining reports whether the process is about to shut down.
	Draining bool
}

// Effect is an action that the caller of a Decider must carry out: Send, Write, ViewChanged or
// Sealed.
type Effect interface{ isEffect() }

// Send sends a message to an address.
type Send struct {
	To      string
	Message *coordpb.Message
	// Immediate reports whether the message may be sent before earlier Writes are durable, because
	// nothing in it depends on them. Other messages must wait for those Writes.
	Immediate bool
}

// Write appends a record to the log on disk. Messages that follow it in the effects depend on the
// record.
type Write struct{ Record *coordpb.Record }

// ViewChanged reports that a view was chosen. The view is in force from now on.
type ViewChanged struct{ View *coordpb.View }

// Sealed reports that this process has promised to leave its epoch. The process must no longer
// write, read or confirm anything in that epoch.
type Sealed struct{}

func (Send) isEffect() {}

func (Write) isEffect() {}

func (ViewChanged) isEffect() {}

func (Sealed) isEffect() {}

// Decider is the part of one process in the agreement on views: its proposer, acceptor and learner.
// A Decider isn't safe for concurrent use.
type Decider struct {
	config    Config
	rng       *rand.Rand
	now       time.Duration
	startedAt time.Duration
	effects   []Effect // of the current call
	status    Status

	// State of the learner and the acceptor. promised, acceptedNumber and acceptedView belong to
	// the instance that follows the view. promised is nil unless the epoch is sealed.
	view           *coordpb.View // its epoch is 0 before the first view
	learnedAt      time.Duration // when this process learned the view, or restarted with it
	promised       *coordpb.Ballot
	acceptedNumber *coordpb.Ballot
	acceptedView   *coordpb.View
	lastPromiseAt  time.Duration // when this process last promised or accepted, or restarted with a promise

	// State of the failure detection.
	peers          map[string]*peer // by address, at most maxPeers
	knownAddresses []string         // of processes that may be members, set by the caller
	nextHeartbeat  time.Duration

	// State of the proposer.
	nextEvaluation    time.Duration // when to check again whether another view is needed
	changeNeededSince time.Duration // 0 while no other view is needed
	nextProposal      time.Duration // the earliest time of the next proposal
	maxRound          uint64        // the greatest round seen in a proposal number
	proposal          *proposal     // the proposal in progress, nil for none
	failedProposals   int           // proposals that timed out since the last view, counted up to 2
	unchangedViews    int           // consecutive views with the same chain members as the view before
}

// New returns the Decider of a process that starts now. The persisted fields of c must have the
// latest values that are on the disk of the process.
func New(c Config, now time.Duration) *Decider {
	d := &Decider{
		config:         c,
		rng:            rand.New(rand.NewPCG(c.Seed, c.Self.Identity)),
		now:            now,
		startedAt:      now,
		status:         Status{Position: &coordpb.Position{}, Healthy: true},
		view:           c.View,
		promised:       c.Promised,
		acceptedNumber: c.AcceptedNumber,
		acceptedView:   c.AcceptedView,
		peers:          map[string]*peer{},
	}
	if d.view == nil {
		d.view = &coordpb.View{}
	}
	d.learnedAt = now
	if d.promised != nil {
		d.maxRound, d.lastPromiseAt = d.promised.Round, now
	}
	return d
}

// View returns the last view that this process has learned. Its epoch is 0 before the first view.
// The caller must not modify the view.
func (d *Decider) View() *coordpb.View { return d.view }

// Persist sets the fields of a saved state that belong to this package. After a restart these
// values go into Config.
func (d *Decider) Persist(to *coordpb.Durable) {
	if d.view.Epoch > 0 {
		to.View = d.view
	}
	to.Promised, to.AcceptedBallot, to.AcceptedView = d.promised, d.acceptedNumber, d.acceptedView
}

// IsSealed reports whether this process has promised to leave the epoch of its view.
func (d *Decider) IsSealed() bool { return d.promised != nil }

// SetKnownAddresses sets the addresses of processes that may be members. The Decider sends
// heartbeats to them.
func (d *Decider) SetKnownAddresses(addresses []string) { d.knownAddresses = addresses }

// SetStatus sets the status that this process uses and reports from now on.
func (d *Decider) SetStatus(s Status) { d.status = s }

// Tick runs the timers that are due. The caller must call it every few tens of milliseconds.
func (d *Decider) Tick(now time.Duration) []Effect {
	d.startStep(now)
	d.runTimers()
	return d.effects
}

// Receive handles a message. ok is false if the message has no sender or belongs to another
// package.
func (d *Decider) Receive(now time.Duration, m *coordpb.Message) (effects []Effect, ok bool) {
	d.startStep(now)
	from := m.From
	if from == nil {
		return nil, false
	}
	switch body := m.Body.(type) {
	case *coordpb.Message_Heartbeat:
		d.handleHeartbeat(from, body.Heartbeat)
	case *coordpb.Message_Prepare:
		d.handlePrepare(from, body.Prepare)
	case *coordpb.Message_Promise:
		d.handlePromise(from, body.Promise)
	case *coordpb.Message_Accept:
		d.handleAccept(from, body.Accept)
	case *coordpb.Message_Accepted:
		d.handleAccepted(from, body.Accepted)
	case *coordpb.Message_Reject:
		d.handleReject(body.Reject)
	case *coordpb.Message_Learn:
		d.learnView(body.Learn.View)
	default:
		return nil, false
	}
	d.runTimers()
	return d.effects, true
}

// startStep prepares for one input: it advances the clock, never backwards, and clears the effects.
func (d *Decider) startStep(now time.Duration) {
	d.now, d.effects = max(now, d.now), nil
}

func (d *Decider) emit(e Effect) { d.effects = append(d.effects, e) }

func (d *Decider) send(to string, m *coordpb.Message) {
	m.From = d.config.Self
	d.emit(Send{To: to, Message: m})
}

// runTimers sends heartbeats if they are due, and begins or continues a proposal.
func (d *Decider) runTimers() {
	if d.now >= d.nextHeartbeat {
		d.sendHeartbeats()
	}
	d.driveProposal()
}

// learnView adopts a chosen view, unless the view is already known or older than the known one. The
// promises and accepted values of its instance become obsolete.
func (d *Decider) learnView(v *coordpb.View) {
	if v == nil || v.Epoch <= d.view.Epoch {
		return
	}
	d.unchangedViews++
	if !sameIdentities(v.Chain, d.view.Chain) {
		d.unchangedViews = 0
	}
	d.view, d.learnedAt = proto.Clone(v).(*coordpb.View), d.now
	d.promised, d.acceptedNumber, d.acceptedView, d.lastPromiseAt = nil, nil, nil, 0
	d.proposal, d.changeNeededSince, d.failedProposals = nil, 0, 0
	d.nextProposal = d.now + minViewInterval
	d.emit(Write{&coordpb.Record{Body: &coordpb.Record_Learned{Learned: d.view}}})
	d.emit(ViewChanged{d.view})
}
