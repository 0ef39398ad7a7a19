// Package quorum is one voter of the few routers that agree on who holds which duty. The agreement itself is
// go.etcd.io/raft/v3's; this package is what stands around it: who founds the group, who votes, what a voter must know before
// it counts as who it was, the leader's clock for leases, snapshots, and what becomes of requests. docs/design/duties.md has the
// why.
//
// This file is the interface; voter.go has the step, raft.go what goes through the engine, join.go who may take part, plan.go the
// choice of voters, lease.go the leader's clock, wire.go the messages. A Voter is a state machine without I/O, clock or
// goroutine. Its owner calls Step with the time and one event, carries out the actions in their order, and calls again at
// Next. The same seed and events give the same actions: followers' timers are this package's, as the engine draws its own
// from a source that can't be seeded.
//
// The owner owes it: a monotonic clock; that nothing which stands behind a Keep is carried out before the Keep is on the disk;
// and, if a Keep fails, that the Voter is never called again.
package quorum

import (
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"reachspread/internal/router/lease"
)

// Periods and bounds.
const (
	TickInterval          = 50 * time.Millisecond  // between two of the leader's ticks; it sends heartbeats each second one
	electionTimeoutTicks  = 8                      // beats without word of the leader, after which a voter stands for election
	electionJitterTicks   = 4                      // beats over which the moments are spread at which voters do
	helloInterval         = 200 * time.Millisecond // while a router is no member
	memberHelloInterval   = 2 * time.Second        // once it is one
	storeCheckTimeout     = 2 * time.Second        // the longest wait for living routers' word on the own store
	helloTTL              = 3 * time.Second        // for how long a hello counts
	reconfigureInterval   = 300 * time.Millisecond
	notifyInterval        = 50 * time.Millisecond
	confirmTimeout        = 300 * time.Millisecond // a grant that came by itself is taken back if its holder does not renew it
	leaderlessNoticeDelay = 5 * time.Second        // without a leader, the log says so
	queueCheckInterval    = time.Second            // between two looks at who waits and lives no more

	MaxCandidates      = lease.MaxVoters
	MaxMessageBytes    = 4 << 20 // bytes
	maxPendingRequests = 4096    // requests that wait for agreement
	entriesPerSnapshot = 1000    // commands
	retainedEntries    = 200     // commands that stay in the log behind a snapshot
	firstGroupRange    = 1 << 20 // of which the first one's number is drawn
)

// Config is what a Voter is told at its start.
type Config struct {
	Self, Zone     string
	Candidates     []string // who may vote, the same at all; the first Voters found the group
	Voters         int      // 1, 3, 5 or 7
	Roles          []lease.Role
	Timing         lease.Timing
	ReplaceTimeout time.Duration // a voter that the view has lost for this long makes room for another
	Boot           uint32
	Seed           uint64
	TickInterval   time.Duration // between two of the leader's ticks; 0 counts as Beat. The other periods of elections follow it
	SkipLeaseWait  bool          // planted, for checkers: a new leader does not wait a whole lease
	TrustStore     bool          // for explorers, whose depth is short: the store is believed without asking
}

// Node is a member of the group.
type Node struct {
	ID   uint64 // of its store
	Name string
	Zone string
}

// Seal is what a router knows of another's store: one that shows less is an older copy.
type StoreRecord struct {
	Starts              uint64 `json:"Start"`
	Term                uint64
	Boot                uint32
	LastTerm, LastIndex uint64
}

// Meta is the part of what is kept that is no log.
type Meta struct {
	Version      int
	ID           uint64 // drawn as the store is made
	Name         string // whose it is
	Group        uint64 // 0 for none yet
	Starts       uint64 `json:"Start"` // how often a process has begun with it
	Members      []Node `json:"Nodes"` // of the group, as far as applied
	Voters       []uint64
	HighestToken uint64                 `json:"Token"` // the largest that was seen
	StoreRecords map[uint64]StoreRecord `json:"Seals"`
}

