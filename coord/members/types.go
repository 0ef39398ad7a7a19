// Package members decides who of the fleet's routers lives, as one router sees it. docs/design/members.md has the why, the
// periods' derivation and every datagram's format.
//
// This file is the interface; members.go has the step, probe.go the detection, suspect.go suspicions and witnesses, gossip.go how
// word travels, sync.go how differences heal, join.go cards and joins, view.go what users see, wire.go the datagrams.
//
// A Decider is a state machine without I/O, clock or goroutine. Its owner calls Step with the time and one event, carries
// out the actions, and calls again at Next. The same seed and events give the same actions. The owner owes it one caller
// at a time and a clock that never goes back; a clock that stood still, or an owner that did, is noticed. It may expect that
// its own incarnation only grows, that it is never dead in its own view, that no datagram is longer than MostDatagram, and
// that memory is bounded as the design note says, whatever datagrams come.
package members

import (
	"net/netip"
	"time"
)

// Bounds of what comes from outside.
const (
	MostDatagram = 256    // bytes, the platform's
	MostMembers  = 20_000 // with those that are dead
	MostName     = 32     // bytes
	MostZone     = 16
	MostVersion  = 16
)

// State is a member's, as somebody sees it.
type State uint8

// The states.
const (
	Joining   State = iota // only of oneself: others are asked who one was
	Alive                  // answers, or is said to
	Suspected              // missed a probe; it or others may still clear that up
	Dead                   // two witnesses heard nothing of it for as long as a suspicion lasts
	Left                   // said so itself
)

// States has every state's name and meaning, in the order of their numbers.
var States = []struct{ Name, Meaning string }{
	{"joining", "asks the others who it was before it says anything"},
	{"alive", "answers probes, or those who probe it say so"},
	{"suspected", "missed a probe and is given the time to answer others; counts as living"},
	{"dead", "two witnesses heard nothing of it; it is greeted from time to time"},
	{"left", "said that it leaves"},
}

// String is the state's name.
func (s State) String() string { return States[s].Name }

// Config is what a Decider is told at its start.
type Config struct {
	Name, Zone, Version string
	Addr                netip.AddrPort   // at which all others reach it; IPv4
	Boot                uint32           // drawn anew at each start, not 0
	Incarnation         uint32           // the least to begin with: what was kept, plus 1; 0 counts as 1
	Seeds               []netip.AddrPort // who is asked for the fleet; the own address is passed over. Not to be changed
	Closed              bool             // only the addresses of Seeds may join
	Seed                uint64           // of all chance
	Members             int              // bound, with the dead; 0 for MostMembers
}

// Member is one router as a view has it.
type Member struct {
	Name, Zone, Version string
	Addr                netip.AddrPort
	Incarnation         uint32
	Boot                uint32
	State               State
	Since               time.Duration // in this state, on the decider's clock
}

// View is a snapshot: members that are alive or suspected, by name.
type View struct {
	Version uint64 // grows with each change, of this decider alone
	Digest  uint64 // two views with the same members and the same processes of them have the same
	Members []Member
}

// Why is the reason for a change.
type Why string

// The reasons.
const (
	Joined    Why = "joined"
	Restarted Why = "restarted" // another process of the same member: after a crash, a release or a replacement
	Returned  Why = "returned"  // it was held to be dead, and answers
	Crashed   Why = "crashed"
	ZoneLost  Why = "zone lost" // of at least half of the living of a zone at once
	Gone      Why = "left"
)

// Change is what became of one member.
type Change struct {
	Member Member
	Why    Why
}

// Event is something that happens to a Decider: one of the types below.
type Event interface{ isEvent() }

// Received is a datagram that came. Data is not kept.
type Received struct {
	From netip.AddrPort
	Data []byte
}

// Passed says that nothing but time has.
type Passed struct{}

// Leave says that the router is about to end. Replaced says that another process of it takes over, which is no leaving.
type Leave struct{ Replaced bool }

// Seeds replaces the addresses that are asked for the fleet. They are not to be changed.
type Seeds struct{ All []netip.AddrPort }

func (Received) isEvent() {}
func (Passed) isEvent()   {}
func (Leave) isEvent()    {}
func (Seeds) isEvent()    {}

// Action is something for the owner to do: one of the types below.
type Action interface{ isAction() }

// Send is a datagram to be sent. Data belongs to the receiver.
type Send struct {
	To   netip.AddrPort
	Data []byte
}

// Changed tells users of the view what became of it. View returns the whole.
type Changed struct {
	Version, Digest uint64
	Changes         []Change
}

// Refused tells, once for each name and address, that a stranger claimed the name of a living member.
type Refused struct {
	Name string
	Addr netip.AddrPort // of the stranger
}

// Taken tells, once, that a living member of another address has the own name: this router is in no view.
type Taken struct{ By netip.AddrPort }

func (Send) isAction()    {}
func (Changed) isAction() {}
func (Refused) isAction() {}
func (Taken) isAction()   {}

// Figures are counters since the start, for the operators.
type Figures struct {
	Alive, Suspected, Dead int // now; the own one among the living
	Sent, SentBytes        uint64
	Received               uint64
	Dropped                uint64 // datagrams that were broken, or from who may not send
	Suspicions, Refuted    uint64
	Deaths, Joins          uint64
	Health                 int    // 0 for well, up to 8
	Stood                  uint64 // times that the decider was woken late
}
