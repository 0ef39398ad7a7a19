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
	maxLearnerBacklog = 64               // entries that a learner may lack as it is promoted
	learnerTimeout    = 10 * time.Second // a learner that shows nothing for so long is let go
)

// plan changes who votes, one step at a time: learners that have caught up are promoted, in the place of who is lost where there
// is one; a spare is taken up where voters lack; zones are evened out.
func (v *Voter) reconfigure() {
	if v.now < v.nextReconfigureAt || v.confState == nil {
		return
	}
	v.nextReconfigureAt = v.now + reconfigureInterval
	if len(v.confState.VotersOutgoing) > 0 || v.raft.Status().Config.Voters[1] != nil {
		return // a change is under way
	}
	progress := map[uint64]tracker.Progress{}
	v.raft.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) { progress[id] = p })
	last, _ := v.storage.LastIndex()
	var voters, learners []Node
	for _, n := range v.meta.Members {
		if slices.Contains(v.confState.Voters, n.ID) {
			voters = append(voters, n)
		} else {
			learners = append(learners, n)
		}
	}
	replace, must := v.voterToReplace(voters)
	for _, n := range learners {
		p := progress[n.ID]
		ready := p.Match+maxLearnerBacklog >= last && p.RecentActive
		switch m, ok := v.recentHello(n.Name); {
		case ok && m.From.ID != n.ID, v.lostFor(n.Name, learnerTimeout):
			v.proposeConfChange(nil, removeNode(n.ID))
			return
		case ready && len(voters) < v.config.Voters && !must:
			v.proposeConfChange(nil, confChange(raftpb.ConfChangeAddNode, n.ID))
			return
		case ready && replace.ID != 0:
			v.proposeConfChange(nil, confChange(raftpb.ConfChangeAddNode, n.ID), removeNode(replace.ID))
			return
		}
	}
	if len(voters) > v.config.Voters {
		over := voterOfLargestZone(voters, v.meta.ID)
		v.proposeConfChange(nil, removeNode(over.ID))
		return
	}
	if len(learners) > 0 || len(voters) >= v.config.Voters && replace.ID == 0 {
		return
	}
	if spare, ok := v.nextLearner(voters, replace); ok {
		v.proposeConfChange([]Node{spare}, confChange(raftpb.ConfChangeAddLearnerNode, spare.ID))
	}
}

// replaced finds a voter that should not be one any more. Must says that its store is gone, so that it counts for a majority and
// never answers.
func (v *Voter) voterToReplace(voters []Node) (out Node, must bool) {
	for _, n := range voters {
		if m, ok := v.recentHello(n.Name); ok && m.From.ID != n.ID {
			return n, true
		}
	}
	for _, n := range voters {
		if n.ID != v.meta.ID && v.lostFor(n.Name, v.config.ReplaceTimeout) {
			return n, true
		}
	}
	if len(voters) < v.config.Voters {
		return Node{}, false
	}
	zones := map[string]int{}
	for _, n := range voters {
		zones[n.Zone]++
	}
	most := voterOfLargestZone(voters, v.meta.ID)
	for _, name := range v.config.Candidates {
		if m, ok := v.candidate(name, voters); ok && zones[m.From.Zone]+2 <= zones[most.Zone] {
			return most, false
		}
	}
	return Node{}, false
}

// gonePast tells whether the view has lost a router for that long.
func (v *Voter) lostFor(name string, d time.Duration) bool {
	at, lost := v.lostSince[name]
	return lost && v.now >= at+d
}

// candidate returns the hello of a living router that is no member.
func (v *Voter) candidate(name string, voters []Node) (*message, bool) {
	m, ok := v.recentHello(name)
	if !ok || m.Group != v.meta.Group || v.alive != nil && !v.alive[name] {
		return nil, false
	}
	in := slices.ContainsFunc(v.meta.Members, func(n Node) bool { return n.ID == m.From.ID })
	return m, !in && m.Hello.Stage == Joining
}

// spare chooses who is to learn next: from the zone with the fewest voters, in the order of the names.
func (v *Voter) nextLearner(voters []Node, replace Node) (best Node, ok bool) {
	zones := map[string]int{}
	for _, n := range voters {
		if n.ID != replace.ID {
			zones[n.Zone]++
		}
	}
	for _, name := range v.config.Candidates {
		m, is := v.candidate(name, voters)
		holds := slices.ContainsFunc(voters, func(n Node) bool { return n.Name == name && n.ID != replace.ID })
		if is && !holds && (!ok || zones[m.From.Zone] < zones[best.Zone]) {
			best, ok = m.From, true
		}
	}
	return best, ok
}

// crowded is a voter of the zone with the most, not the leader if there is another.
func voterOfLargestZone(voters []Node, self uint64) Node {
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

func confChange(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: &id}
}

func removeNode(id uint64) *raftpb.ConfChangeSingle {
	return confChange(raftpb.ConfChangeRemoveNode, id)
}

func (v *Voter) proposeConfChange(added []Node, all ...*raftpb.ConfChangeSingle) {
	context, _ := json.Marshal(added)
	v.raft.ProposeConfChange(&raftpb.ConfChangeV2{Changes: all, Context: context})
}
