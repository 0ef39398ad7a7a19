package quorum

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// newHello describes the own store to others.
func (v *Voter) newHello() *hello {
	h := &hello{Stage: v.stage(), LastTerm: v.lastEntry.term, LastIndex: v.lastEntry.index, HighestToken: v.meta.HighestToken,
		Members: v.meta.Members, Voters: v.meta.Voters, Applied: v.applied}
	// What is only reported to this router is not passed on.
	if h.Stage == Voting || h.Stage == Learning {
		h.Leader = v.Leader()
	}
	if v.hardState != nil {
		h.Term = v.hardState.GetTerm()
	}
	if v.raft != nil {
		h.LastIndex, _ = v.storage.LastIndex()
		h.LastTerm, _ = v.storage.Term(h.LastIndex)
	}
	return h
}

// sendHellos asks all candidates what they know.
func (v *Voter) sendHellos(often bool) {
	v.nextHelloAt = v.now + memberHelloInterval
	if often {
		v.nextHelloAt = v.now + helloInterval
	}
	h := v.newHello()
	h.WantsReply = true
	for _, name := range v.config.Candidates {
		if name != v.config.Self {
			v.send(name, &message{Hello: h})
		}
	}
}

// recentHello returns the last message with a hello of a candidate, if it still counts.
func (v *Voter) recentHello(name string) (*message, bool) {
	h, ok := v.hellos[name]
	return h.message, ok && v.now < h.at+helloTTL
}

// handleMessage takes in a message of another candidate.
func (v *Voter) handleMessage(m *message) {
	stale := v.checkStoreRecord(m)
	v.storeIDs[m.From.Name] = m.From.ID
	if m.Hello != nil {
		v.hellos[m.From.Name] = receivedHello{v.now, m}
		v.observeToken(m.Hello.HighestToken)
	}
	v.followGroup(m)
	if m.Hello != nil {
		v.handleHello(m, stale)
		return
	}
	if stale == "" && v.raft != nil && m.Group == v.meta.Group && m.To == v.meta.ID {
		v.handleRaft(m)
	}
}

// followGroup goes over to a group that was founded after the own one.
func (v *Voter) followGroup(m *message) {
	if m.Group <= v.meta.Group {
		return
	}
	if v.meta.Group == 0 { // whoever founded it may count on this store
		v.meta.Group = m.Group
		v.actions = append(v.actions, Persist{Meta: v.cloneMeta()})
		return
	}
	clear(v.meta.StoreRecords) // of stores of the last group
	if v.meta.Starts == firstStart && v.isLogEmpty() {
		// Whoever founded the new group may count on this store as well.
		v.resetStore(m.Group, v.meta.ID)
		return
	}
	v.notice(NoticeRejoining, fmt.Sprintf("%s belongs to group %d, founded after the own one", m.From.Name, m.Group))
	v.newStore(m.Group)
}

// handleRaft takes in a message of another voter's engine.
func (v *Voter) handleRaft(m *message) {
	r, err := decodeRaft(m.Raft)
	if err != nil || r.GetFrom() != m.From.ID || r.GetTo() != v.meta.ID {
		return
	}
	v.recordProgress(r)
	term := v.raft.BasicStatus().GetTerm()
	switch r.GetType() {
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgProp, raftpb.MsgCheckQuorum, raftpb.MsgUnreachable, raftpb.MsgSnapStatus, raftpb.MsgForgetLeader, raftpb.MsgTransferLeader:
		return // only the own engine may be told those
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if r.GetTerm() >= term {
			v.resetElectionTimer()
		}
	case raftpb.MsgVote:
		if r.GetTerm() > term {
			v.nextElectionAt = max(v.nextElectionAt, v.now+v.config.electionTimeout())
		}
	}
	v.raft.Step(r)
}

// handleHello replies to a hello, and takes in what one that replies says of the own store. Stale
// is why the sender's store is an older copy, empty if it isn't.
func (v *Voter) handleHello(m *message, stale string) {
	h := m.Hello
	if h.WantsReply {
		reply := v.newHello()
		reply.ReplyToStore, reply.ReplyToBoot, reply.ReplyToStarts, reply.Stale = m.From.ID, m.Boot, m.Starts, stale
		v.send(m.From.Name, &message{To: m.From.ID, Hello: reply})
	}
	isReply := h.ReplyToStore == v.meta.ID && h.ReplyToBoot == v.config.Boot && h.ReplyToStarts == v.meta.Starts
	if !isReply || m.Group != v.meta.Group {
		return
	}
	if h.Stale != "" {
		v.notice(NoticeRejoining, fmt.Sprintf("%s says: %s", m.From.Name, h.Stale))
		v.newStore(v.meta.Group)
		return
	}
	v.confirmedBy[m.From.ID] = true
	if v.wasRemoved(h) {
		v.notice(NoticeRejoining, m.From.Name+" says: the group has gone on without it")
		v.newStore(v.meta.Group)
	}
}

