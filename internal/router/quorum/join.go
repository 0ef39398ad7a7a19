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
func (v *Voter) hello() *hello {
	lead := ""
	if v.stage() == Voting || v.stage() == Learning { // what is only heard is not passed on
		lead = v.Leader()
	}
	h := &hello{Stage: v.stage(), LastTerm: v.last[0], LastIndex: v.last[1], Token: v.meta.Token, Nodes: v.meta.Nodes, Voters: v.meta.Voters, Applied: v.applied, Leader: lead}
	if v.hard != nil {
		h.Term = v.hard.GetTerm()
	}
	if v.node != nil {
		h.LastIndex, _ = v.store.LastIndex()
		h.LastTerm, _ = v.store.Term(h.LastIndex)
	}
	return h
}

// greet asks all that may vote what they know.
func (v *Voter) greet(often bool) {
	v.helloAt = v.now + helloSlow
	if often {
		v.helloAt = v.now + helloEvery
	}
	h := v.hello()
	h.Wants = true
	for _, name := range v.c.Names {
		if name != v.c.Self {
			v.send(name, &message{Hello: h})
		}
	}
}

// receive takes a message of another router that may vote.
func (v *Voter) receive(m *message) {
	older := v.sealed(m)
	v.stores[m.From.Name] = m.From.ID
	if m.Hello != nil {
		v.heard[m.From.Name] = heard{v.now, m}
		v.tokenSeen(m.Hello.Token)
	}
	switch {
	case m.Group > v.meta.Group && v.meta.Group == 0: // whoever founded it may count on this store
		v.meta.Group = m.Group
		v.out = append(v.out, Keep{Meta: v.metaNow()})
	case m.Group > v.meta.Group:
		v.say(Rejoins, fmt.Sprintf("%s belongs to group %d, founded after the own one", m.From.Name, m.Group))
		v.renew(m.Group)
	}
	if m.Hello != nil {
		v.greeted(m, older)
		return
	}
	if older != "" || v.node == nil || m.Group != v.meta.Group || m.To != v.meta.ID {
		return
	}
	r, err := readRaft(m.Raft)
	if err != nil || r.GetFrom() != m.From.ID || r.GetTo() != v.meta.ID {
		return
	}
	v.acked(r)
	term := v.node.BasicStatus().GetTerm()
	switch r.GetType() {
	case raftpb.MsgHup, raftpb.MsgBeat, raftpb.MsgProp, raftpb.MsgCheckQuorum, raftpb.MsgUnreachable, raftpb.MsgSnapStatus, raftpb.MsgForgetLeader, raftpb.MsgTransferLeader:
		return // those are for the own engine alone
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if r.GetTerm() >= term {
			v.leaderHeard()
		}
	case raftpb.MsgVote:
		if r.GetTerm() > term {
			v.electAt = max(v.electAt, v.now+silence*v.c.Beat)
		}
	}
	v.node.Step(r)
}

// greeted takes a hello.
func (v *Voter) greeted(m *message, older string) {
	h := m.Hello
	if h.Wants {
		answer := v.hello()
		answer.Of, answer.OfBoot, answer.OfStart, answer.Older = m.From.ID, m.Boot, m.Start, older
		v.send(m.From.Name, &message{To: m.From.ID, Hello: answer})
	}
	if h.Of != v.meta.ID || h.OfBoot != v.c.Boot || h.OfStart != v.meta.Start || m.Group != v.meta.Group {
		return
	}
	if h.Older != "" {
		v.say(Rejoins, fmt.Sprintf("%s says: %s", m.From.Name, h.Older))
		v.renew(v.meta.Group)
		return
	}
	v.okay[m.From.ID] = true
	in := func(id uint64) bool { return slices.ContainsFunc(h.Nodes, func(n Node) bool { return n.ID == id }) }
	if v.stage() != Joining && h.Leader != "" && h.Applied >= v.hello().LastIndex && h.Applied > v.applied && !in(v.meta.ID) {
		v.say(Rejoins, m.From.Name+" says: the group has gone on without it")
		v.renew(v.meta.Group)
	}
}

// sealed compares what a store shows with what is known of it, and keeps what is new. It says why a store is an older copy.
func (v *Voter) sealed(m *message) string {
	if m.Group != v.meta.Group {
		return ""
	}
	s, known := v.meta.Seals[m.From.ID]
	switch {
	case !known && len(v.meta.Seals) >= 4*MostNames:
		for id := range v.meta.Seals { // those of stores that are no members any more
			if !slices.ContainsFunc(v.meta.Nodes, func(n Node) bool { return n.ID == id }) {
				delete(v.meta.Seals, id)
			}
		}
	case m.Start < s.Start || m.Start == s.Start && m.Boot != s.Boot && known:
		return fmt.Sprintf("it has begun %d times, not %d", s.Start, m.Start)
	}
	if h := m.Hello; h != nil && known && m.Boot != s.Boot {
		if h.Term < s.Term {
			return fmt.Sprintf("it was in term %d, not %d", s.Term, h.Term)
		}
		if h.LastTerm < s.LastTerm || h.LastTerm == s.LastTerm && h.LastIndex < s.LastIndex {
			return fmt.Sprintf("its log reached %d of term %d, not %d of term %d", s.LastIndex, s.LastTerm, h.LastIndex, h.LastTerm)
		}
	}
	if m.Start != s.Start || m.Boot != s.Boot {
		s.Start, s.Boot = m.Start, m.Boot
		v.meta.Seals[m.From.ID] = s
		v.out = append(v.out, Keep{Meta: v.metaNow()}) // before anybody is told that the store is whole
	}
	return ""
}

