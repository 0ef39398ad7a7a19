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

// join founds a group or starts the engine once this router may do so. It is called while the engine
// is not running.
func (v *Voter) join() {
	switch {
	case v.meta.Group == 0:
		if founders, ok := v.emptyFounders(); ok {
			// The group's number is random and decides the block of its tokens. If all disks are
			// lost, the next first group thus does not grant the same tokens again.
			v.foundGroup(1+v.rng.Uint64N(firstGroupRange), founders)
		}
	case v.meta.Starts == firstStart, v.config.TrustStore:
		v.startRaft()
	case v.lastEntry.index == 0: // the store was used before but never received a log entry
		v.newStore(v.meta.Group)
		v.startRaft()
	case v.isStoreConfirmed():
		v.startRaft()
	}
}

// emptyFounders returns the other founders. Ok is false unless this router is the first candidate
// and the recent hellos of all other founders show stores without a group. It stays false for two
// hello intervals after the start.
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

// foundGroupAgain replaces a group whose founder lost its disk before any other candidate had
// received a log entry. All candidates know of that group, but none can add the others to it. Only
// the first candidate founds the new group, once the logs of all candidates have been empty for
// foundGroupAgainDelay.
func (v *Voter) foundGroupAgain() {
	founders, ok := v.emptyCandidates()
	if !ok {
		v.allEmptySince = v.now
		return
	}
	if v.now >= v.allEmptySince+v.foundGroupAgainDelay() {
		// The records describe stores of the last group. The next group number is skipped because
		// an operator's Rebuild may have used it at the same time.
		clear(v.meta.StoreRecords)
		v.foundGroup(v.meta.Group+2, founders)
	}
}

// foundGroupAgainDelay returns how long all logs must be empty before foundGroupAgain founds a group.
// A candidate with log entries says so within helloTTL. The lease duration is added because a group
// whose disks were all lost looks the same: its leases must have ended by then.
func (v *Voter) foundGroupAgainDelay() time.Duration { return helloTTL + v.config.Timing.Duration }

// emptyCandidates returns the other founders. Ok is true only if this router is the first candidate,
// knows of a group and has an empty log, and the recent hellos of all other candidates show an empty
// log and no leader.
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

// isLogEmpty reports whether this router's store has neither a log entry nor a snapshot.
func (v *Voter) isLogEmpty() bool {
	if v.raft == nil {
		return v.lastEntry.index == 0
	}
	last, _ := v.storage.LastIndex() // cannot fail in memory
	return last == 0
}

// isStoreConfirmed reports whether this router may use its store: it and the voters that know of no
// newer state of its store are a majority, and all live members have replied or storeCheckTimeout
// has passed.
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

// awaitsConfirmation reports whether a live member has not said yet what it knows of this router's
// store. A member whose router has another store by now is not awaited.
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

// foundGroup founds a group whose first voters are this router and peers, whose stores are empty.
// Further candidates join after they have sent a hello. The group's tokens are larger than all
// tokens that this router has seen, and than all tokens in the blocks of groups with lower numbers.
func (v *Voter) foundGroup(group uint64, peers []Node) {
	floor := max(lease.NextTokenBlock(v.meta.HighestToken), lease.NextTokenBlock(group<<lease.TokenBlockBits))
	v.newStore(group)
	v.actions = v.actions[:len(v.actions)-1] // drop newStore's Persist: the Persist below includes it
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

// firstSnapshot returns the snapshot with which a group begins, at index 1 of term 1.
func firstSnapshot(members []Node, tokenFloor uint64) *raftpb.Snapshot {
	var voters []uint64
	for _, n := range members {
		voters = append(voters, n.ID)
	}
	// Marshal cannot fail: all fields have types that JSON can encode.
	data, _ := json.Marshal(snapshotContent{members, lease.State{Token: tokenFloor}})
	one := uint64(1)
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: &one, Term: &one, ConfState: &raftpb.ConfState{Voters: voters}}}
}

func firstHardState() *raftpb.HardState {
	one := uint64(1)
	return &raftpb.HardState{Term: &one, Commit: &one, Vote: new(uint64)}
}

// rebuild founds a new group if a majority of the last group's disks is lost permanently, and
// reports the outcome to the owner.
func (v *Voter) rebuild(lostRouters []string) {
	group, refusal := v.rebuildableGroup(lostRouters)
	if refusal == "" {
		v.foundGroup(group+1, nil)
	}
	v.actions = append(v.actions, RebuildFinished{refusal})
}

// rebuildableGroup returns the highest group number that any candidate knows of, or the refusal that
// says why an operator must not rebuild that group.
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

// possiblyIntactVoters returns the names of the voters that may still have their stores. A voter
// that cannot be reached is included unless the operator has named it as lost.
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
