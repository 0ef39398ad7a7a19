package quorum

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

const (
	behind    = 64               // entries that a learner may lack as it is promoted
	learnerIn = 10 * time.Second // a learner that shows nothing for so long is let go
)

// plan changes who votes, one step at a time: learners that have caught up are promoted, in the place of who is lost where there
// is one; a spare is taken up where voters lack; zones are evened out.
func (v *Voter) plan() {
	if v.now < v.planAt || v.conf == nil {
		return
	}
	v.planAt = v.now + planEvery
	if len(v.conf.VotersOutgoing) > 0 || v.node.Status().Config.Voters[1] != nil {
		return // a change is under way
	}
	progress := map[uint64]tracker.Progress{}
	v.node.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) { progress[id] = p })
	last, _ := v.store.LastIndex()
	var voters, learners []Node
	for _, n := range v.meta.Nodes {
		if slices.Contains(v.conf.Voters, n.ID) {
			voters = append(voters, n)
		} else {
			learners = append(learners, n)
		}
	}
	replace, must := v.replaced(voters)
	for _, n := range learners {
		p := progress[n.ID]
		ready := p.Match+behind >= last && p.RecentActive
		switch m, ok := v.recent(n.Name); {
		case ok && m.From.ID != n.ID, v.gonePast(n.Name, learnerIn):
			v.change(nil, remove(n.ID))
			return
		case ready && len(voters) < v.c.Voters && !must:
			v.change(nil, change(raftpb.ConfChangeAddNode, n.ID))
			return
		case ready && replace.ID != 0:
			v.change(nil, change(raftpb.ConfChangeAddNode, n.ID), remove(replace.ID))
			return
		}
	}
	if len(voters) > v.c.Voters {
		over := crowded(voters, v.meta.ID)
		v.change(nil, remove(over.ID))
		return
	}
	if len(learners) > 0 || len(voters) >= v.c.Voters && replace.ID == 0 {
		return
	}
	if spare, ok := v.spare(voters, replace); ok {
		v.change([]Node{spare}, change(raftpb.ConfChangeAddLearnerNode, spare.ID))
	}
}

// replaced finds a voter that should not be one any more. Must says that its store is gone, so that it counts for a majority and
// never answers.
func (v *Voter) replaced(voters []Node) (out Node, must bool) {
	for _, n := range voters {
		if m, ok := v.recent(n.Name); ok && m.From.ID != n.ID {
			return n, true
		}
	}
	for _, n := range voters {
		if n.ID != v.meta.ID && v.gonePast(n.Name, v.c.ReplaceAfter) {
			return n, true
		}
	}
	if len(voters) < v.c.Voters {
		return Node{}, false
	}
	zones := map[string]int{}
	for _, n := range voters {
		zones[n.Zone]++
	}
	most := crowded(voters, v.meta.ID)
	for _, name := range v.c.Names {
		if m, ok := v.candidate(name, voters); ok && zones[m.From.Zone]+2 <= zones[most.Zone] {
			return most, false
		}
	}
	return Node{}, false
}

// gonePast tells whether the view has lost a router for that long.
func (v *Voter) gonePast(name string, d time.Duration) bool {
	at, lost := v.lost[name]
	return lost && v.now >= at+d
}

// candidate returns the hello of a living router that is no member.
func (v *Voter) candidate(name string, voters []Node) (*message, bool) {
	m, ok := v.recent(name)
	if !ok || m.Group != v.meta.Group || v.living != nil && !v.living[name] {
		return nil, false
	}
	in := slices.ContainsFunc(v.meta.Nodes, func(n Node) bool { return n.ID == m.From.ID })
	return m, !in && m.Hello.Stage == Joining
}

// spare chooses who is to learn next: from the zone with the fewest voters, in the order of the names.
func (v *Voter) spare(voters []Node, replace Node) (best Node, ok bool) {
	zones := map[string]int{}
	for _, n := range voters {
		if n.ID != replace.ID {
			zones[n.Zone]++
		}
	}
	for _, name := range v.c.Names {
		m, is := v.candidate(name, voters)
		holds := slices.ContainsFunc(voters, func(n Node) bool { return n.Name == name && n.ID != replace.ID })
		if is && !holds && (!ok || zones[m.From.Zone] < zones[best.Zone]) {
			best, ok = m.From, true
		}
	}
	return best, ok
}

// crowded is a voter of the zone with the most, not the leader if there is another.
func crowded(voters []Node, self uint64) Node {
	zones := map[string]int{}
	for _, n := range voters {
		zones[n.Zone]++
	}
	return slices.MaxFunc(voters, func(a, b Node) int {
		own := func(n Node) int {
			if n.ID == self {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(own(a), own(b)))
	})
}

func change(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: &id}
}

func remove(id uint64) *raftpb.ConfChangeSingle { return change(raftpb.ConfChangeRemoveNode, id) }

func (v *Voter) change(added []Node, all ...*raftpb.ConfChangeSingle) {
	context, _ := json.Marshal(added)
	v.node.ProposeConfChange(&raftpb.ConfChangeV2{Changes: all, Context: context})
}