// acked notes what a store has promised.
func (v *Voter) acked(r *raftpb.Message) {
	s := v.meta.Seals[r.GetFrom()]
	switch r.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp: // of a term that may never be
		return
	case raftpb.MsgAppResp:
		if !r.GetReject() {
			if term, err := v.store.Term(r.GetIndex()); err == nil && (term > s.LastTerm || term == s.LastTerm && r.GetIndex() > s.LastIndex) {
				s.LastTerm, s.LastIndex = term, r.GetIndex()
			}
		}
	}
	s.Term = max(s.Term, r.GetTerm())
	v.meta.Seals[r.GetFrom()] = s
}

// recent tells whether a router has said hello lately.
func (v *Voter) recent(name string) (*message, bool) {
	h, ok := v.heard[name]
	return h.m, ok && v.now < h.at+heardWithin
}

// enter begins to take part, once that is right.
func (v *Voter) enter() {
	switch {
	case v.meta.Group == 0:
		if v.c.Names[0] != v.c.Self || v.now < v.began+2*helloEvery {
			return
		}
		var others []Node
		for _, name := range v.c.Names[:v.c.Voters] {
			if name == v.c.Self {
				continue
			}
			m, ok := v.recent(name)
			if !ok || m.Group != 0 {
				return
			}
			others = append(others, m.From)
		}
		v.found(1+v.rng.Uint64N(firstGroups), others) // were all disks lost, no token is to come again
	case v.meta.Start == 1:
		v.run()
	case v.c.Trusted:
		v.run()
	case v.last[1] == 0: // it had been asked for and got nothing yet
		v.renew(v.meta.Group)
		v.run()
	default:
		others := 0
		for _, id := range v.meta.Voters {
			if id != v.meta.ID && v.okay[id] {
				others++
			}
		}
		if others < len(v.meta.Voters)/2 || v.now < v.began+askedFor && v.waitsFor() {
			return
		}
		v.run()
	}
}

// waitsFor tells whether a living member has not said yet what it knows of the own store.
func (v *Voter) waitsFor() bool {
	for _, n := range v.meta.Nodes {
		if n.ID != v.meta.ID && !v.okay[n.ID] && (v.living == nil || v.living[n.Name]) {
			if m, ok := v.recent(n.Name); !ok || m.From.ID == n.ID {
				return true
			}
		}
	}
	return false
}

// found begins a group of this router and others whose stores are empty. Further ones join as they say hello. Tokens are above all that
// were seen, and above all of any group before.
func (v *Voter) found(group uint64, others []Node) {
	floor := max(lease.Above(v.meta.Token), lease.Above(group<<lease.BlockBits))
	v.renew(group)
	v.out = v.out[:len(v.out)-1] // one write for both
	nodes := append([]Node{{v.meta.ID, v.c.Self, v.c.Zone}}, others...)
	var voters []uint64
	for _, n := range nodes {
		voters = append(voters, n.ID)
	}
	data, _ := json.Marshal(state{nodes, lease.State{Token: floor}}) // of plain fields
	one := uint64(1)
	s := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: voters}}}
	v.hard = &raftpb.HardState{Term: &one, Commit: &one, Vote: new(uint64)}
	v.store.ApplySnapshot(s)
	v.store.SetHardState(v.hard)
	v.restore(s)
	v.last = [2]uint64{1, 1}
	v.out = append(v.out, Keep{Reset: true, Meta: v.metaNow(), Hard: v.hard, Snapshot: s})
	v.say(Founded, fmt.Sprintf("group %d, tokens above %d", group, floor))
	v.run()
	v.node.Campaign()
}

// rebuild founds a new group where a majority of the last one's disks is gone for good.
func (v *Voter) rebuild(gone []string) {
	refuse := func(format string, a ...any) { v.out = append(v.out, Rebuilt{fmt.Sprintf(format, a...)}) }
	nodes, voters, group := v.meta.Nodes, v.meta.Voters, v.meta.Group
	for _, name := range v.c.Names {
		if m, ok := v.recent(name); ok {
			if m.Hello.Leader != "" {
				refuse("the duties have a leader, %s: nothing is to be rebuilt", m.Hello.Leader)
				return
			}
			if len(nodes) == 0 || m.Group > group {
				nodes, voters = m.Hello.Nodes, m.Hello.Voters
			}
			group = max(group, m.Group)
		}
	}
	if v.Leader() != "" {
		refuse("the duties have a leader, %s: nothing is to be rebuilt", v.Leader())
		return
	}
	if len(voters) == 0 && group == 0 {
		refuse("no router that can be reached has a record of duties: they are founded by themselves once %s live", strings.Join(v.c.Names[:v.c.Voters], ", "))
		return
	}
	var may []string
	for _, n := range nodes {
		if !slices.Contains(voters, n.ID) || slices.Contains(gone, n.Name) {
			continue
		}
		m, ok := v.recent(n.Name)
		if n.Name == v.c.Self && v.meta.ID == n.ID || ok && m.From.ID == n.ID || !ok && n.Name != v.c.Self {
			may = append(may, n.Name)
		}
	}
	if 2*len(may) > len(voters) {
		refuse("a majority of the voters may live: %s; name with --gone those whose disks will never come back", strings.Join(may, ", "))
		return
	}
	v.found(group+1, nil)
	v.out = append(v.out, Rebuilt{})
}
