package members

import (
	"net/netip"
	"time"
)

// State is the state of a member, as one member sees it.
type State uint8

// The states. The numbers are on the wire.
const (
	Joining   State = iota // only of the local member: it asks others for its incarnation
	Alive                  // answers probes, or is reported to
	Suspected              // failed a probe and may still refute; counts as live
	Dead                   // witnesses confirmed the suspicion
	Left                   // announced that it leaves
)

// States has the name and meaning of every state, in the order of their numbers.
var States = []struct{ Name, Meaning string }{
	{"joining", "asks other members for its earlier incarnation"},
	{"alive", "answers probes, or is reported to"},
	{"suspected", "failed a probe and may still refute that; counts as live"},
	{"dead", "two witnesses confirmed the suspicion; it is pinged from time to time"},
	{"left", "announced that it leaves"},
}

// String is the name of the state.
func (s State) String() string { return States[s].Name }

// Member is one member of a View.
type Member struct {
	Name, Zone, Version string
	Addr                netip.AddrPort
	Incarnation         uint32
	Boot                uint32
	State               State
	Since               time.Duration // when State began, on the decider's clock
}

// View is a snapshot of the live members: those that are Alive or Suspected.
type View struct {
	// Version grows with each change; versions of different deciders can't be compared.
	Version uint64
	// Digest is equal for two views with the same processes as members.
	Digest uint64
	// Members are sorted by name.
	Members []Member
}

// Reason is the cause of a change.
type Reason string

// The reasons. Their texts stand in logs.
const (
	ReasonJoined    Reason = "joined"
	ReasonRestarted Reason = "restarted" // another process of the member: after a crash, an upgrade or a replacement
	ReasonReturned  Reason = "returned"  // was dead and answers
	ReasonCrashed   Reason = "crashed"
	ReasonZoneLost  Reason = "zone lost" // crashed together with at least half of its zone
	ReasonLeft      Reason = "left"
)

// Change is what became of one member.
type Change struct {
	Member Member
	Reason Reason
}

// Stats are counters since the start, but for the gauges that say so.
type Stats struct {
	Alive, Suspected, Dead  int // gauges; Alive counts the local member and the suspected ones
	Sent, SentBytes         uint64
	Received                uint64
	Dropped                 uint64 // datagrams that were malformed, or from a sender that may not send
	Suspicions, Refutations uint64
	Deaths, Joins           uint64
	HealthScore             int    // gauge: the local health score, 0 for healthy up to 8
	Stalls                  uint64 // calls to Step that came late
}
