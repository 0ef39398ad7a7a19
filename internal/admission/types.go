// Package admission decides which client connections and requests are admitted: which connections
// are accepted, which idle connection is evicted to free capacity for a new one, which requests are
// rejected and with what Retry-After, and how long a client may be idle or slow. The package also
// defines the table of the process's file descriptors.
//
// types.go defines the interface, controller.go the decisions on open connections, newconn.go the
// decisions on new connections, and clienttable.go the table of clients.
//
// A Controller is a state machine without I/O, clock or goroutines. The caller passes one event to
// Step and carries out the returned actions before it calls Step again, because the next call
// reuses the slice of actions. The caller must make one call at a time, pass a time that never
// decreases, and report one Closed event for each admitted connection. The Controller guarantees:
//
//   - No limit is ever exceeded, and only known clients use the connections reserved for them.
//   - No connection with an open request is closed to serve another client.
//   - Each request that was read, or was complete when its connection opened, gets exactly one Serve
//     or one Reject.
//   - Memory is bounded for any sequence of addresses, and a known address that is in the table
//     costs no allocation.
//
// Package admission imports no other package of the module.
package admission

import (
	"net/netip"
	"time"
)

// ClientLimit bounds what one client may use. A client is an address, a network or an identity. A
// field that is 0 sets no bound.
type ClientLimit struct {
	Connections          int
	OpenRequests         int
	ConnectionsPerSecond float64 // rate of new connections, and the largest burst of them
}

// Config is the configuration of a Controller. With all fields but MaxConnections zero, a
// Controller admits up to MaxConnections connections from any clients.
type Config struct {
	// MaxConnections is the maximum number of client connections that are served.
	MaxConnections int
	// ReservedForKnown is the number of these connections that only known clients may use.
	ReservedForKnown int
	// MaxOverflow is the maximum number of connections beyond MaxConnections. The router keeps an
	// overflow connection open only to read its first request, which it serves if the identity is
	// known and rejects otherwise.
	MaxOverflow int

	// PerAddress bounds each address without known clients, PerNetwork the unknown clients of each
	// network, PerKnownAddress each address with known clients, and PerIdentity each known identity.
	PerAddress      ClientLimit
	PerNetwork      ClientLimit
	PerKnownAddress ClientLimit
	PerIdentity     ClientLimit
	// Prefixes defines which IP addresses count as one address and as one network.
	Prefixes PrefixLengths

	// KnownRanges are the address ranges whose clients count as known before they send a request.
	KnownRanges []netip.Prefix
	// KnownIdentities is the set of the identities of known clients; nil is the empty set.
	KnownIdentities map[string]bool

	// RememberedAddresses is the maximum number of clients without a connection that the table
	// keeps, separately for known and for unknown clients. A client that the table has dropped
	// starts with a fresh rate limit, so a lower value saves memory but lets dropped clients connect
	// more often.
	RememberedAddresses int
	// IdleTimeout, RequestTimeout and WriteTimeout bound, for each level, how long an unknown client
	// may leave a connection idle, take to send a request that it has begun, and take to read the
	// data of one write. The caller enforces WriteTimeout. 0 sets no bound.
	IdleTimeout    [3]time.Duration
	RequestTimeout [3]time.Duration
	WriteTimeout   [3]time.Duration
	// EvictFromLargest selects which idle connection of an unknown client is evicted: one of the
	// client with the most idle connections if set, otherwise the connection that has been idle
	// for the longest time.
	EvictFromLargest bool
	// CloseAfterAnswer makes the router close an unknown client's connection after its answer while
	// the level is Critical.
	CloseAfterAnswer bool
	// MinRetryAfter is the minimum Retry-After of a rejection. The actual values are uniformly
	// distributed between MinRetryAfter and twice MinRetryAfter.
	MinRetryAfter time.Duration
}

// PrefixLengths are the lengths, in bits, of the IPv4 and IPv6 prefixes that count as one address
// and as one network. A field that is 0 has its default: for IPv4 one address (/32) and a /24
// network, for IPv6 a /64 address and a /48 network. A network's prefix must be shorter than an
// address's prefix.
type PrefixLengths struct{ Address4, Network4, Address6, Network6 int }

// Level says how scarce connections are.
type Level int

// The levels, in the order of rising scarcity. The variable levels has the fraction of connections
// in use at which each level begins and the lower fraction at which it ends.
const (
	Calm Level = iota
	Tight
	Critical
)

// String returns the level's name in lower case.
func (l Level) String() string { return [...]string{"calm", "tight", "critical"}[l] }

