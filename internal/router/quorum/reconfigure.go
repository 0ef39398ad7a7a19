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

// reconfigure proposes changes of the group's members, at most one at a time. It removes learners
// that are lost, promotes learners that have caught up, and removes voters beyond the configured
// number. If there are too few voters or one must be replaced, it adds a learner.
func (v *Voter) reconfigure() {
	if v.now < v.nextReconfigureAt || v.confState == nil {
		return
	}
	v.nextReconfigureAt = v.now + reconfigureInterval
	if len(v.confState.VotersOutgoing) > 0 || v.raft.Status().Config.Voters[1] != nil {
		return // a joint configuration change is in progress
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

// reconfigureLearners proposes the first change that a learner requires, and reports whether there
// is one. It removes a learner that is lost or whose router has another store, and promotes a
// learner that has caught up. If mustReplace is set or the group has enough voters, the promotion
// also removes the voter replaced.
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

// hasOtherStore reports whether the last recent hello of a member's router describes a store with
// another ID than the member's.
func (v *Voter) hasOtherStore(n Node) bool {
	m, ok := v.recentHello(n.Name)
	return ok && m.From.ID != n.ID
}

// voterToReplace returns a voter that should no longer be one, or a Node with ID 0 for none. It first
// looks for a voter whose router has another store or has been lost for ReplaceTimeout. MustReplace
// is then true, because the voter counts towards the majority but does not reply. Otherwise it
// returns a voter of the zone with the most voters, if that zone has at least two voters more than
// the zone of a candidate.
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

// lostFor reports whether a candidate has been lost for at least d.
func (v *Voter) lostFor(name string, d time.Duration) bool {
	at, lost := v.lostSince[name]
	return lost && v.now >= at+d
}

// candidate returns the recent hello of a candidate. Ok is false unless the candidate is alive,
// belongs to this voter's group, is not a member and is at stage Joining.
func (v *Voter) candidate(name string) (*message, bool) {
	m, ok := v.recentHello(name)
	if !ok || m.Group != v.meta.Group || v.alive != nil && !v.alive[name] {
		return nil, false
	}
	isMember := slices.ContainsFunc(v.meta.Members, func(n Node) bool { return n.ID == m.From.ID })
	return m, !isMember && m.Hello.Stage == Joining
}

// nextLearner returns the candidate to add as a learner: the first one, in the order of Candidates,
// of the zone with the fewest voters. The voter replaced does not count. Ok is false for none.
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

// voterOfLargestZone returns a voter of the zone with the most voters. It does not return the voter
// with the store self if there is another one in such a zone.
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

// proposeConfChange proposes changes as a single configuration change. Added are the nodes that the
// changes add.
func (v *Voter) proposeConfChange(added []Node, changes ...*raftpb.ConfChangeSingle) {
	context, _ := json.Marshal(added) // cannot fail: all fields have types that JSON can encode
	v.raft.ProposeConfChange(&raftpb.ConfChangeV2{Changes: changes, Context: context})
}
