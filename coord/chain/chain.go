package chain

import (
	"time"

	"reachspread/coord/coordpb"
)

const (
	// ResendInterval is after how long a message to a neighbour that wasn't answered is sent again.
	ResendInterval = 200 * time.Millisecond
	// stallTimeout is how long a chain of one member may take for a change, or any chain may go
	// without progress at the beginning of an epoch, before another view is called for.
	stallTimeout = 900 * time.Millisecond
	// hopLatency is how long each further member may take for a change: a write to its disk, and a
	// pause of the process.
	hopLatency = 150 * time.Millisecond
	// minLinkBandwidth is the least bandwidth between members that a change may be expected to
	// travel at, in bytes a second.
	minLinkBandwidth = 1 << 20
	// minRestartTime is the least time between the end of a process and the start of the next one
	// on its machine.
	minRestartTime = 250 * time.Millisecond
	// MaxQueuedCommands bounds the commands that wait at the head. Further ones are redirected.
	MaxQueuedCommands = 256
)

// Machine is the replicated state machine. It has to be deterministic: the same changes lead to
// the same state on all replicas. Its methods are called by the caller of the replica's methods,
// one at a time.
type Machine interface {
	// Decide executes a command on the present state without changing it: it returns the change
	// that it would make, nil for none, and the reply to the client. A client may submit a command
	// again, also after it was committed; the machine has to recognize it.
	Decide(command []byte) (change, reply []byte)
	// Apply makes a change that Decide has returned on this or another replica.
	Apply(change []byte)
	// Snapshot returns the complete state.
	Snapshot() []byte
	// Restore replaces the state by a snapshot, and leaves it as it is if it returns an error.
	Restore(snapshot []byte) error
	// Value returns the state in an immutable form, for readers in other goroutines.
	Value() any
}

// Effect is something that the owner of a Replica has to carry out: Send, Write or Committed.
type Effect interface{ isEffect() }

// Send sends a message to an address.
type Send struct {
	To      string
	Message *coordpb.Message
	// Immediate reports whether the message may be sent before earlier Writes are durable, as
	// nothing in it depends on them.
	Immediate bool
}

// Write appends a record to the log on disk. Messages and commits that come after it depend on it.
type Write struct{ Record *coordpb.Record }

// Committed reports that the state is on the disks of all members of the chain, so it may be
// shown to others.
type Committed struct {
	Position *coordpb.Position
	Value    any // Machine.Value
}

func (Send) isEffect() {}

func (Write) isEffect() {}

func (Committed) isEffect() {}

// Replica is one process's copy of the state. It isn't safe for concurrent use.
type Replica struct {
	self    *coordpb.Member
	machine Machine
	now     time.Duration
	effects []Effect // of the present step

	// The epoch.
	view             *coordpb.View
	sealed           bool          // this process has promised to leave the epoch
	resumed          bool          // it was in the epoch before it restarted, and takes no further part
	synced           bool          // it has the state that the epoch began with, or a later one
	successorsSynced bool          // so have all members behind it
	epochBeganAt     time.Duration // for this process
	earlySync        *coordpb.Sync // of an epoch whose view isn't known yet, nil for none
	earlySyncFrom    string

	// The state.
	position  *coordpb.Position
	committed uint64 // the sequence up to which changes are committed, as far as is known here

	// Replication. At the head inFlight is the change that is being replicated, elsewhere the last
	// one that was forwarded.
	queue         []command // at most MaxQueuedCommands
	inFlight      *coordpb.Append
	inFlightSince time.Duration
	resendAt      time.Duration

	catchUp      catchUp
	confirmation confirmation
	confirmedTo  map[string]time.Duration // when this process last confirmed the epoch, by address
	deferred     []deferredReply          // at most maxDeferredReplies
}

// New returns a replica whose machine has the state of a position, nil for the initial state.
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

// Position is that of the state here, committed or not. It must not be changed.
func (r *Replica) Position() *coordpb.Position { return r.position }

// CommittedSequence is the number of committed changes, as far as this process knows.
func (r *Replica) CommittedSequence() uint64 { return r.committed }

// Readable reports whether this process is the tail and has the state of the chain, so that it
// can answer reads.
func (r *Replica) Readable() bool { return !r.sealed && r.synced && r.isTail() }

// Idle is for how long this process certainly hasn't acted on its shards: since its last
// incarnation ended, if it hasn't been in a chain since.
func (r *Replica) Idle() time.Duration {
	if r.resumed {
		return r.now - r.epochBeganAt + minRestartTime
	}
	return 0
}

// Stalled reports whether the chain has taken too long for a change or for the beginning of the
// epoch, though its members seem to be alive.
func (r *Replica) Stalled() bool {
	if r.sealed || r.index() < 0 {
		return false
	}
	if !r.synced || !r.successorsSynced {
		return r.resumed || r.now-max(r.epochBeganAt, r.catchUp.progressAt) >= stallTimeout
	}
	return r.isHead() && r.inFlight != nil && r.inFlight.Sequence > r.committed && r.now-r.inFlightSince >= r.commitTimeout()
}

// commitTimeout is how long the chain may take for the change in flight. It grows with the
// length of the chain and the size of the change.
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

// Receive handles a message; ok is false if it belongs to another package.
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

// startStep begins the handling of one input.
func (r *Replica) startStep(now time.Duration) { r.now, r.effects = max(now, r.now), nil }

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Replica) send(to string, m *coordpb.Message) {
	if to == "" {
		return
	}
	m.From = r.self
	r.emit(Send{To: to, Message: m})
}

// isActiveIn reports whether this process is in the chain of an epoch and hasn't left it.
func (r *Replica) isActiveIn(epoch uint64) bool {
	return epoch == r.view.Epoch && !r.sealed && !r.resumed && r.index() >= 0
}