// levels has the thresholds of each level as fractions of MaxConnections: the level begins when the
// fraction in use reaches from, and ends when the fraction falls below to.
var levels = [3]struct{ from, to float64 }{Tight: {0.75, 0.6}, Critical: {0.95, 0.85}}

// Cause says why a connection or request was rejected, dropped or closed.
type Cause int

// The causes.
const (
	NoCause             Cause = iota
	RateExceeded              // the client opens new connections faster than its limit allows
	TooManyConnections        // the client has reached its limit of connections
	TooManyOpenRequests       // the client has reached its limit of open requests
	CapacityReached           // all connections are in use
	Evicted                   // closed while idle to free capacity for another client
	TimedOut                  // idle, or sending a request, for longer than the level allows
	NoDescriptor              // the process had no free file descriptor
	ClientLeft                // the client closed the connection before it was admitted
	RouterDraining            // idle when the router was draining
	causes
)

// String returns the cause as the status page shows it.
func (c Cause) String() string {
	return [...]string{"none", "rate", "connections", "open requests", "full house", "made room", "too slow", "no descriptor", "left at once", "sent away"}[c]
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events, with the fields that they need.
const (
	Opened             EventKind = iota // Addr; Identity, HeadComplete, RequestComplete and ClientLeft: a connection was accepted, with what was read on it so far
	RequestBegan                        // Conn, RequestComplete: the router received the first byte of the connection's next request, or its last byte
	RequestRead                         // Conn, Identity (empty for none): the router has read a request to its end
	RequestDone                         // Conn: the connection's request has its final answer
	Closed                              // Conn: the connection is closed, by either side
	CapacityLent                        // Lent: number of connections that known clients may use in addition, because mirrored requests do not use their descriptors
	DescriptorShortage                  // the process had no free file descriptor
	TimePassed                          // no event but the passing of time, which may expire connections
	ConfigChanged                       // Config: there is a new configuration; connections over a lowered limit stay unless they are idle
	CloseIdle                           // IdleTime: the router is draining and closes connections that have been idle for at least IdleTime
)

// Event is an input of Controller.Step. Kind says which of the other fields are used.
type Event struct {
	Kind            EventKind
	Conn            int32
	Lent            int
	Addr            netip.Addr
	Identity        string
	HeadComplete    bool // the head of the first request was read; Identity is the request's identity
	RequestComplete bool // the request was received to its end; one RequestRead, RequestDone or Closed event follows
	ClientLeft      bool // the client closed the connection without a request
	Config          *Config
	IdleTime        time.Duration
}

// The HTTP statuses of rejections.
const (
	tooManyRequests = 429 // the client is over its own limit
	unavailable     = 503 // no connection is free
)

// NoConnection is the Conn of an action for a connection that was not admitted and has no ID.
const NoConnection int32 = -1

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Admit      ActionKind = iota // admit the connection that just opened; its ID is Conn
	Drop                         // close the connection that just opened, without an answer
	RetryLater                   // no connection can be evicted yet: pass the event again after a short wait
	Evict                        // close the idle connection Conn at once to free capacity for another client
	Expire                       // Conn was idle, or sending a request, for too long: close it, unless a request has arrived in the meantime, which is served
	Serve                        // serve the request that was just read; if CloseAfterAnswer is set, close the connection after the answer
	Reject                       // answer with Code and close the connection; the request was just read, or was complete when its connection opened
)

// Action is an output of Controller.Step that the caller carries out.
type Action struct {
	Kind             ActionKind
	Conn             int32
	Cause            Cause
	Code             int           // 429 if the client is over its own limit, 503 if all connections are in use
	RetryAfter       time.Duration // minimum wait before the client should retry
	CloseAfterAnswer bool
}

// Counts has a Controller's counters since it was created, and its current state.
type Counts struct {
	Level                                           Level
	MaxConnections, ReservedForKnown, Lent          int
	Known, Unknown, AwaitingRequest, Overflow, Open int // numbers of connections; Unknown includes AwaitingRequest, and Open counts those with an open request
	Admitted, Promoted, Served                      uint64
	Rejected, Dropped, Closed                       [causes]uint64
	DescriptorShortages                             uint64 // at most one is counted per second
	Addresses                                       int    // number of addresses and networks in the table
}

// ClientUsage has the numbers of connections and open requests of one client. Its JSON form is part
// of the status.
type ClientUsage struct {
	Name        string
	Conns, Open int
	Known       bool
}
