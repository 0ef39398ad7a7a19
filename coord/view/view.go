package view

import (
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
)

// Config is what a Decider is made with.
type Config struct {
	// Self is this process: its address, and the identity of its storage.
	Self *coordpb.Member
	// Seeds are the addresses of the acceptors of the first view. They have to be the same in all
	// processes on the first start; later they are only contacted while no view is known.
	Seeds []string
	// Founder reports whether this process may vote on the first view: it runs at its address for
	// the first time, with new storage.
	Founder bool
	// Eligible reports whether this process may become a member.
	Eligible bool
	// Tolerance is how many members may be lost at once. A view has TargetMembers(Tolerance)
	// members; more tolerance costs more machines and a longer chain.
	Tolerance int
	// Seed is the seed of the random backoff.
	Seed uint64

	// View, Promised, AcceptedNumber and AcceptedView are what Persist gave before the process
	// restarted. They are nil for a process with new storage.
	View           *coordpb.View
	Promised       *coordpb.Ballot
	AcceptedNumber *coordpb.Ballot
	AcceptedView   *coordpb.View
}

// Status is what the owner of a Decider reports to other processes in heartbeats and promises.
type Status struct {
	// Position is that of the replicated state here.
	Position *coordpb.Position
	// Idle is for how long this process certainly hasn't acted on its shards.
	Idle time.Duration
	// Confirmations are the ages of the last confirmations of the epoch, by the member they went
	// to.
	Confirmations []*coordpb.Answered
	// Healthy reports whether writes get to the disk in time.
	Healthy bool
	// Stalled reports whether the chain has made no progress for too long, so that another view is
	// needed.
	Stalled bool
	// Draining reports whether the process is about to shut down.
	Draining bool
}

// Effect is something that the owner of a Decider has to carry out: Send, Write, ViewChanged or
// Sealed.
type Effect interface{ isEffect() }

// Send sends a message to an address.
type Send struct {
	To      string
	Message *coordpb.Message
	// Immediate reports whether the message may be sent before earlier Writes are durable, as
	// nothing in it depends on them. Others have to wait for those.
	Immediate bool
}

// Write appends a record to the log on disk. Messages that come after it depend on the record.
type Write struct{ Record *coordpb.Record }

// ViewChanged reports that a view was chosen. It is in force from now on.
type ViewChanged struct{ View *coordpb.View }

// Sealed reports that this process has promised to leave its epoch: it must not write, read or
// confirm anything in it any more.
type Sealed struct{}

func (Send) isEffect() {}

func (Write) isEffect() {}

func (ViewChanged) isEffect() {}

func (Sealed) isEffect() {}

// Decider is one process's part in the agreement on views: proposer, acceptor and learner. It isn't
// safe for concurrent use.
type Decider struct {
	config    Config
	rng       *rand.Rand
	now       time.Duration
	startedAt time.Duration
	effects   []Effect // of the present step
	status    Status

	// The learner and acceptor. promised, acceptedNumber and acceptedView are of the instance after
	// the view; promised is nil unless the epoch is sealed.
	view           *coordpb.View // epoch 0 before the first one
	learnedAt      time.Duration // when the view was learned
	promised       *coordpb.Ballot
	acceptedNumber *coordpb.Ballot
	acceptedView   *coordpb.View
	lastPromiseAt  time.Duration // the last sign of a proposal that this process promised to

	// Failure detection.
	peers          map[string]*peer // by address, at most maxPeers
	knownAddresses []string         // of processes that may be members, from the owner
	nextHeartbeat  time.Duration

	// The proposer.
	nextEvaluation    time.Duration // when to look again whether another view is needed
	changeNeededSince time.Duration // 0 while none is needed
	nextProposal      time.Duration // the earliest time of the next proposal
	maxRound          uint64        // the greatest round seen in a proposal number
	proposal          *proposal     // in progress, nil for none
	failedProposals   int           // since the last view, at most 2
	unchangedViews    int           // views in a row that had the chain of the one before
}

// New returns the Decider of a process that starts now. The values of c that were persisted
// have to be the last ones that are on its disk.
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

// View is the last view that this process has learned; its epoch is 0 before the first one. It
// must not be changed.
func (d *Decider) View() *coordpb.View { return d.view }

// Persist sets the fields of a saved state that belong to this package, for Config after a
// restart.
func (d *Decider) Persist(to *coordpb.Durable) {
	if d.view.Epoch > 0 {
		to.View = d.view
	}
	to.Promised, to.AcceptedBallot, to.AcceptedView = d.promised, d.acceptedNumber, d.acceptedView
}

// IsSealed reports whether this process has promised to leave the epoch of its view.
func (d *Decider) IsSealed() bool { return d.promised != nil }

// SetKnownAddresses sets the addresses of processes that may be members. Heartbeats go to them.
func (d *Decider) SetKnownAddresses(addresses []string) { d.knownAddresses = addresses }

// SetStatus sets what this process reports of itself from now on.
func (d *Decider) SetStatus(s Status) { d.status = s }

// Tick runs the timers that are due. The owner calls it every few tens of milliseconds.
func (d *Decider) Tick(now time.Duration) []Effect {
	d.startStep(now)
	d.runTimers()
	return d.effects
}

// Receive handles a message; ok is false if it belongs to another package.
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

// startStep begins the handling of one input.
func (d *Decider) startStep(now time.Duration) {
	d.now, d.effects = max(now, d.now), nil
}

func (d *Decider) emit(e Effect) { d.effects = append(d.effects, e) }

func (d *Decider) send(to string, m *coordpb.Message) {
	m.From = d.config.Self
	d.emit(Send{To: to, Message: m})
}

// runTimers does what is due by now.
func (d *Decider) runTimers() {
	if d.now >= d.nextHeartbeat {
		d.sendHeartbeats()
	}
	d.driveProposal()
}

// learnView takes up a view that was chosen, unless it is known or older. Promises and accepted
// values of the instance are obsolete with it.
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