// wasRemoved reports whether a member that is further along has no member with the own store.
func (v *Voter) wasRemoved(h *hello) bool {
	if v.stage() == Joining || h.Leader == "" || h.Applied < v.newHello().LastIndex || h.Applied <= v.applied {
		return false
	}
	return !slices.ContainsFunc(h.Members, func(n Node) bool { return n.ID == v.meta.ID })
}

// checkStoreRecord compares what a store shows with what is known of it, and records what is new.
// It returns why the store is an older copy, empty if it isn't.
func (v *Voter) checkStoreRecord(m *message) (stale string) {
	if m.Group != v.meta.Group {
		return ""
	}
	r, known := v.meta.StoreRecords[m.From.ID]
	switch {
	case !known && len(v.meta.StoreRecords) >= maxStoreRecords:
		v.dropStoreRecords()
	case m.Starts < r.Starts || m.Starts == r.Starts && m.Boot != r.Boot && known:
		return fmt.Sprintf("it has begun %d times, not %d", r.Starts, m.Starts)
	}
	if m.Hello != nil && known && m.Boot != r.Boot {
		if stale := r.staleness(m.Hello); stale != "" {
			return stale
		}
	}
	if m.Starts != r.Starts || m.Boot != r.Boot {
		r.Starts, r.Boot = m.Starts, m.Boot
		v.meta.StoreRecords[m.From.ID] = r
		// It is persisted before anybody is told that the store is complete.
		v.actions = append(v.actions, Persist{Meta: v.cloneMeta()})
	}
	return ""
}

// staleness says by what a store falls short of its record, empty if it doesn't.
func (r *StoreRecord) staleness(h *hello) string {
	if h.Term < r.Term {
		return fmt.Sprintf("it was in term %d, not %d", r.Term, h.Term)
	}
	if h.LastTerm < r.LastTerm || h.LastTerm == r.LastTerm && h.LastIndex < r.LastIndex {
		return fmt.Sprintf("its log reached %d of term %d, not %d of term %d", r.LastIndex, r.LastTerm, h.LastIndex, h.LastTerm)
	}
	return ""
}

// dropStoreRecords drops those of stores that are no members any more.
func (v *Voter) dropStoreRecords() {
	maps.DeleteFunc(v.meta.StoreRecords, func(id uint64, _ StoreRecord) bool {
		return !slices.ContainsFunc(v.meta.Members, func(n Node) bool { return n.ID == id })
	})
}

// recordProgress records what a store has acknowledged: later it must show no less.
func (v *Voter) recordProgress(r *raftpb.Message) {
	record := v.meta.StoreRecords[r.GetFrom()]
	switch r.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp: // of a term that may never be
		return
	case raftpb.MsgAppResp:
		if !r.GetReject() {
			record.advance(r.GetIndex(), v.storage.Term)
		}
	}
	record.Term = max(record.Term, r.GetTerm())
	v.meta.StoreRecords[r.GetFrom()] = record
}

// advance takes in that the store has an entry, by its index and the own log's term of it.
func (r *StoreRecord) advance(index uint64, termOf func(uint64) (uint64, error)) {
	term, err := termOf(index)
	if err == nil && (term > r.LastTerm || term == r.LastTerm && index > r.LastIndex) {
		r.LastTerm, r.LastIndex = term, index
	}
}

// handleMembership takes in which routers are alive.
func (v *Voter) handleMembership(alive map[string]bool) {
	v.alive = maps.Clone(alive)
	for _, name := range v.config.Candidates {
		if _, isLost := v.lostSince[name]; alive[name] {
			delete(v.lostSince, name)
		} else if !isLost {
			v.lostSince[name] = v.now
		}
	}
	maps.DeleteFunc(v.lostSince, func(name string, _ time.Duration) bool { return !slices.Contains(v.config.Candidates, name) })
}
