package chain

import (
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

const (
	// chunkBytes is the size of a chunk of a snapshot: 0.05 s on a link of 10 Mbit/s, so that
	// heartbeats queued behind one are in time.
	chunkBytes = 64 << 10
	// maxRecentChanges and maxRecentBytes bound the changes that are cached for replicas that lack
	// only these. Replicas that lag further need a snapshot.
	maxRecentChanges = 256
	maxRecentBytes   = 1 << 20
	// maxEntriesBytes bounds the changes in one message, unless it has a single one.
	maxEntriesBytes = 256 << 10
	// maxSnapshotBytes bounds a snapshot that is received.
	maxSnapshotBytes = 64 << 20
	// requestTimeout is after how long a request for the state that wasn't answered is sent again.
	requestTimeout = 400 * time.Millisecond
	// learnerPollInterval is the time between two requests of a learner that has caught up.
	learnerPollInterval = 300 * time.Millisecond
	// snapshotTTL is how long a snapshot is kept after its last chunk was requested.
	snapshotTTL = 5 * time.Second
)

// catchUp is the state of getting what this replica lacks, and of serving what others lack.
type catchUp struct {
	learner            bool // it gets the state also while it is outside the chain
	recent             recentChanges
	outgoing           *outgoingSnapshot
	incoming           *incomingSnapshot
	nextRequest        time.Duration // the earliest time of the next request
	unansweredRequests int           // in a row, as a learner

	progress          uint64 // grows whenever this replica or one behind it gets more of the state
	successorProgress uint64 // as the successor last reported its own
	progressAt        time.Duration
}

// FollowAsLearner has the replica follow the state also while it is outside the chain, so that
// it can join the chain of the next epoch at once.
func (r *Replica) FollowAsLearner() { r.catchUp.learner = true }

// participates reports whether this process is in the chain and hasn't restarted in its epoch.
func (r *Replica) participates() bool { return r.index() >= 0 && !r.resumed }

// runCatchUpTimers drops a snapshot that nobody fetches any more, and requests the state that
// this replica lacks.
func (r *Replica) runCatchUpTimers() {
	c := &r.catchUp
	if c.outgoing != nil && r.now-c.outgoing.usedAt >= snapshotTTL {
		c.outgoing = nil
	}
	if r.participates() {
		if !r.synced && c.incoming != nil && r.now >= c.nextRequest {
			r.requestState(r.predecessor(), false)
		}
		return
	}
	if c.learner && !r.sealed && len(r.view.Chain) > 0 && r.now >= c.nextRequest {
		c.unansweredRequests++
		r.requestState(r.learnerSource(), true)
	}
}

// learnerSource is whom a learner asks: the tail, and the other members by turns while requests
// aren't answered.
func (r *Replica) learnerSource() string {
	n := len(r.view.Chain)
	at := addressAt(r.view, (n-1)-(r.catchUp.unansweredRequests-1)%n)
	if at == r.self.Address {
		return addressAt(r.view, (n-1)-r.catchUp.unansweredRequests%n)
	}
	return at
}

// requestState asks a member for what the state lacks; ahead says that a learner asks.
func (r *Replica) requestState(from string, asLearner bool) {
	c := &r.catchUp
	c.nextRequest = r.now + requestTimeout
	n := &coordpb.Need{Epoch: r.view.Epoch, Position: r.position, Ahead: asLearner}
	if c.incoming != nil {
		first := c.incoming.firstChunk
		n.Have = &coordpb.Part{Position: first.Position, Size: first.Size, Sum: first.Sum, Offset: uint64(len(c.incoming.data))}
	}
	r.send(from, &coordpb.Message{Body: &coordpb.Message_Need{Need: n}})
}

// handleStateRequest sends what a state lacks: cached changes, or else a chunk of a snapshot.
func (r *Replica) handleStateRequest(from string, n *coordpb.Need) {
	if !r.isActiveIn(n.Epoch) || !r.synced || !n.Ahead && from != r.successor() {
		return
	}
	if n.Ahead && !sameState(n.Position, r.position) && !view.IsAhead(r.position, n.Position) {
		return // the learner is ahead
	}
	if !n.Ahead {
		r.recordProgress()
	}
	if changes, ok := r.catchUp.recent.after(n.Position, r.position); ok {
		r.sendEntries(from, n, changes)
		return
	}
	o := r.outgoingSnapshotFor(n.Have)
	offset := 0
	if o.matches(n.Have) {
		offset = int(n.Have.Offset)
	}
	data := o.data[offset:min(len(o.data), offset+chunkBytes)]
	chunk := &coordpb.Snapshot{Epoch: n.Epoch, Position: r.position, State: data, Part: o.chunkAt(offset), Ahead: n.Ahead}
	r.send(from, &coordpb.Message{Body: &coordpb.Message_Snapshot{Snapshot: chunk}})
}

// sendEntries sends changes, as many as fit into one message.
func (r *Replica) sendEntries(to string, n *coordpb.Need, changes []recentChange) {
	m := &coordpb.Entries{Epoch: n.Epoch, Position: r.position, Ahead: n.Ahead}
	bytes := 0
	for i, x := range changes {
		if bytes += len(x.entry.Change); i > 0 && bytes > maxEntriesBytes {
			break
		}
		if i == 0 {
			m.PreviousEpoch = x.previous
		}
		m.Entries = append(m.Entries, x.entry)
	}
	r.send(to, &coordpb.Message{Body: &coordpb.Message_Entries{Entries: m}})
}

// acceptsStateFrom reports whether the state may be taken from a member: by a learner from any,
// in the chain from the predecessor.
func (r *Replica) acceptsStateFrom(from string, epoch uint64, asLearner bool) bool {
	if epoch != r.view.Epoch || r.sealed {
		return false
	}
	if asLearner {
		return !r.participates()
	}
	return r.isActiveIn(epoch) && from == r.predecessor()
}

// handleEntries applies changes that the state lacks.
func (r *Replica) handleEntries(from string, e *coordpb.Entries) {
	if e.Position == nil || !r.acceptsStateFrom(from, e.Epoch, e.Ahead) {
		return
	}
	r.catchUp.unansweredRequests = 0
	previous := e.PreviousEpoch
	for _, entry := range e.Entries {
		if entry == nil || entry.Sequence != r.position.Sequence+1 || previous != r.position.EntryEpoch {
			return // an old answer
		}
		r.applyCaughtUp(entry, previous, e.Ahead)
		previous = entry.Epoch
	}
	if e.Ahead || !r.synced {
		r.continueCatchUp(from, e.Position, e.Ahead)
	}
}

// applyCaughtUp applies one change. Once this replica is synced, the members behind it lack the
// change as well, and it is forwarded.
func (r *Replica) applyCaughtUp(e *coordpb.Entry, previous uint64, asLearner bool) {
	if asLearner || !r.synced {
		r.apply(e)
		return
	}
	r.replicate(&coordpb.Append{Epoch: e.Epoch, Sequence: e.Sequence, PreviousEpoch: previous, Change: e.Change})
}

// continueCatchUp goes on after something was taken from a member: with the epoch, if the
// states are the same now, else with the next request.
func (r *Replica) continueCatchUp(from string, to *coordpb.Position, asLearner bool) {
	if !sameState(r.position, to) {
		r.requestState(from, asLearner)
		return
	}
	if !asLearner {
		r.completeSync()
		return
	}
	r.catchUp.nextRequest = r.now + learnerPollInterval
	if to.StateEpoch > r.position.StateEpoch {
		r.setStateEpoch(to.StateEpoch)
	}
}

// setStateEpoch records that this replica has the state that an epoch began with.
func (r *Replica) setStateEpoch(epoch uint64) {
	r.position = &coordpb.Position{StateEpoch: epoch, Sequence: r.position.Sequence, EntryEpoch: r.position.EntryEpoch}
	r.emit(Write{&coordpb.Record{Body: &coordpb.Record_StateEpoch{StateEpoch: epoch}}})
}
