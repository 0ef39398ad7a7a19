package chain

import (
	"time"

	"reachspread/coord/coordpb"
)

const (
	// ResendInterval is how long a member waits for an answer from a neighbour before it resends
	// the message.
	ResendInterval = 200 * time.Millisecond
	// stallTimeout is how long a chain of one member may take for a change, and how long any chain
	// may make no progress at the beginning of an epoch, before another view is requested.
	stallTimeout = 900 * time.Millisecond
	// hopLatency is the additional time that a change may take for each further member of the
	// chain. It covers a write to the member's disk and a pause of its process.
	hopLatency = 150 * time.Millisecond
	// minLinkBandwidth is the lowest bandwidth, in bytes per second, that is expected for a change
	// on a link between members.
	minLinkBandwidth = 1 << 20
	// minRestartTime is the minimum time between the end of a process and the start of the next one
	// on its machine.
	minRestartTime = 250 * time.Millisecond
	// MaxQueuedCommands limits the number of commands that wait at the head. The head redirects
	// further ones.
	MaxQueuedCommands = 256
)

// Machine is the replicated state machine. It must be deterministic: the same changes lead to the
// same state on all replicas. Its methods run one at a time, on the goroutine that calls the
// replica's methods.
type Machine interface {
	// Decide executes a command on the current state without changing the state. It returns the
	// change that the command would make, nil for none, and the reply to the client. A client may
	// submit a command again, even after the command was committed, and the machine must recognize
	// such a repetition.
	Decide(command []byte) (change, reply []byte)
	// Apply makes a change that Decide returned on this or another replica.
	Apply(change []byte)
	// Snapshot returns the complete state.
	Snapshot() []byte
	// Restore replaces the state with a snapshot. It must leave the state unchanged if it returns
	// an error.
	Restore(snapshot []byte) error
	// Value returns the state in an immutable form, for readers in other goroutines.
	Value() any
}

// Effect is an action that the caller of a Replica must carry out: Send, Write or Committed.
type Effect interface{ isEffect() }

// Send sends a message to an address.
type Send struct {
	To      string
	Message *coordpb.Message
	// Immediate reports whether the message may be sent before earlier Writes are durable, because
	// nothing in it depends on them.
	Immediate bool
}

// Write appends a record to the log on disk. Messages and commits that follow it in the effects
// depend on the record.
type Write struct{ Record *coordpb.Record }

// Committed reports that the state is on the disks of all members of the chain, so that it may be
// shown to others.
type Committed struct {
	Position *coordpb.Position
	Value    any // the result of Machine.Value
}

func (Send) isEffect() {}

func (Write) isEffect() {}

func (Committed) isEffect() {}

// Replica is the copy of the state on one process. It isn't safe for concurrent use.
type Replica struct {
	self    *coordpb.Member
	machine Machine
	now     time.Duration
	effects []Effect // of the current call

	// State of the epoch.
	view             *coordpb.View
	sealed           bool          // this process has promised to leave the epoch
	resumed          bool          // this process has restarted in the epoch, and takes no further part in it
	synced           bool          // this process has the state that the epoch began with, or a later one
	successorsSynced bool          // all members behind this process are synced as well
	epochBeganAt     time.Duration // when this process began the epoch, or restarted in it
	earlySync        *coordpb.Sync // a Sync for an epoch whose view isn't known yet, nil for none
	earlySyncFrom    string        // the address of its sender

	// The replicated state.
	position  *coordpb.Position
	committed uint64 // the sequence of the last change that is known to be committed

	// State of the replication. At the head, inFlight is the change that is being replicated. At
	// other members, it is the last change that was forwarded.
	queue         []command // at most MaxQueuedCommands
	inFlight      *coordpb.Append
	inFlightSince time.Duration
	resendAt      time.Duration

	catchUp      catchUp
	confirmation confirmation
	confirmedTo  map[string]time.Duration // when this process last confirmed the epoch to a member, by the member's address
	deferred     []deferredReply          // at most maxDeferredReplies
}

// New returns the replica of process self. The state of machine m is at position p; nil is the
// position of the initial state.
func New(self *coordpb.Member, m Machine, p *coordpb.Position, now time.Duration) *Replica {
	if p == nil {
		p = &coordpb.Position{}
	}
	return &Replica{
		self:         self,
		machine:      m,
		position:     p,
		now:          now,
		view:         &coordpb.View{},
		confirmation: confirmation{confirmedAt: -1},
		confirmedTo:  map[string]time.Duration{},
	}
}

