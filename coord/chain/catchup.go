package chain

import (
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

const (
	// chunkBytes is the size of a chunk of a snapshot. A link of 10 Mbit/s takes 0.05 s for a
	// chunk, so heartbeats that are queued behind one still arrive in time.
	chunkBytes = 64 << 10
	// maxRecentChanges and maxRecentBytes limit the changes that are cached for replicas that lack
	// only these. A replica that lags further needs a snapshot.
	maxRecentChanges = 256
	maxRecentBytes   = 1 << 20
	// maxEntriesBytes limits the total size of the changes in one message. A message with a single
	// change may be larger.
	maxEntriesBytes = 256 << 10
	// maxSnapshotBytes limits the size of a snapshot that this replica accepts.
	maxSnapshotBytes = 64 << 20
	// requestTimeout is how long a replica waits for the answer to a request for state before it
	// sends the request again.
	requestTimeout = 400 * time.Millisecond
	// learnerPollInterval is the time between two requests of a learner that has caught up.
	learnerPollInterval = 300 * time.Millisecond
	// snapshotTTL is how long a replica keeps a snapshot after a chunk of it was last requested.
	snapshotTTL = 5 * time.Second
)

// catchUp holds what a replica needs to fetch the state that it lacks, and to serve the state that
// other replicas lack.
type catchUp struct {
	learner            bool // this replica fetches the state even while it is outside the chain
	recent             recentChanges
	outgoing           *outgoingSnapshot
	incoming           *incomingSnapshot
	nextRequest        time.Duration // the earliest time of the next request
	unansweredRequests int           // consecutive requests without an answer, as a learner

	progress          uint64        // grows whenever this replica or a member behind it receives more of the state
	successorProgress uint64        // the progress that the successor last reported
	progressAt        time.Duration // when progress last grew
}

// FollowAsLearner makes the replica follow the state even while it is outside the chain, so that it
// can join the chain of the next epoch at once.
func (r *Replica) FollowAsLearner() { r.catchUp.learner = true }

// participates reports whether this process is in the chain and hasn't restarted in the current
// epoch.
func (r *Replica) participates() bool { return r.index() >= 0 && !r.resumed }

// runCatchUpTimers drops a snapshot that other replicas no longer fetch, and requests the state
// that this replica lacks.
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

// learnerSource returns the address of the member that a learner asks for state. This is the tail
// first. While requests remain unanswered, the learner asks the other members in turn.
func (r *Replica) learnerSource() string {
	n := len(r.view.Chain)
	at := addressAt(r.view, (n-1)-(r.catchUp.unansweredRequests-1)%n)
	if at == r.self.Address {
		return addressAt(r.view, (n-1)-r.catchUp.unansweredRequests%n)
	}
	return at
}

// requestState asks a member for what this replica lacks. asLearner reports whether this replica
// asks as a learner.
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

// handleStateRequest sends what the state of another replica lacks: the changes if they are cached,
// otherwise a chunk of a snapshot.
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

// sendEntries sends as many of the changes as fit into one message.
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

// acceptsStateFrom reports whether this replica may take state from a member. A learner takes it
// from any member, and a member of the chain only from its predecessor.
func (r *Replica) acceptsStateFrom(from string, epoch uint64, asLearner bool) bool {
	if epoch != r.view.Epoch || r.sealed {
		return false
	}
	if asLearner {
		return !r.participates()
	}
	return r.isActiveIn(epoch) && from == r.predecessor()
}

// handleEntries applies changes that this replica lacks.
func (r *Replica) handleEntries(from string, e *coordpb.Entries) {
	if e.Position == nil || !r.acceptsStateFrom(from, e.Epoch, e.Ahead) {
		return
	}
	r.catchUp.unansweredRequests = 0
	previous := e.PreviousEpoch
	for _, entry := range e.Entries {
		if entry == nil || entry.Sequence != r.position.Sequence+1 || previous != r.position.EntryEpoch {
			return // an answer to an older request
		}
		r.applyCaughtUp(entry, previous, e.Ahead)
		previous = entry.Epoch
	}
	if e.Ahead || !r.synced {
		r.continueCatchUp(from, e.Position, e.Ahead)
	}
}

// applyCaughtUp applies one change. If this replica is already synced, the members behind it lack
// the change as well, so applyCaughtUp also forwards it.
func (r *Replica) applyCaughtUp(e *coordpb.Entry, previous uint64, asLearner bool) {
	if asLearner || !r.synced {
		r.apply(e)
		return
	}
	r.replicate(&coordpb.Append{Epoch: e.Epoch, Sequence: e.Sequence, PreviousEpoch: previous, Change: e.Change})
}

// continueCatchUp takes the next step after this replica has received state from a member. If the
// states still differ, it requests more. If they are equal, a member of the chain completes its
// synchronization, and a learner waits for learnerPollInterval.
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
