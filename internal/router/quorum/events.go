package quorum

import (
	"go.etcd.io/raft/v3/raftpb"

	"reachspread/internal/router/lease"
)

// Event is one of the following.
type Event interface{ event() }

// Tick says that time has passed.
type Tick struct{}

// MessageReceived is a message of another candidate.
type MessageReceived struct{ Data []byte }

// RequestReceived is a request of a router. From is where SendReply is to go, in the owner's terms.
type RequestReceived struct {
	From    string
	Request *lease.Request
}

// Membership says which routers are alive, as this router knows.
type Membership struct{ Alive map[string]bool }

// DefineRoles changes the roles that New was told. Roles that are not in it any more stay in the
// table, and nobody asks for them.
type DefineRoles struct{ Roles []lease.Role }

// Rebuild asks for a new group. LostRouters are those that an operator says will not come back with
// their disks.
type Rebuild struct{ LostRouters []string }

func (Tick) event()            {}
func (MessageReceived) event() {}
func (RequestReceived) event() {}
func (Membership) event()      {}
func (DefineRoles) event()     {}
func (Rebuild) event()         {}

// Action is one of the following.
type Action interface{ action() }

// Persist has to be on the disk before any action after it is carried out.
type Persist struct {
	Reset     bool // all before is dropped
	Meta      *Meta
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // replaces the log up to its index, unless Compact is set
	Entries   []*raftpb.Entry  // replace those with their indexes and above
	Compact   uint64           // entries up to here may be dropped
}

// Send is to go to another candidate; it may be lost.
type Send struct {
	To   string
	Data []byte
}

// SendReply is to go to a router: To is From of the request, or a router's name in a notification.
type SendReply struct {
	To           string
	Notification bool
	Reply        *lease.Reply
}

// Applied tells of one committed command, in order.
type Applied struct {
	Index   uint64
	Command lease.Command
	Result  lease.Result
	Changes []lease.Change
}

// Notice is for the log of whoever is on call.
type Notice struct {
	Kind  NoticeKind
	Cause string
}

// RebuildFinished replies to Rebuild. Refusal is empty if the new group is founded.
type RebuildFinished struct{ Refusal string }

func (Persist) action()         {}
func (Send) action()            {}
func (SendReply) action()       {}
func (Applied) action()         {}
func (Notice) action()          {}
func (RebuildFinished) action() {}

// NoticeKind is what a Notice is about.
type NoticeKind string

// The notices.
const (
	NoticeNoLeader      NoticeKind = "voters without leader" // there has been no leader for a while
	NoticeLeaderElected NoticeKind = "voters have a leader"  // there is one again
	NoticeRejoining     NoticeKind = "voter rejoins"         // the store can't be trusted
	NoticeGroupFounded  NoticeKind = "voter group founded"   // by this router
)

// Stage is how far a candidate is on its way to voting. It is in hellos, and shown to operators.
type Stage string

// The stages.
const (
	Verifying Stage = "asking"   // it asks the others what they know of its store
	Joining   Stage = "joining"  // its store is new, and the group has not added it
	Learning  Stage = "learning" // it is sent the log and does not vote
	Voting    Stage = "voting"
	Standby   Stage = "spare" // the group has enough voters
)
