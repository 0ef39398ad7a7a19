// Package faults is the one vocabulary of faults that tests inject into a fleet: a table of kinds,
// schedules of them, their effect on each link at each moment, and drawing and shrinking of
// schedules. Chaos tests play schedules on processes, serve-fleet on fake hosts, the simulator in
// virtual time and the explorer in all orders; a fault has the same name in all of them.
//
// The package is pure: no I/O, no clock, no goroutine, and all random choices from seeds.
package faults

import "time"

// Kind names a fault.
type Kind string

// World is where a fault may be played.
type World uint8

// The worlds.
const (
	RealProcesses        World = 1 << iota // processes on loopback
	FakeHosts                              // fake hosts alone, as serve-fleet starts them
	Simulation                             // virtual time
	MembershipSimulation                   // virtual time of the membership protocol
	Explorer                               // all orders
)

// MaxFaults bounds the faults of one schedule.
const MaxFaults = 256

// Fault is one block of a schedule.
type Fault struct {
	Kind   Kind
	At     time.Duration // of the play; with When, after the event
	When   *When         // nil for a time of the play
	Length time.Duration

	Routers Selection // that it affects, or one end of the links
	Hosts   Selection
	Zone    string // of Power, empty for all

	Links             []string  // of Routers: to LinkPeers, LinkHosts, LinkList; none counts as LinkPeers
	Peers             Selection // the other ends among routers; nobody counts as all
	Direction         Direction // of Cut and the other link kinds, seen from Routers
	Groups            [][]int   // of Partition, routers by number
	Zones             bool      // Groups are the zones, hosts included where Links has LinkHosts
	Bridge            []int     // of Partition: routers that all groups reach
	Share             float64   // of the datagrams, or of the time (Crawl)
	Size              float64   // of Slow: times
	Delay             time.Duration
	Jitter            time.Duration
	Disk              Disk    // that a router restarts with; empty counts as DiskUnchanged
	File              string  // of DiskTruncated: a pattern below the folder; empty for every file
	RemainingFraction float64 // of DiskTruncated: of the file's bytes

	Source string // file and line, for errors
}

// When is the event that a fault waits for, as the history has it. Empty fields fit everything.
type When struct {
	What, Who, Text string // Text is any part of the event's
	Nth             int    // 0 counts as 1
}

// Selection is a number of routers or of hosts. Its zero value is nobody.
type Selection struct {
	All      bool
	Numbers  []int   // from 0
	Zone     string  // all of a zone
	Fraction float64 // of all, drawn by the schedule's seed
}

// IsEmpty reports whether it selects nothing.
func (s *Selection) IsEmpty() bool {
	return !s.All && len(s.Numbers) == 0 && s.Zone == "" && s.Fraction == 0
}

// The kinds of links that a router has.
const (
	LinkPeers = "peers"
	LinkHosts = "hosts"
	LinkList  = "list"
)

// Direction is the affected direction of a link, seen from the routers of the fault.
type Direction string

// The directions. Empty counts as Both.
const (
	Both Direction = "both"
	Out  Direction = "out"
	In   Direction = "in"
)

// Disk is what a router that was killed finds in its durable folder.
type Disk string

// The disks.
const (
	DiskUnchanged Disk = "own"
	DiskEmpty     Disk = "empty"
	DiskOther     Disk = "other" // that of the router with the next number
	DiskTruncated Disk = "cut"   // its own, with File cut short
	DiskOlder     Disk = "older" // its own, as it was when the process began that dies now
	DiskNewer     Disk = "newer" // its own, with snapshots that a program of a later format wrote
	DiskFlip      Disk = "flip"  // its own, with a bit of each snapshot flipped
	DiskAhead     Disk = "ahead" // its own, with snapshots of a clock that was an hour ahead
)

// Disks has all of them.
var Disks = []Disk{DiskUnchanged, DiskEmpty, DiskOther, DiskTruncated, DiskOlder, DiskNewer, DiskFlip, DiskAhead}

// Topology is a fleet, as far as a schedule needs to know it: the zone of each router and of each
// host.
type Topology struct{ Routers, Hosts []string }

// EndKind is what stands at one end of a link.
type EndKind uint8

// The kinds of ends.
const (
	AtRouter EndKind = iota
	AtHost
	AtList
)

// End is one end of a link.
type End struct {
	Kind EndKind
	N    int
}
