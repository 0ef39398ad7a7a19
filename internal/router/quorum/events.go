package quorum

import (
	"go.etcd.io/raft/v3/raftpb"

	"reachspread/internal/router/lease"
)

// Event is an input of Step: Tick, MessageReceived, RequestReceived, Membership, DefineRoles or
// Rebuild.
type Event interface{ event() }

// Tick has no input besides the time.
type Tick struct{}

// MessageReceived is the arrival of an encoded message of another candidate.
type MessageReceived struct{ Data []byte }

// RequestReceived is the arrival of a router's request. From is an address of the owner's choice, to
// which the reply goes (SendReply.To).
type RequestReceived struct {
	From    string
	Request *lease.Request
}

// Membership replaces the set of routers that this router considers alive.
type Membership struct{ Alive map[string]bool }

// DefineRoles replaces the roles of Config. A role that is no longer configured stays in the table,
// but no router acquires it.
type DefineRoles struct{ Roles []lease.Role }

// Rebuild asks the voter to found a new group. LostRouters are the routers that, according to an
// operator, have lost their disks permanently.
type Rebuild struct{ LostRouters []string }

func (Tick) event()            {}
func (MessageReceived) event() {}
func (RequestReceived) event() {}
func (Membership) event()      {}
func (DefineRoles) event()     {}
func (Rebuild) event()         {}

// Action is something that the owner must do: Persist, Send, SendReply, Applied, Notice or
// RebuildFinished.
type Action interface{ action() }

// Persist tells the owner to write changes to the disk. The owner must not carry out a later action
// before the changes are on the disk.
type Persist struct {
	Reset     bool              // the owner first drops everything that was stored before
	Meta      *Meta             // replaces the stored one; nil for no change
	HardState *raftpb.HardState // replaces the stored one; nil for no change
	Snapshot  *raftpb.Snapshot  // replaces the stored one and, if Compact is 0, the whole log; nil for no change
	Entries   []*raftpb.Entry   // replace all log entries from the first one's index on
	Compact   uint64            // log entries up to this index may be dropped; 0 for none
}

// Send tells the owner to send a message to another candidate. The message may be lost.
type Send struct {
	To   string // the candidate's name
	Data []byte
}

// SendReply tells the owner to send a reply or a notification to a router. To is From of the request
// or, for a notification, the router's name.
type SendReply struct {
	To           string
	Notification bool
	Reply        *lease.Reply
}

// Applied reports a committed command to the owner, with its result. Commands are reported in the
// order of their indexes.
type Applied struct {
	Index   uint64
	Command lease.Command
	Result  lease.Result
	Changes []lease.Change
}

// Notice tells the owner to log an event for operators.
type Notice struct {
	Kind  NoticeKind
	Cause string
}

// RebuildFinished reports the outcome of a Rebuild. Refusal says why the voter refused to found the
// new group, and is empty if it has founded the group.
type RebuildFinished struct{ Refusal string }

func (Persist) action()         {}
func (Send) action()            {}
func (SendReply) action()       {}
func (Applied) action()         {}
func (Notice) action()          {}
func (RebuildFinished) action() {}

// NoticeKind is the event that a Notice reports.
type NoticeKind string

// The kinds of notices.
const (
	NoticeNoLeader      NoticeKind = "voters without leader" // this router has known no leader for leaderlessNoticeDelay
	NoticeLeaderElected NoticeKind = "voters have a leader"  // this router knows a leader again after NoticeNoLeader
	NoticeRejoining     NoticeKind = "voter rejoins"         // this router cannot use its store and begins a new one
	NoticeGroupFounded  NoticeKind = "voter group founded"   // this router has founded a group
)

// Stage is a candidate's progress towards voting. It is sent in hellos and shown to operators.
type Stage string

// The stages of a candidate.
const (
	Verifying Stage = "asking"   // the candidate asks the others what they know of its store
	Joining   Stage = "joining"  // the candidate is not a member of the group
	Learning  Stage = "learning" // the candidate receives the log and does not vote
	Voting    Stage = "voting"   // the candidate is a voter
	Standby   Stage = "spare"    // the group has enough voters without the candidate
)
