// Package simulator simulates a fleet in virtual time: clients with sessions and retries, a front
// that spreads clients over routers, routers with the real decision module, the discovery's list of
// hosts, the network, model hosts (package hostmodel), disruptions and faults. Every simulation
// checks the rules of the platform. The same Spec gives byte-identical results on any machine.
//
// A World is one simulation. It is single-threaded, does no I/O and reads no clock. Different worlds
// share nothing and may run at the same time. The memory of a World is bounded by the number of
// requests that are open at once, because requests that have ended are only counted.
package simulator

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// Spec configures a simulation.
type Spec struct {
	Seed    uint64
	Length  time.Duration // clients make requests until this time; open requests run to their end
	Learned bool          // a restarted router restores what its last process had learned, as from a snapshot
	Gate    bool          // routers use the gate of package recovery, which admits classes by the capacity of hosts in slow start
	Tick    time.Duration // interval at which a router handles its queued events

	Groups  []Group
	Routers int
	Classes []Class
	Balance balance.Config // Zone, Classes and StepInterval are set by New

	Net         Network
	List        List
	Front       Front
	Retries     Retries
	Peers       Peers
	View        View
	Disruptions []Disruption
	Faults      []faults.Fault // only kinds that exist in virtual time
	Captured    []Planned      // requests to replay, in the order of their times, instead of a drawn load

	// History is called with each event, in the form that package checker reads. It must not retain
	// the event. It may be nil.
	History func(*history.Event)

	// New creates a router's decider; nil means the decider of package balance.
	New func(balance.Config, uint64) (Decider, error)
}

// Decider is a router's decision module.
type Decider interface {
	Step(now time.Duration, events []balance.Event) []balance.Action
}

// Group is a set of Count identical hosts.
type Group struct {
	Count int
	Kind  string
	Zone  string
	Host  hostmodel.Config
}

// Class is a class of requests with its load.
type Class struct {
	Class balance.Class

	Rate       float64       // requests in a second, over all sessions
	Turns      float64       // mean number of turns of a session
	Think      time.Duration // mean time between an answer at the target latencies and the next turn
	New        Length        // tokens that a turn adds to the session's context
	Out        Length        // tokens of an answer
	MaxOut     int           // answer limit that clients ask for; no answer is longer
	MaxContext int           // a session ends before its context is longer
	Prefixes   int           // number of prompt prefixes that sessions share; 0 for none
	Zipf       float64       // exponent of the Zipf distribution of the prefixes
	PrefixLen  Length
	Patience   float64 // fraction of a request's time limit that a client waits for one attempt; 0 counts as 1
}

// Length is a log-normal distribution of lengths in tokens.
type Length struct {
	Median float64
	Sigma  float64 // standard deviation of the logarithm
}

// Network configures the one-way delays of messages and the timeouts of connections.
type Network struct {
	Same, Cross       time.Duration // delay within a zone, and between two zones
	Jitter            float64       // each message takes longer by up to this fraction
	Connect           time.Duration // timeout for establishing a connection
	Idle              time.Duration // timeout after which an idle connection is closed
	StreamIdleTimeout time.Duration // time without a message after which a router ends a stream; 0 for never
}

// List configures the delay of list updates on their way to routers.
type List struct {
	Delay, Spread time.Duration // least delay, and the most that is added at random
}

// Front spreads clients over routers.
type Front struct {
	Notice time.Duration // time until the front notices the death of a router
	Uneven float64       // standard deviation of the logarithm of the routers' traffic; 0 for equal traffic; with 0.5 the most loaded router gets 2.7 times the median
}

// Retries configures the clients' retries after a refusal or a failure.
type Retries struct {
	Max   int           // retries of one request at most
	After time.Duration // the wait before a retry is drawn from After to twice After
	Heed  bool          // clients wait at least for the Retry-After of the answer
}

// Peers configures the messages between routers.
type Peers struct {
	On          bool
	Least, Most time.Duration // range of the delay
	Lost        float64       // fraction of the messages that are lost
}

// maxUneven is the upper limit of Front.Uneven. maxDeviations limits how far the logarithm of a
// router's traffic is from the median, in multiples of Front.Uneven.
const (
	maxUneven     = 1.0
	maxDeviations = 2.0
)

// DisruptionKind is the kind of a Disruption.
type DisruptionKind string

// The kinds of disruptions.
const (
	SlowHosts   DisruptionKind = "slow"           // a Fraction of the hosts works Size times slower
	Burst       DisruptionKind = "burst"          // Size times as many sessions begin
	HeavyTail   DisruptionKind = "heavy_tail"     // a Fraction of new prompts is Size times as long
	RouterCrash DisruptionKind = "balancer_crash" // a Fraction of the routers dies and restarts after Length
	HostsDie    DisruptionKind = "hosts_die"      // a Fraction of the hosts dies and restarts cold after Length
	Replace     DisruptionKind = "replace"        // a Fraction of the hosts is removed; after Length, new cold hosts replace them
	Release     DisruptionKind = "release"        // all hosts are drained and restarted, a Fraction at a time, within Length
	LostZone    DisruptionKind = "lost_zone"      // the hosts of Zone are isolated from the network
	ListLost    DisruptionKind = "list_lost"      // routers get no list updates
)

// Disruption is a change of load, or a failure of hosts, routers or the list, that lasts for Length.
type Disruption struct {
	Kind     DisruptionKind
	At       time.Duration
	Length   time.Duration
	Fraction float64
	Size     float64
	Zone     string
}