// Position returns the position of the state on this process, whether committed or not. The caller
// must not modify it.
func (r *Replica) Position() *coordpb.Position { return r.position }

// CommittedSequence returns the number of committed changes, as far as this process knows.
func (r *Replica) CommittedSequence() uint64 { return r.committed }

// Readable reports whether this process is the tail and has the state of the chain, so that it
// can answer reads.
func (r *Replica) Readable() bool { return !r.sealed && r.synced && r.isTail() }

// Idle returns the time for which this process is certain not to have acted on its shards. After a
// restart, until the next epoch begins, this is the time since the previous incarnation ended.
// Otherwise it is 0.
func (r *Replica) Idle() time.Duration {
	if r.resumed {
		return r.now - r.epochBeganAt + minRestartTime
	}
	return 0
}

// Stalled reports whether the chain has taken too long to commit a change or to begin the epoch,
// although its members seem to be alive. A member of the chain that has restarted in the epoch
// reports this at once.
func (r *Replica) Stalled() bool {
	if r.sealed || r.index() < 0 {
		return false
	}
	if !r.synced || !r.successorsSynced {
		return r.resumed || r.now-max(r.epochBeganAt, r.catchUp.progressAt) >= stallTimeout
	}
	return r.isHead() && r.inFlight != nil && r.inFlight.Sequence > r.committed && r.now-r.inFlightSince >= r.commitTimeout()
}

// commitTimeout returns how long the chain may take to commit the change in flight. It grows with
// the length of the chain and the size of the change.
func (r *Replica) commitTimeout() time.Duration {
	hops := len(r.view.Chain) - 1
	return stallTimeout + time.Duration(hops)*hopLatency + time.Duration(hops*len(r.inFlight.Change))*time.Second/minLinkBandwidth
}

// Tick runs the timers that are due.
func (r *Replica) Tick(now time.Duration) []Effect {
	r.startStep(now)
	if r.index() >= 0 && !r.sealed && r.synced && r.now >= r.resendAt {
		switch {
		case !r.successorsSynced && !r.isTail():
			r.sendSync()
		case r.inFlight != nil && r.inFlight.Sequence > r.committed:
			r.forward(r.inFlight)
		}
	}
	r.runCatchUpTimers()
	r.runConfirmTimers()
	return r.effects
}

// Receive handles a message. ok is false if the message belongs to another package.
func (r *Replica) Receive(now time.Duration, m *coordpb.Message) (effects []Effect, ok bool) {
	r.startStep(now)
	from := m.GetFrom().GetAddress()
	switch body := m.Body.(type) {
	case *coordpb.Message_Sync:
		r.handleSync(from, body.Sync)
	case *coordpb.Message_Synced:
		if r.isActiveIn(body.Synced.Epoch) && r.synced && from == r.successor() {
			r.completeChainSync()
		}
	case *coordpb.Message_Need:
		r.handleStateRequest(from, body.Need)
	case *coordpb.Message_Snapshot:
		r.handleSnapshot(from, body.Snapshot)
	case *coordpb.Message_Entries:
		r.handleEntries(from, body.Entries)
	case *coordpb.Message_Syncing:
		r.handleSyncing(from, body.Syncing)
	case *coordpb.Message_Append:
		r.handleAppend(from, body.Append)
	case *coordpb.Message_Commit:
		r.handleCommit(from, body.Commit)
	case *coordpb.Message_Confirm:
		r.handleConfirm(from, body.Confirm)
	case *coordpb.Message_Confirmed:
		r.handleConfirmed(from, body.Confirmed)
	case *coordpb.Message_Submit:
		r.handleSubmit(from, body.Submit)
	case *coordpb.Message_Read:
		r.handleRead(from, body.Read)
	default:
		return nil, false
	}
	return r.effects, true
}

// startStep prepares for one input: it advances the clock, never backwards, and clears the effects.
func (r *Replica) startStep(now time.Duration) { r.now, r.effects = max(now, r.now), nil }

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Replica) send(to string, m *coordpb.Message) {
	if to == "" {
		return
	}
	m.From = r.self
	r.emit(Send{To: to, Message: m})
}

// isActiveIn reports whether this process takes part in an epoch: it is in the chain, hasn't sealed
// the epoch and hasn't restarted in it.
func (r *Replica) isActiveIn(epoch uint64) bool {
	return epoch == r.view.Epoch && !r.sealed && !r.resumed && r.index() >= 0
}
