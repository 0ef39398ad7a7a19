// Package simulator plays a whole fleet in virtual time: clients with sessions and retries, a front
// that spreads them, routers around the real decision module, the list of hosts, the network, model
// hosts (package fleet) and disruptions. Checkers of the platform's rules run on every world. The
// same Spec gives the same results, to the byte, wherever it is played.
//
// This file is what an experiment is made of; world.go has the clock, client.go the load, router.go
// the routers, hosts.go hosts and their list, disruption.go what goes wrong, rules.go the checkers
// and result.go what comes of it. A World is single-threaded, does no I/O and looks at no clock;
// different worlds share nothing and may be played side by side. Its memory is bounded by what is
// open at once: finished requests are only counted.
package simulator

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// Spec is one experiment's world.
type Spec struct {
	Seed    uint64
	Length  time.Duration // clients arrive until then; what is open is played to its end
	Learned bool          // a router that comes back has what its last process had learned, as from a snapshot
	Gate    bool          // routers admit classes by what cold hosts can do, as package recovery has it
	Tick    time.Duration // a router handles what has come in once in this time

	Groups  []Group
	Routers int
	Classes []Class
	Balance balance.Config // but for Zone, Classes and Tick, which the world fills in

	Net         Network
	List        List
	Front       Front
	Retries     Retries
	Peers       Peers
	View        View
	Disruptions []Disruption
	Faults      []faults.Fault // as far as virtual time has them
	Captured    []Planned      // in the order of their times; in place of drawn load, if there is any

	// History is told of what happens, as package judge reads it; nil for nobody. The event is not
	// kept.
	History func(*history.Event)

	// New makes a router's decider; nil for that of package balance.
	New func(balance.Config, uint64) (Decider, error)
}

// Decider is a router's decision module.
type Decider interface {
	Step(now time.Duration, events []balance.Event) []balance.Action
}

// Group is a number of hosts that are alike.
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
