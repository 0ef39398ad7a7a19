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

// reconfigure changes who votes, one step at a time: it removes learners that are lost, promotes
// those that have caught up, removes voters beyond the configured number, and adds learners where
// voters lack or one is to be replaced.
func (v *Voter) reconfigure() {
	if v.now < v.nextReconfigureAt || v.confState == nil {
		return
	}
	v.nextReconfigureAt = v.now + reconfigureInterval
	if len(v.confState.VotersOutgoing) > 0 || v.raft.Status().Config.Voters[1] != nil {
		return // a joint change is under way
	}
	voters, learners := v.votersAndLearners()
	replaced, mustReplace := v.voterToReplace(voters)
	if v.reconfigureLearners(voters, learners, replaced, mustReplace) {
		return
	}
	if len(voters) > v.config.Voters {
		v.proposeConfChange(nil, removeNode(voterOfLargestZone(voters, v.meta.ID).ID))
		return
	}
	if len(learners) > 0 || len(voters) >= v.config.Voters && replaced.ID == 0 {
		return
	}
	if learner, ok := v.nextLearner(voters, replaced); ok {
		v.proposeConfChange([]Node{learner}, confChange(raftpb.ConfChangeAddLearnerNode, learner.ID))
	}
}

func (v *Voter) votersAndLearners() (voters, learners []Node) {
	for _, n := range v.meta.Members {
		if slices.Contains(v.confState.Voters, n.ID) {
			voters = append(voters, n)
		} else {
			learners = append(learners, n)
		}
	}
	return voters, learners
}

// reconfigureLearners proposes the first change that a learner calls for, and reports whether there
// is one. A learner that has caught up is promoted, in place of the voter that is to be replaced
// where that must not wait or all voters are there.
func (v *Voter) reconfigureLearners(voters, learners []Node, replaced Node, mustReplace bool) bool {
	progress := map[uint64]tracker.Progress{}
	v.raft.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) { progress[id] = p })
	last, _ := v.storage.LastIndex()
	for _, n := range learners {
		p := progress[n.ID]
		ready := p.Match+maxLearnerBacklog >= last && p.RecentActive
		switch {
		case v.hasOtherStore(n), v.lostFor(n.Name, learnerTimeout):
			v.proposeConfChange(nil, removeNode(n.ID))
			return true
		case ready && len(voters) < v.config.Voters && !mustReplace:
			v.proposeConfChange(nil, confChange(raftpb.ConfChangeAddNode, n.ID))
			return true
		case ready && replaced.ID != 0:
			v.proposeConfChange(nil, confChange(raftpb.ConfChangeAddNode, n.ID), removeNode(replaced.ID))
			return true
		}
	}
	return false
}

// hasOtherStore reports whether a member's router has shown another store than the member's.
func (v *Voter) hasOtherStore(n Node) bool {
	m, ok := v.recentHello(n.Name)
	return ok && m.From.ID != n.ID
}

// voterToReplace finds a voter that should not be one any more, with ID 0 for none. MustReplace
// says that its store is lost, so that it counts for a majority and never answers. Otherwise it is
// one of a zone that has at least two voters more than that of a candidate.
func (v *Voter) voterToReplace(voters []Node) (replaced Node, mustReplace bool) {
	for _, n := range voters {
		if v.hasOtherStore(n) {
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
	zones := votersByZone(voters)
	fromLargestZone := voterOfLargestZone(voters, v.meta.ID)
	for _, name := range v.config.Candidates {
		if m, ok := v.candidate(name); ok && zones[m.From.Zone]+2 <= zones[fromLargestZone.Zone] {
			return fromLargestZone, false
		}
	}
	return Node{}, false
}

// lostFor reports whether a candidate has not been alive for so long.
func (v *Voter) lostFor(name string, d time.Duration) bool {
	at, lost := v.lostSince[name]
	return lost && v.now >= at+d
}

// candidate returns the hello of a candidate that is alive and no member.
func (v *Voter) candidate(name string) (*message, bool) {
	m, ok := v.recentHello(name)
	if !ok || m.Group != v.meta.Group || v.alive != nil && !v.alive[name] {
		return nil, false
	}
	isMember := slices.ContainsFunc(v.meta.Members, func(n Node) bool { return n.ID == m.From.ID })
	return m, !isMember && m.Hello.Stage == Joining
}

// nextLearner chooses who is to learn next: from the zone with the fewest voters, in the order of
// the candidates.
func (v *Voter) nextLearner(voters []Node, replaced Node) (best Node, ok bool) {
	remaining := slices.DeleteFunc(slices.Clone(voters), func(n Node) bool { return n.ID == replaced.ID })
	zones := votersByZone(remaining)
	for _, name := range v.config.Candidates {
		m, isCandidate := v.candidate(name)
		votes := slices.ContainsFunc(remaining, func(n Node) bool { return n.Name == name })
		if isCandidate && !votes && (!ok || zones[m.From.Zone] < zones[best.Zone]) {
			best, ok = m.From, true
		}
	}
	return best, ok
}

func votersByZone(voters []Node) map[string]int {
	zones := map[string]int{}
	for _, n := range voters {
		zones[n.Zone]++
	}
	return zones
}

// voterOfLargestZone is a voter of the zone with the most, not the one with the store self if there
// is another.
func voterOfLargestZone(voters []Node, self uint64) Node {
	zones := votersByZone(voters)
	isOther := func(n Node) int {
		if n.ID == self {
			return 0
		}
		return 1
	}
	return slices.MaxFunc(voters, func(a, b Node) int {
		return cmp.Or(cmp.Compare(zones[a.Zone], zones[b.Zone]), cmp.Compare(isOther(a), isOther(b)))
	})
}

func confChange(t raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: t.Enum(), NodeId: &id}
}

func removeNode(id uint64) *raftpb.ConfChangeSingle {
	return confChange(raftpb.ConfChangeRemoveNode, id)
}

// proposeConfChange proposes changes that take effect at once; added are the nodes that they add.
func (v *Voter) proposeConfChange(added []Node, changes ...*raftpb.ConfChangeSingle) {
	context, _ := json.Marshal(added) // of plain fields
	v.raft.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes, Context: context})
}
