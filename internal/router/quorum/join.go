package quorum

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"go.etcd.io/raft/v3/raftpb"

	"reachspread/internal/router/lease"
)

// hello is what this router says of its store.
func (v *Voter) newHello() *hello {
	lead := ""
	if v.stage() == Voting || v.stage() == Learning { // what is only heard is not passed on
		lead = v.Leader()
	}
	h := &hello{Stage: v.stage(), LastTerm: v.lastEntry[0], LastIndex: v.lastEntry[1], HighestToken: v.meta.HighestToken, Members: v.meta.Members, Voters: v.meta.Voters, Applied: v.applied, Leader: lead}
	if v.hardState != nil {
		h.Term = v.hardState.GetTerm()
	}
	if v.raft != nil {
		h.LastIndex, _ = v.storage.LastIndex()
		h.LastTerm, _ = v.storage.Term(h.LastIndex)
	}
	return h
}

// greet asks all that may vote what they know.
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

// receive takes a message of another router that may vote.
func (v *Voter) handleMessage(m *message) {
	older := v.checkStoreRecord(m)
	v.storeIDs[m.From.Name] = m.From.ID
	if m.Hello != nil {
		v.hellos[m.From.Name] = receivedHello{v.now, m}
		v.observeToken(m.Hello.HighestToken)
	}
	switch {
	case m.Group > v.meta.Group && v.meta.Group == 0: // whoever founded it may count on this store
		v.meta.Group = m.Group
		v.actions = append(v.actions, Persist{Meta: v.cloneMeta()})
	case m.Group > v.meta.Group:
		v.notice(NoticeRejoining, fmt.Sprintf("%s belongs to group %d, founded after the own one", m.From.Name, m.Group))
		v.newStore(m.Group)
	}
	if m.Hello != nil {
		v.handleHello(m, older)
		return
	}
	if older != "" || v.raft == nil || m.Group != v.meta.Group || m.To != v.meta.ID {
		return
	}
	r, err := decodeRaft(m.Raft)
	if err != nil || r.GetFrom() != m.From.ID || r.GetTo() != v.meta.ID {
		return
	}
	v.recordProgress(r)
	term := v.raft.BasicStatus().GetTerm()
	switch r.GetType() {
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgProp, raftpb.MsgCheckQuorum, raftpb.MsgUnreachable, raftpb.MsgSnapStatus, raftpb.MsgForgetLeader, raftpb.MsgTransferLeader:
		return // those are for the own engine alone
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if r.GetTerm() >= term {
			v.resetElectionTimer()
		}
	case raftpb.MsgVote:
		if r.GetTerm() > term {
			v.nextElectionAt = max(v.nextElectionAt, v.now+electionTimeoutTicks*v.config.TickInterval)
		}
	}
	v.raft.Step(r)
}

// greeted takes a hello.
func (v *Voter) handleHello(m *message, older string) {
	h := m.Hello
	if h.WantsReply {
		answer := v.newHello()
		answer.ReplyToStore, answer.ReplyToBoot, answer.ReplyToStarts, answer.Stale = m.From.ID, m.Boot, m.Starts, older
		v.send(m.From.Name, &message{To: m.From.ID, Hello: answer})
	}
	if h.ReplyToStore != v.meta.ID || h.ReplyToBoot != v.config.Boot || h.ReplyToStarts != v.meta.Starts || m.Group != v.meta.Group {
		return
	}
	if h.Stale != "" {
		v.notice(NoticeRejoining, fmt.Sprintf("%s says: %s", m.From.Name, h.Stale))
		v.newStore(v.meta.Group)
		return
	}
	v.confirmedBy[m.From.ID] = true
	in := func(id uint64) bool { return slices.ContainsFunc(h.Members, func(n Node) bool { return n.ID == id }) }
	if v.stage() != Joining && h.Leader != "" && h.Applied >= v.newHello().LastIndex && h.Applied > v.applied && !in(v.meta.ID) {
		v.notice(NoticeRejoining, m.From.Name+" says: the group has gone on without it")
		v.newStore(v.meta.Group)
	}
}

// sealed compares what a store shows with what is known of it, and keeps what is new. It says why a store is an older copy.
func (v *Voter) checkStoreRecord(m *message) string {
	if m.Group != v.meta.Group {
		return ""
	}
	s, known := v.meta.StoreRecords[m.From.ID]
	switch {
	case !known && len(v.meta.StoreRecords) >= 4*MaxCandidates:
		for id := range v.meta.StoreRecords { // those of stores that are no members any more
			if !slices.ContainsFunc(v.meta.Members, func(n Node) bool { return n.ID == id }) {
				delete(v.meta.StoreRecords, id)
			}
		}
	case m.Starts < s.Starts || m.Starts == s.Starts && m.Boot != s.Boot && known:
		return fmt.Sprintf("it has begun %d times, not %d", s.Starts, m.Starts)
	}
	if h := m.Hello; h != nil && known && m.Boot != s.Boot {
		if h.Term < s.Term {
			return fmt.Sprintf("it was in term %d, not %d", s.Term, h.Term)
		}
		if h.LastTerm < s.LastTerm || h.LastTerm == s.LastTerm && h.LastIndex < s.LastIndex {
			return fmt.Sprintf("its log reached %d of term %d, not %d of term %d", s.LastIndex, s.LastTerm, h.LastIndex, h.LastTerm)
		}
	}
	if m.Starts != s.Starts || m.Boot != s.Boot {
		s.Starts, s.Boot = m.Starts, m.Boot
		v.meta.StoreRecords[m.From.ID] = s
		v.actions = append(v.actions, Persist{Meta: v.cloneMeta()}) // before anybody is told that the store is whole
	}
	return ""
}

