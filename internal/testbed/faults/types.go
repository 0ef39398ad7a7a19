// Package faults defines the faults that tests inject into a fleet: a table of the kinds, schedules of
// faults, and the effect of active faults on each link. It also draws random schedules and shrinks
// failing ones. Chaos tests run schedules on processes, serve-fleet on fake hosts, the simulator in
// virtual time and the explorer in all orders. A fault has the same name in all of them.
//
// The package is pure: it has no I/O, no clock and no goroutines, and draws all random choices from
// seeds.
package faults

import "time"

// Kind names a fault.
type Kind string

// World is a set of environments in which a fault can be injected.
type World uint8

// The worlds.
const (
	RealProcesses        World = 1 << iota // real processes on loopback
	FakeHosts                              // only fake hosts, as serve-fleet starts them
	Simulation                             // simulation in virtual time
	MembershipSimulation                   // simulation of the membership protocol in virtual time
	Explorer                               // exploration of all orders of events
)

// MaxFaults bounds the faults of one schedule.
const MaxFaults = 256

// Fault is one block of a schedule.
type Fault struct {
	Kind   Kind
	At     time.Duration // start, since the beginning of the run or, with When, since the event
	When   *When         // event that the fault waits for; nil if it starts at a fixed time
	Length time.Duration

	Routers Selection // affected routers or, for a link fault, one end of the affected links
	Hosts   Selection
	Zone    string // for Power: the affected zone, empty for all

	Links             []string  // affected links of Routers: LinkPeers, LinkHosts, LinkList; empty means LinkPeers
	Peers             Selection // the routers at the other ends of the links; empty means all
	Direction         Direction // for Blackhole and the other link kinds: affected direction, seen from Routers
	Groups            [][]int   // for Partition: groups of routers, by number
	Zones             bool      // for Partition: the zones are the groups, including hosts if Links has LinkHosts
	Bridge            []int     // for Partition: routers that can reach all groups
	Share             float64   // affected fraction of the datagrams or, for Crawl, of the time
	Size              float64   // for Slow: factor by which the host is slower
	Delay             time.Duration
	Jitter            time.Duration
	Disk              Disk    // the disk with which a router restarts; empty means DiskUnchanged
	File              string  // for DiskTruncated: pattern of file names below the data folder; empty for every file
	RemainingFraction float64 // for DiskTruncated: fraction of the file's bytes that remains

	Source string // file and line of the fault, for errors
}

// When describes the event of the history that a fault waits for. An empty field matches any event.
type When struct {
	What, Who, Text string // Text matches any part of the event's text
	Nth             int    // which of the matching events, from 1; 0 means 1
}

// Selection selects routers or hosts. Its zero value selects nothing.
type Selection struct {
	All      bool
	Numbers  []int   // the routers or hosts with these numbers, from 0
	Zone     string  // all routers or hosts of this zone
	Fraction float64 // a random fraction of all, drawn from the seed given to Resolve
}

// IsEmpty reports whether the selection selects nothing.
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

// The directions. An empty direction means Both.
const (
	Both Direction = "both"
	Out  Direction = "out"
	In   Direction = "in"
)

// Disk is the state of the durable folder in which a killed router restarts.
type Disk string

// The states of a durable folder.
const (
	DiskUnchanged Disk = "own"
	DiskEmpty     Disk = "empty"
	DiskOther     Disk = "other" // the folder of the router with the next number
	DiskTruncated Disk = "cut"   // the router's own folder, with the files that match File truncated
	DiskOlder     Disk = "older" // the router's own folder, as it was when the process that is killed had started
	DiskNewer     Disk = "newer" // the router's own folder, with snapshots in a later format
	DiskFlip      Disk = "flip"  // the router's own folder, with one bit of each snapshot flipped
	DiskAhead     Disk = "ahead" // the router's own folder, with snapshots from a clock that was an hour ahead
)

// Disks lists all states of a durable folder.
var Disks = []Disk{DiskUnchanged, DiskEmpty, DiskOther, DiskTruncated, DiskOlder, DiskNewer, DiskFlip, DiskAhead}

// Topology is the part of a fleet's layout that a schedule needs: the zone of each router and of each
// host.
type Topology struct{ Routers, Hosts []string }

// EndKind is the kind of process at one end of a link: a router, a host or the discovery list.
type EndKind uint8

// The kinds of ends.
const (
	AtRouter EndKind = iota
	AtHost
	AtList
)

// End is one end of a link: the kind of process and, for routers and hosts, its number.
type End struct {
	Kind EndKind
	N    int
}
