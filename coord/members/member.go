package members

import (
	"net/netip"
	"time"
)

// State is the state of a member from the point of view of one member.
type State uint8

// The states. Datagrams contain these numbers.
const (
	Joining   State = iota // the local member asks other members for its earlier incarnation
	Alive                  // answers probes, or other members say so
	Suspected              // failed a probe and may still refute the suspicion; counts as live
	Dead                   // witnesses confirmed the suspicion
	Left                   // announced that it leaves
)

// States lists the name and meaning of every state. The index is the number of the state.
var States = []struct{ Name, Meaning string }{
	{"joining", "asks other members for its earlier incarnation"},
	{"alive", "answers probes, or is reported to"},
	{"suspected", "failed a probe and may still refute that; counts as live"},
	{"dead", "two witnesses confirmed the suspicion; it is pinged from time to time"},
	{"left", "announced that it leaves"},
}

// String returns the name of the state.
func (s State) String() string { return States[s].Name }

// Member describes one member of the fleet: its identity and its state.
type Member struct {
	Name, Zone, Version string
	Addr                netip.AddrPort
	Incarnation         uint32
	Boot                uint32
	State               State
	Since               time.Duration // when the member entered State, on the clock of the Decider
}

// View is a snapshot of the live members. A member is live if it is Alive or Suspected.
type View struct {
	// Version grows with each published change. Versions of different Deciders are not comparable.
	Version uint64
	// Digest is equal for two views whose members are the same processes.
	Digest uint64
	// Members are sorted by name.
	Members []Member
}

// Reason is the cause of a Change.
type Reason string

// The reasons. Their texts appear in logs.
const (
	ReasonJoined    Reason = "joined"
	ReasonRestarted Reason = "restarted" // a new process has the name, after a crash, an upgrade or a replacement
	ReasonReturned  Reason = "returned"  // the member was dead or had left, and the same process is live again
	ReasonCrashed   Reason = "crashed"
	ReasonZoneLost  Reason = "zone lost" // crashed together with at least half of its zone
	ReasonLeft      Reason = "left"
)

// Change is the change of one member between two versions of the view.
type Change struct {
	Member Member
	Reason Reason
}

// Stats holds counters since the start of the Decider and some gauges, which are marked as gauges.
type Stats struct {
	Alive, Suspected, Dead  int // gauges; Alive includes the local member and the suspected members
	Sent, SentBytes         uint64
	Received                uint64
	Dropped                 uint64 // datagrams that were malformed or whose sender was not allowed to send
	Suspicions, Refutations uint64
	Deaths, Joins           uint64
	HealthScore             int    // gauge: the local health score, from 0 (healthy) to 8
	Stalls                  uint64 // calls of Step that came late by stallThreshold or more
}
