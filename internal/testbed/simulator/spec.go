// Package simulator simulates a fleet in virtual time: clients with sessions and retries, a front
// that spreads them, routers around the real decision module, the discovery's list of hosts, the
// network, model hosts (package hostmodel), disruptions and faults. Rules of the platform are
// checked in every world. The same Spec gives the same results, to the byte, on any machine.
//
// A World is single-threaded, does no I/O and reads no clock; different worlds share nothing and
// may run at the same time. Its memory is bounded by the requests that are open at once: those that
// have ended are only counted.
package simulator

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// Spec describes a world.
type Spec struct {
	Seed    uint64
	Length  time.Duration // sessions begin until then; open requests run to their end
	Learned bool          // a restarted router has what its last process had learned, as from a snapshot
	Gate    bool          // routers admit classes by the capacity of hosts in slow start, as in package recovery
	Tick    time.Duration // a router handles its events once in this time

	Groups  []Group
	Routers int
	Classes []Class
	Balance balance.Config // without Zone, Classes and StepInterval, which the world sets

	Net         Network
	List        List
	Front       Front
	Retries     Retries
	Peers       Peers
	View        View
	Disruptions []Disruption
	Faults      []faults.Fault // those that exist in virtual time
	Captured    []Planned      // in the order of their times; if there are any, no load is drawn

	// History gets each event, in the form that package checker reads; nil for none. It must not
	// keep the event.
	History func(*history.Event)

	// New makes a router's decider; nil for that of package balance.
	New func(balance.Config, uint64) (Decider, error)
}

// Decider is a router's decision module.
type Decider interface {
	Step(now time.Duration, events []balance.Event) []balance.Action
}

// Group is a number of equal hosts.
type Group struct {
	Count int
	Kind  string
	Zone  string
	Host  hostmodel.Config
}

// Class is a class of requests with its load.
type Class struct {
	Class balance.Class

	Rate       float64 // requests in a second, over all sessions
	Turns      float64 // of a session, in the mean
	Think      time.Duration
	New        Length // tokens that a turn adds to what went before
	Out        Length
	MaxOut     int // that clients ask for; an answer is no longer
	MaxContext int // a session ends before its prompt is longer
	Prefixes   int // beginnings that sessions share; 0 for none
	Zipf       float64
	PrefixLen  Length
	Patience   float64 // share of the deadline that an attempt waits; 0 counts as 1
}

// Length is a log-normal distribution of lengths in tokens.
type Length struct {
	Median float64
	Sigma  float64 // of the logarithm
}

// Network is how long messages take, one way.
type Network struct {
	Same, Cross       time.Duration // within a zone, and between two
	Jitter            float64       // each takes up to this share longer
	Connect           time.Duration // after which a connection that does not come up is given up
	Idle              time.Duration // after which a host closes one
	StreamIdleTimeout time.Duration // after which a router ends a stream that says nothing; 0 for never
}

// List is how updates on hosts travel to routers.
type List struct {
	Delay, Spread time.Duration // the least, and up to how much more
}

// Front spreads clients over routers.
type Front struct {
	Notice time.Duration // until it knows that a router has died
	Uneven float64       // of the logarithm of the parts that routers get, 0 for alike; 0.5 gives the most loaded 2.7 times the middle one's
}

// Retries is what clients do after a refusal or a failure.
type Retries struct {
	Max   int
	After time.Duration // up to twice that
	Heed  bool          // Retry-After is kept
}

// Peers is how routers' words reach each other.
type Peers struct {
	On          bool
	Least, Most time.Duration // on their way
	Lost        float64       // share that never comes
}

// mostUneven bounds Front.Uneven, and mostOff how far from the middle a router's part is, in its
// multiples.
const (
	maxUneven     = 1.0
	maxDeviations = 2.0
)

// DisruptionKind names what goes wrong.
type DisruptionKind string

// The kinds.
const (
	SlowHosts   DisruptionKind = "slow"           // Fraction of the hosts work Size times slower
	Burst       DisruptionKind = "burst"          // Size times as many sessions begin
	HeavyTail   DisruptionKind = "heavy_tail"     // a Fraction of new prompts is Size times as long
	RouterCrash DisruptionKind = "balancer_crash" // Fraction of the routers die, and come back after Length
	HostsDie    DisruptionKind = "hosts_die"      // Fraction of the hosts die, and come back cold after Length
	Replace     DisruptionKind = "replace"        // Fraction of the hosts go for good, and cold ones of other names come
	Release     DisruptionKind = "release"        // all hosts are drained and started anew, a Fraction at a time, within Length
	LostZone    DisruptionKind = "lost_zone"      // the hosts of Zone are cut off
	ListLost    DisruptionKind = "list_lost"      // no updates on hosts
)

// Disruption is something that goes wrong for a while.
type Disruption struct {
	Kind     DisruptionKind
	At       time.Duration
	Length   time.Duration
	Fraction float64
	Size     float64
	Zone     string
}
