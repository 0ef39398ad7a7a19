package quorum

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"reachspread/internal/router/lease"
)

// join begins to take part once that is right.
func (v *Voter) join() {
	switch {
	case v.meta.Group == 0:
		if founders, ok := v.emptyFounders(); ok {
			// A random number: were all disks lost, no token is to be granted a second time.
			v.foundGroup(1+v.rng.Uint64N(firstGroupRange), founders)
		}
	case v.meta.Starts == firstStart, v.config.TrustStore:
		v.startRaft()
	case v.lastEntry.index == 0: // it was to be added, and got nothing yet
		v.newStore(v.meta.Group)
		v.startRaft()
	case v.isStoreConfirmed():
		v.startRaft()
	}
}

// emptyFounders returns the other founders, if this router is the first and all have said that
// their stores are empty.
func (v *Voter) emptyFounders() (peers []Node, ok bool) {
	if v.config.Candidates[0] != v.config.Self || v.now < v.startedAt+2*helloInterval {
		return nil, false
	}
	for _, name := range v.config.Candidates[:v.config.Voters] {
		if name == v.config.Self {
			continue
		}
		m, ok := v.recentHello(name)
		if !ok || m.Group != 0 {
			return nil, false
		}
		peers = append(peers, m.From)
	}
	return peers, true
}

// foundAgain founds a group in place of one whose founder lost its disk before any other candidate
// had its first command: all candidates know of that group, and none can add the others to it. Only
// the first candidate does so, once all have said for foundAgainDelay that their logs are empty.
func (v *Voter) foundGroupAgain() {
	founders, ok := v.emptyCandidates()
	if !ok {
		v.allEmptySince = v.now
		return
	}
	if v.now >= v.allEmptySince+v.foundGroupAgainDelay() {
		// What stores showed in the last group counts for nothing in this one, and an operator's
		// rebuild may have taken the next number meanwhile.
		clear(v.meta.StoreRecords)
		v.foundGroup(v.meta.Group+2, founders)
	}
}

// foundAgainDelay is for how long all logs must be empty until there is a new group. Whoever has
// entries says so within helloTTL. A lease of a group whose disks were all lost, which this can't
// be told from, has ended by then.
func (v *Voter) foundGroupAgainDelay() time.Duration { return helloTTL + v.config.Timing.Duration }

// emptyCandidates returns the other founders if this router is the first candidate, knows of a
// group, and no log has an entry: neither its own nor, as all others say, theirs.
func (v *Voter) emptyCandidates() (founders []Node, ok bool) {
	if v.config.Candidates[0] != v.config.Self || v.meta.Group == 0 || !v.isLogEmpty() {
		return nil, false
	}
	for i, name := range v.config.Candidates[1:] {
		m, ok := v.recentHello(name)
		if !ok || m.Hello.LastIndex > 0 || m.Hello.Leader != "" {
			return nil, false
		}
		if i+1 < v.config.Voters {
			founders = append(founders, m.From)
		}
	}
	return founders, true
}

// isLogEmpty reports whether nothing of a group has come to the own store yet.
func (v *Voter) isLogEmpty() bool {
	if v.raft == nil {
		return v.lastEntry.index == 0
	}
	last, _ := v.storage.LastIndex() // in memory it can't fail
	return last == 0
}

// isStoreConfirmed reports whether a majority, with this router, knows of nothing newer of its
// store, and all that are alive have replied or have had the time to.
func (v *Voter) isStoreConfirmed() bool {
	confirmed := 0
	for _, id := range v.meta.Voters {
		if id != v.meta.ID && v.confirmedBy[id] {
			confirmed++
		}
	}
	if confirmed < len(v.meta.Voters)/2 {
		return false
	}
	return v.now >= v.startedAt+storeCheckTimeout || !v.awaitsConfirmation()
}

// awaitsConfirmation reports whether a member that is alive has not said yet what it knows of the
// own store.
func (v *Voter) awaitsConfirmation() bool {
	for _, n := range v.meta.Members {
		if n.ID == v.meta.ID || v.confirmedBy[n.ID] || v.alive != nil && !v.alive[n.Name] {
			continue
		}
		if m, ok := v.recentHello(n.Name); !ok || m.From.ID == n.ID {
			return true
		}
	}
	return false
}