// acked notes what a store has promised.
func (v *Voter) recordProgress(r *raftpb.Message) {
	s := v.meta.StoreRecords[r.GetFrom()]
	switch r.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp: // of a term that may never be
		return
	case raftpb.MsgAppResp:
		if !r.GetReject() {
			if term, err := v.storage.Term(r.GetIndex()); err == nil && (term > s.LastTerm || term == s.LastTerm && r.GetIndex() > s.LastIndex) {
				s.LastTerm, s.LastIndex = term, r.GetIndex()
			}
		}
	}
	s.Term = max(s.Term, r.GetTerm())
	v.meta.StoreRecords[r.GetFrom()] = s
}

// recent tells whether a router has said hello lately.
func (v *Voter) recentHello(name string) (*message, bool) {
	h, ok := v.hellos[name]
	return h.message, ok && v.now < h.at+helloTTL
}

// enter begins to take part, once that is right.
func (v *Voter) join() {
	switch {
	case v.meta.Group == 0:
		if v.config.Candidates[0] != v.config.Self || v.now < v.startedAt+2*helloInterval {
			return
		}
		var others []Node
		for _, name := range v.config.Candidates[:v.config.Voters] {
			if name == v.config.Self {
				continue
			}
			m, ok := v.recentHello(name)
			if !ok || m.Group != 0 {
				return
			}
			others = append(others, m.From)
		}
		v.foundGroup(1+v.rng.Uint64N(firstGroupRange), others) // were all disks lost, no token is to come again
	case v.meta.Starts == 1:
		v.startRaft()
	case v.config.TrustStore:
		v.startRaft()
	case v.lastEntry[1] == 0: // it had been asked for and got nothing yet
		v.newStore(v.meta.Group)
		v.startRaft()
	default:
		others := 0
		for _, id := range v.meta.Voters {
			if id != v.meta.ID && v.confirmedBy[id] {
				others++
			}
		}
		if others < len(v.meta.Voters)/2 || v.now < v.startedAt+storeCheckTimeout && v.awaitsConfirmation() {
			return
		}
		v.startRaft()
	}
}

// waitsFor tells whether a living member has not said yet what it knows of the own store.
func (v *Voter) awaitsConfirmation() bool {
	for _, n := range v.meta.Members {
		if n.ID != v.meta.ID && !v.confirmedBy[n.ID] && (v.alive == nil || v.alive[n.Name]) {
			if m, ok := v.recentHello(n.Name); !ok || m.From.ID == n.ID {
				return true
			}
		}
	}
	return false
}

// found begins a group of this router and others whose stores are empty. Further ones join as they say hello. Tokens are above all that
// were seen, and above all of any group before.
func (v *Voter) foundGroup(group uint64, others []Node) {
	floor := max(lease.NextTokenBlock(v.meta.HighestToken), lease.NextTokenBlock(group<<lease.TokenBlockBits))
	v.newStore(group)
	v.actions = v.actions[:len(v.actions)-1] // one write for both
	nodes := append([]Node{{v.meta.ID, v.config.Self, v.config.Zone}}, others...)
	var voters []uint64
	for _, n := range nodes {
		voters = append(voters, n.ID)
	}
	data, _ := json.Marshal(snapshotContent{nodes, lease.State{Token: floor}}) // of plain fields
	one := uint64(1)
	s := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: voters}}}
	v.hardState = &raftpb.HardState{Term: &one, Commit: &one, Vote: new(uint64)}
	v.storage.ApplySnapshot(s)
	v.storage.SetHardState(v.hardState)
	v.restore(s)
	v.lastEntry = [2]uint64{1, 1}
	v.actions = append(v.actions, Persist{Reset: true, Meta: v.cloneMeta(), HardState: v.hardState, Snapshot: s})
	v.notice(NoticeGroupFounded, fmt.Sprintf("group %d, tokens above %d", group, floor))
	v.startRaft()
	v.raft.Campaign()
}

// rebuild founds a new group where a majority of the last one's disks is gone for good.
func (v *Voter) rebuild(gone []string) {
	refuse := func(format string, a ...any) {
		v.actions = append(v.actions, RebuildFinished{fmt.Sprintf(format, a...)})
	}
	nodes, voters, group := v.meta.Members, v.meta.Voters, v.meta.Group
	for _, name := range v.config.Candidates {
		if m, ok := v.recentHello(name); ok {
			if m.Hello.Leader != "" {
				refuse("the duties have a leader, %s: nothing is to be rebuilt", m.Hello.Leader)
				return
			}
			if len(nodes) == 0 || m.Group > group {
				nodes, voters = m.Hello.Members, m.Hello.Voters
			}
			group = max(group, m.Group)
		}
	}
	if v.Leader() != "" {
		refuse("the duties have a leader, %s: nothing is to be rebuilt", v.Leader())
		return
	}
	if len(voters) == 0 && group == 0 {
		refuse("no router that can be reached has a record of duties: they are founded by themselves once %s live", strings.Join(v.config.Candidates[:v.config.Voters], ", "))
		return
	}
	var may []string
	for _, n := range nodes {
		if !slices.Contains(voters, n.ID) || slices.Contains(gone, n.Name) {
			continue
		}
		m, ok := v.recentHello(n.Name)
		if n.Name == v.config.Self && v.meta.ID == n.ID || ok && m.From.ID == n.ID || !ok && n.Name != v.config.Self {
			may = append(may, n.Name)
		}
	}
	if 2*len(may) > len(voters) {
		refuse("a majority of the voters may live: %s; name with --gone those whose disks will never come back", strings.Join(may, ", "))
		return
	}
	v.foundGroup(group+1, nil)
	v.actions = append(v.actions, RebuildFinished{})
}
