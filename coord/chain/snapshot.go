package chain

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// outgoingSnapshot is a snapshot that other replicas fetch in chunks.
type outgoingSnapshot struct {
	position *coordpb.Position
	data     []byte
	sum      uint64
	usedAt   time.Duration // when another replica last requested a chunk
}

// chunkAt returns the description of the chunk at an offset.
func (o *outgoingSnapshot) chunkAt(offset int) *coordpb.Part {
	return &coordpb.Part{Position: o.position, Size: uint64(len(o.data)), Sum: o.sum, Offset: uint64(offset)}
}

// matches reports whether a chunk belongs to this snapshot.
func (o *outgoingSnapshot) matches(p *coordpb.Part) bool {
	if o == nil || p == nil {
		return false
	}
	return p.Sum == o.sum && p.Size == uint64(len(o.data)) && sameState(p.Position, o.position) && p.Offset <= p.Size
}

// incomingSnapshot is a snapshot of which this replica has received the first chunks.
type incomingSnapshot struct {
	firstChunk *coordpb.Part // the description of the first chunk
	data       []byte
}

// matches reports whether a chunk belongs to this snapshot.
func (i *incomingSnapshot) matches(p *coordpb.Part) bool {
	return i != nil && i.firstChunk.Sum == p.Sum && i.firstChunk.Size == p.Size && sameState(i.firstChunk.Position, p.Position)
}

// outgoingSnapshotFor returns the snapshot from which to send a chunk. It returns the last snapshot
// if the receiver has begun with that one, or if the changes since then are cached. Otherwise it
// takes a new snapshot.
func (r *Replica) outgoingSnapshotFor(have *coordpb.Part) *outgoingSnapshot {
	o := r.catchUp.outgoing
	if o != nil {
		if _, ok := r.catchUp.recent.after(o.position, r.position); !ok && !o.matches(have) {
			o = nil
		}
	}
	if o == nil {
		data := r.machine.Snapshot()
		o = &outgoingSnapshot{position: r.position, data: data, sum: xxhash.Sum64(data)}
		r.catchUp.outgoing = o
	}
	o.usedAt = r.now
	return o
}

// handleSnapshot adds a received chunk, and replaces the state once the snapshot is complete.
func (r *Replica) handleSnapshot(from string, s *coordpb.Snapshot) {
	if s.Position == nil || !r.acceptsStateFrom(from, s.Epoch, s.Ahead) || !s.Ahead && r.synced {
		return
	}
	r.catchUp.unansweredRequests = 0
	position := s.Position
	if s.Part != nil {
		position = s.Part.Position
	}
	data, complete := r.addChunk(from, s)
	if !complete {
		return
	}
	if s.Ahead && !view.IsAhead(position, r.position) {
		r.catchUp.nextRequest = r.now + learnerPollInterval
		return
	}
	if r.machine.Restore(data) != nil {
		return
	}
	r.catchUp.recent = recentChanges{}
	r.position = &coordpb.Position{StateEpoch: position.GetStateEpoch(), Sequence: position.GetSequence(), EntryEpoch: position.GetEntryEpoch()}
	r.emit(Write{&coordpb.Record{Body: &coordpb.Record_Installed{Installed: &coordpb.Installed{Position: r.position, State: data}}}})
	r.continueCatchUp(from, s.Position, s.Ahead)
}

// addChunk adds a chunk to those that arrived before. complete is true once all chunks are there
// and the checksum is right.
func (r *Replica) addChunk(from string, s *coordpb.Snapshot) (data []byte, complete bool) {
	if s.Part == nil {
		return s.State, true
	}
	c := &r.catchUp
	if !c.incoming.matches(s.Part) {
		if s.Part.Offset > 0 || s.Part.Size > maxSnapshotBytes {
			return nil, false
		}
		c.incoming = &incomingSnapshot{firstChunk: s.Part}
	}
	incoming := c.incoming
	if s.Part.Offset != uint64(len(incoming.data)) {
		return nil, false // a duplicate chunk
	}
	incoming.data = append(incoming.data, s.State...)
	if uint64(len(incoming.data)) < incoming.firstChunk.Size {
		r.requestState(from, s.Ahead)
		return nil, false
	}
	c.incoming = nil
	return incoming.data, xxhash.Sum64(incoming.data) == incoming.firstChunk.Sum
}