// foundGroup founds a group of this router and peers whose stores are empty, which are all voters
// from the first command on. Further candidates join as they say hello. Tokens are above all that
// were seen, and above all of any group before.
func (v *Voter) foundGroup(group uint64, peers []Node) {
	floor := max(lease.NextTokenBlock(v.meta.HighestToken), lease.NextTokenBlock(group<<lease.TokenBlockBits))
	v.newStore(group)
	v.actions = v.actions[:len(v.actions)-1] // one write has both
	members := append([]Node{{v.meta.ID, v.config.Self, v.config.Zone}}, peers...)
	v.hardState, v.lastEntry = firstHardState(), entryID{1, 1}
	s := firstSnapshot(members, floor)
	v.storage.ApplySnapshot(s)
	v.storage.SetHardState(v.hardState)
	v.restore(s)
	v.actions = append(v.actions, Persist{Reset: true, Meta: v.cloneMeta(), HardState: v.hardState, Snapshot: s})
	v.notice(NoticeGroupFounded, fmt.Sprintf("group %d, tokens above %d", group, floor))
	v.startRaft()
	v.raft.Campaign()
}

// firstSnapshot is what a group begins with, at index 1 of term 1.
func firstSnapshot(members []Node, tokenFloor uint64) *raftpb.Snapshot {
	var voters []uint64
	for _, n := range members {
		voters = append(voters, n.ID)
	}
	// It can't fail: all fields are plain.
	data, _ := json.Marshal(snapshotContent{members, lease.State{Token: tokenFloor}})
	one := uint64(1)
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: voters}}}
}

func firstHardState() *raftpb.HardState {
	one := uint64(1)
	return &raftpb.HardState{Term: &one, Commit: &one, Vote: new(uint64)}
}

// rebuild founds a new group where a majority of the last one's disks is lost for good.
func (v *Voter) rebuild(lostRouters []string) {
	group, refusal := v.rebuildableGroup(lostRouters)
	if refusal == "" {
		v.foundGroup(group+1, nil)
	}
	v.actions = append(v.actions, RebuildFinished{refusal})
}

// rebuildableGroup returns the highest group that any candidate knows of, or why it must not be
// rebuilt.
func (v *Voter) rebuildableGroup(lostRouters []string) (group uint64, refusal string) {
	members, voters, group := v.meta.Members, v.meta.Voters, v.meta.Group
	for _, name := range v.config.Candidates {
		m, ok := v.recentHello(name)
		if !ok {
			continue
		}
		if m.Hello.Leader != "" {
			return 0, refusedHasLeader(m.Hello.Leader)
		}
		if len(members) == 0 || m.Group > group {
			members, voters = m.Hello.Members, m.Hello.Voters
		}
		group = max(group, m.Group)
	}
	if leader := v.Leader(); leader != "" {
		return 0, refusedHasLeader(leader)
	}
	if len(voters) == 0 && group == 0 {
		return 0, fmt.Sprintf("no router that can be reached has a record of duties: they are founded by themselves once %s live",
			strings.Join(v.config.Candidates[:v.config.Voters], ", "))
	}
	if intact := v.possiblyIntactVoters(members, voters, lostRouters); 2*len(intact) > len(voters) {
		return 0, fmt.Sprintf("a majority of the voters may live: %s; name with --gone those whose disks will never come back", strings.Join(intact, ", "))
	}
	return group, ""
}

func refusedHasLeader(leader string) string {
	return fmt.Sprintf("the duties have a leader, %s: nothing is to be rebuilt", leader)
}

// possiblyAble are the voters that may still have their stores: one that can't be reached counts as
// one, unless it is named as lost.
func (v *Voter) possiblyIntactVoters(members []Node, voters []uint64, lostRouters []string) (names []string) {
	for _, n := range members {
		if !slices.Contains(voters, n.ID) || slices.Contains(lostRouters, n.Name) {
			continue
		}
		m, hasHello := v.recentHello(n.Name)
		isSelf := n.Name == v.config.Self
		switch {
		case isSelf && v.meta.ID == n.ID, hasHello && m.From.ID == n.ID, !hasHello && !isSelf:
			names = append(names, n.Name)
		}
	}
	return names
}
