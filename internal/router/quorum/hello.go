package quorum

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
)

// newHello returns a hello that describes this router's store.
func (v *Voter) newHello() *hello {
	h := &hello{Stage: v.stage(), LastTerm: v.lastEntry.term, LastIndex: v.lastEntry.index, HighestToken: v.meta.HighestToken,
		Members: v.meta.Members, Voters: v.meta.Voters, Applied: v.applied}
	// Only members name the leader. Other candidates know it only from the hellos of others.
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

// sendHellos sends hellos that want a reply to all other candidates. Often selects the shorter of
// the two intervals until the next hellos.
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

// recentHello returns the last message with a hello of a candidate. Ok is false if there is none or
// it is older than helloTTL.
func (v *Voter) recentHello(name string) (*message, bool) {
	h, ok := v.hellos[name]
	return h.message, ok && v.now < h.at+helloTTL
}

// handleMessage processes a message of another candidate.
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

// followGroup changes to the group of a message if that group was founded after this router's group.
func (v *Voter) followGroup(m *message) {
	if m.Group <= v.meta.Group {
		return
	}
	if v.meta.Group == 0 { // keep the store, because the founder may have made it a voter of the group
		v.meta.Group = m.Group
		v.actions = append(v.actions, Persist{Meta: v.cloneMeta()})
		return
	}
	clear(v.meta.StoreRecords) // they describe stores of the last group
	if v.meta.Starts == firstStart && v.isLogEmpty() {
		// Keep the store's ID, because the founder may have made the store a voter of the new group.
		v.resetStore(m.Group, v.meta.ID)
		return
	}
	v.notice(NoticeRejoining, fmt.Sprintf("%s belongs to group %d, founded after the own one", m.From.Name, m.Group))
	v.newStore(m.Group)
}

// handleRaft passes a message of another member's engine to this router's engine. It drops messages
// with a wrong sender or receiver and messages that only the local engine may produce.
func (v *Voter) handleRaft(m *message) {
	r, err := decodeRaft(m.Raft)
	if err != nil || r.GetFrom() != m.From.ID || r.GetTo() != v.meta.ID {
		return
	}
	v.recordProgress(r)
	term := v.raft.BasicStatus().GetTerm()
	switch r.GetType() {
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgProp, raftpb.MsgCheckQuorum, raftpb.MsgUnreachable, raftpb.MsgSnapStatus, raftpb.MsgForgetLeader, raftpb.MsgTransferLeader:
		return // these are local messages of an engine and must not come from another router
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

// handleHello replies to a hello that wants a reply. If the hello itself is a reply, handleHello
// processes what the sender says of this router's store. Stale says why the sender's store is an
// older copy, and is empty if it is not.
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

// wasRemoved reports whether the group has removed this router's store: a member that knows the
// leader and has applied more of the log does not list the store among the members.
func (v *Voter) wasRemoved(h *hello) bool {
	if v.stage() == Joining || h.Leader == "" || h.Applied < v.newHello().LastIndex || h.Applied <= v.applied {
		return false
	}
	return !slices.ContainsFunc(h.Members, func(n Node) bool { return n.ID == v.meta.ID })
}

// checkStoreRecord compares the state of the sender's store with the record of that store, and
// records a new start of it. It returns why the store is an older copy, or "" if it is not.
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
		// This must be on the disk before a reply tells the sender that its store is up to date.
		v.actions = append(v.actions, Persist{Meta: v.cloneMeta()})
	}
	return ""
}

// staleness describes how the store in h is behind its record r, or returns "" if it is not behind.
func (r *StoreRecord) staleness(h *hello) string {
	if h.Term < r.Term {
		return fmt.Sprintf("it was in term %d, not %d", r.Term, h.Term)
	}
	if h.LastTerm < r.LastTerm || h.LastTerm == r.LastTerm && h.LastIndex < r.LastIndex {
		return fmt.Sprintf("its log reached %d of term %d, not %d of term %d", r.LastIndex, r.LastTerm, h.LastIndex, h.LastTerm)
	}
	return ""
}

// dropStoreRecords drops the records of stores that are not members.
func (v *Voter) dropStoreRecords() {
	maps.DeleteFunc(v.meta.StoreRecords, func(id uint64, _ StoreRecord) bool {
		return !slices.ContainsFunc(v.meta.Members, func(n Node) bool { return n.ID == id })
	})
}

// recordProgress updates the record of a sender's store from a raft message: the store has reached
// the message's term and, if it acknowledges log entries, their index. If the store later shows
// less, it is an older copy.
func (v *Voter) recordProgress(r *raftpb.Message) {
	record := v.meta.StoreRecords[r.GetFrom()]
	switch r.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp: // their term may never begin
		return
	case raftpb.MsgAppResp:
		if !r.GetReject() {
			record.advance(r.GetIndex(), v.storage.Term)
		}
	}
	record.Term = max(record.Term, r.GetTerm())
	v.meta.StoreRecords[r.GetFrom()] = record
}

// advance records that the store has the log entry with an index. TermOf returns the term of an
// entry in this router's log.
func (r *StoreRecord) advance(index uint64, termOf func(uint64) (uint64, error)) {
	term, err := termOf(index)
	if err == nil && (term > r.LastTerm || term == r.LastTerm && index > r.LastIndex) {
		r.LastTerm, r.LastIndex = term, index
	}
}

// handleMembership replaces the set of live routers, and records since when each candidate has been
// lost.
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