// Stored is what a folder has.
type StoredState struct {
	Meta      Meta
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// Event is one of the following.
type Event interface{ event() }

// Passed says that time has.
type Tick struct{}

// Received is a message from another router that may vote.
type MessageReceived struct{ Data []byte }

// Asked is a request of a router, which is called From in the answer to it.
type RequestReceived struct {
	From    string
	Request *lease.Request
}

// View is who lives, as the fleet view has it.
type Membership struct{ Alive map[string]bool }

// Define has there be these duties from here on, as New was told of others. Those that are no more stay in the table, asked for by nobody.
type DefineRoles struct{ Roles []lease.Role }

// Rebuild asks for a new group. Gone are routers that an operator says will not come back with their disks.
type Rebuild struct{ LostRouters []string }

func (Tick) event()            {}
func (MessageReceived) event() {}
func (RequestReceived) event() {}
func (Membership) event()      {}
func (DefineRoles) event()     {}
func (Rebuild) event()         {}

// Action is one of the following.
type Action interface{ action() }

// Keep is to be on the disk before anything that comes after it is done.
type Persist struct {
	Reset     bool // all before is thrown away
	Meta      *Meta
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // replaces the log up to its index
	Entries   []*raftpb.Entry  // replace those with their numbers and above
	Compact   uint64           // entries up to here may be thrown away
}

// Send is to go to another router that may vote; it may be lost.
type Send struct {
	To   string
	Data []byte
}

// Answer is to go to a router: to From of a request, or to one by its name, if Push.
type SendReply struct {
	To           string
	Notification bool
	Reply        *lease.Reply
}

// Applied tells of one command that was agreed on, in order.
type Applied struct {
	Index   uint64
	Command lease.Command
	Result  lease.Result
	Changes []lease.Change
}

// Told is for the log of whoever is on call.
type Notice struct {
	Kind  NoticeKind
	Cause string
}

// Rebuilt answers Rebuild.
type RebuildFinished struct{ Refusal string }

func (Persist) action()         {}
func (Send) action()            {}
func (SendReply) action()       {}
func (Applied) action()         {}
func (Notice) action()          {}
func (RebuildFinished) action() {}

// Telling is what the log is told.
type NoticeKind string

// The lines.
const (
	NoticeNoLeader      NoticeKind = "duties stopped"
	NoticeLeaderElected NoticeKind = "duties go on"
	NoticeRejoining     NoticeKind = "voter starts anew"
	NoticeGroupFounded  NoticeKind = "duties founded"
)

// Stage is how far a router is.
type Stage string

// The stages.
const (
	Verifying Stage = "asking"   // others, what they know of its store
	Joining   Stage = "joining"  // its store is new, and the group has not taken it up
	Learning  Stage = "learning" // it hears all and does not vote
	Voting    Stage = "voting"
	Standby   Stage = "spare" // the group has enough voters
)

// Kept returns what a store has once a Keep is carried out, nil being an empty one. It is for owners whose disk is memory.
func (s *StoredState) Apply(k *Persist) *StoredState {
	out := &StoredState{}
	if s != nil && !k.Reset {
		*out = *s
	}
	if k.Meta != nil {
		out.Meta = *k.Meta
	}
	if k.HardState != nil {
		out.HardState = k.HardState
	}
	entries := slices.Clone(out.Entries)
	if k.Snapshot != nil {
		out.Snapshot = k.Snapshot
		if k.Compact == 0 {
			entries = nil
		}
	}
	if len(k.Entries) > 0 {
		first := k.Entries[0].GetIndex()
		entries = slices.DeleteFunc(entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first })
		entries = append(entries, k.Entries...)
	}
	if k.Compact > 0 {
		entries = slices.DeleteFunc(entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= k.Compact })
	}
	out.Entries = entries
	return out
}

// Clone returns a copy that shares nothing that is changed later.
func (s *StoredState) Clone() *StoredState {
	if s == nil {
		return nil
	}
	c := *s
	c.Meta.Members, c.Meta.Voters, c.Meta.StoreRecords = slices.Clone(s.Meta.Members), slices.Clone(s.Meta.Voters), maps.Clone(s.Meta.StoreRecords)
	c.Entries = slices.Clone(s.Entries)
	return &c
}
