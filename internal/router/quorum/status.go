package quorum

import (
	"fmt"
	"slices"
	"time"

	"go.etcd.io/raft/v3"

	"reachspread/internal/router/lease"
)

// Counters counts events since the start of a Voter: commands that it has applied, elections in
// which it has campaigned, snapshots that it has taken and requests that it has rejected.
type Counters struct {
	Commands, Elections, Snapshots, Rejected uint64
}

// Status is a snapshot of a Voter's state for operators.
type Status struct {
	Stage           Stage
	Leader          string   // the leader's name; empty if this voter knows none
	Term, Index     uint64   // present term, and index of the last applied entry
	Group           uint64   // the group's number; 0 for none
	Leaderless      bool     // no leader has been known for leaderlessNoticeDelay, so roles are neither granted nor renewed
	Voters          []string // names
	Learners        []string // names
	HighestToken    uint64
	RemainingLeases map[uint64]time.Duration // remaining lease durations by token; nil unless this voter is the leader
	Counters        Counters
	LogEntries      uint64 // number of stored log entries
}

// Status returns the present status.
func (v *Voter) Status() Status {
	s := Status{Stage: v.stage(), Leader: v.Leader(), Group: v.meta.Group, Leaderless: v.leaderless,
		HighestToken: v.meta.HighestToken, Index: v.applied, Counters: v.counters}
	for _, n := range v.meta.Members {
		if slices.Contains(v.meta.Voters, n.ID) {
			s.Voters = append(s.Voters, n.Name)
		} else {
			s.Learners = append(s.Learners, n.Name)
		}
	}
	if v.raft != nil {
		s.Term = v.raft.BasicStatus().GetTerm()
		first, _ := v.storage.FirstIndex()
		last, _ := v.storage.LastIndex()
		s.LogEntries = last + 1 - first
	}
	if v.isLeader() {
		s.RemainingLeases = map[uint64]time.Duration{}
		for token, at := range v.renewedAt {
			s.RemainingLeases[token] = max(at+v.config.Timing.Duration-v.now, 0)
		}
	}
	return s
}

// Table returns the table with all commands applied so far. The caller must neither retain nor
// change it.
func (v *Voter) Table() *lease.Table { return v.table }

// Leader returns the name of the leader, or "" if none is known. A candidate at stage Joining or
// Verifying returns the leader that others report.
func (v *Voter) Leader() string {
	if v.stage() == Joining || v.stage() == Verifying {
		return v.reportedLeader()
	}
	lead := v.raft.BasicStatus().Lead
	for _, n := range v.meta.Members {
		if n.ID == lead {
			return n.Name
		}
	}
	return ""
}

// reportedLeader returns the leader of this router's group according to the recent hellos of other
// candidates, or "" if none names one.
func (v *Voter) reportedLeader() string {
	for _, name := range v.config.Candidates {
		if m, ok := v.recentHello(name); ok && m.Hello.Leader != "" && m.Group == v.meta.Group {
			return m.Hello.Leader
		}
	}
	return ""
}

func (v *Voter) isLeader() bool {
	return v.raft != nil && v.raft.BasicStatus().RaftState == raft.StateLeader
}

func (v *Voter) stage() Stage {
	switch {
	case v.raft == nil && v.meta.Group != 0 && v.meta.Starts > firstStart:
		return Verifying
	case v.raft == nil || v.confState == nil:
		return Joining
	case slices.Contains(v.confState.Voters, v.meta.ID):
		return Voting
	case slices.Contains(v.confState.Learners, v.meta.ID):
		return Learning
	}
	return Joining
}

// reportLeadership adds a Notice once no leader has been known for leaderlessNoticeDelay, and another
// Notice once a leader is known again.
func (v *Voter) reportLeadership() {
	if leader := v.Leader(); leader != "" {
		v.leaderlessSince = v.now
		if v.leaderless {
			v.leaderless = false
			v.notice(NoticeLeaderElected, "led by "+leader)
		}
		return
	}
	if !v.leaderless && v.now >= v.leaderlessSince+leaderlessNoticeDelay {
		v.leaderless = true
		v.notice(NoticeNoLeader, v.leaderlessCause())
	}
}

// leaderlessCause returns the probable reason why there is no leader.
func (v *Voter) leaderlessCause() string {
	lost := v.votersWithLostStore()
	if len(lost) == 0 {
		return "no majority of the voters can be reached"
	}
	cause := fmt.Sprintf("the disks of %v are gone", lost)
	if 2*len(lost) > len(v.meta.Voters) {
		cause += ", a majority: see fleet duties rebuild"
	}
	return cause
}

// votersWithLostStore returns the names of the voters whose last hello describes another store.
func (v *Voter) votersWithLostStore() (names []string) {
	for _, n := range v.meta.Members {
		if h, ok := v.hellos[n.Name]; ok && slices.Contains(v.meta.Voters, n.ID) && h.message.From.ID != n.ID {
			names = append(names, n.Name)
		}
	}
	return names
}
