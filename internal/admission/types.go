// Package admission decides which client connections and requests are admitted: which connection is
// accepted, which one is evicted for another, which request is rejected and with what advice, and
// how long a client may be slow. It also has the table of the process's descriptors.
//
// types.go is the interface; controller.go has the decisions on connections, newconn.go those on a
// new connection, clienttable.go the table of clients. A Controller is a state machine without I/O,
// clock or goroutine. Its caller passes one event to Step and carries out the actions before the
// next call, which reuses their slice. The caller owes it one call at a time, a clock that never
// goes back, and one Closed for each connection that was admitted. It may expect that
//
//   - no limit is ever exceeded, and the reserve for known clients is used by no other;
//   - no connection with an open request is closed for another client;
//   - each request that was read, or was complete as its connection opened, gets one Serve or one Reject;
//   - its memory is bounded for any sequence of addresses, and a known address costs no allocation.
//
// It imports no other package of the module.
package admission

import (
	"net/netip"
	"time"
)

// ClientLimit bounds what one client may have: an address, a network or an identity. A field that
// is 0 is no bound.
type ClientLimit struct {
	Connections          int
	OpenRequests         int
	ConnectionsPerSecond float64 // new ones; as many may come at once
}

// Config is the configuration of a Controller. Its zero value, except for MaxConnections, admits as
// many connections as that.
type Config struct {
	// MaxConnections is how many client connections may be served.
	MaxConnections int
	// ReservedForKnown is how many of these only known clients may use.
	ReservedForKnown int
	// MaxOverflow is how many connections beyond MaxConnections may be open only to have their
	// first request read and rejected, or served if its identity is known.
	MaxOverflow int

	// PerAddress bounds an address that is not known, PerNetwork all unknown ones of one network,
	// PerKnownAddress an address of known clients, PerIdentity a known identity.
	PerAddress      ClientLimit
	PerNetwork      ClientLimit
	PerKnownAddress ClientLimit
	PerIdentity     ClientLimit
	// Prefixes says what counts as one address and as one network.
	Prefixes PrefixLengths

	// KnownRanges are the addresses whose clients are known without a request.
	KnownRanges []netip.Prefix
	// KnownIdentities are the known clients, nil for none.
	KnownIdentities map[string]bool

	// RememberedAddresses is how many addresses without a connection are remembered, known and
	// unknown ones each. Fewer need less memory, and let clients that were forgotten come more
	// often.
	RememberedAddresses int
	// IdleTimeout, RequestTimeout and WriteTimeout bound, by level, how long an unknown client may
	// have an idle connection, take for a request that has begun, and take to read what one write
	// sent. The caller enforces the last one. 0 is no bound.
	IdleTimeout    [3]time.Duration
	RequestTimeout [3]time.Duration
	WriteTimeout   [3]time.Duration
	// EvictFromLargest evicts an idle connection of the client that has the most of them; otherwise
	// the one that is idle for longest is evicted.
	EvictFromLargest bool
	// CloseAfterAnswer ends an unknown client's connection with its answer at Critical.
	CloseAfterAnswer bool
	// MinRetryAfter is the least advice of a rejection. It is spread evenly up to twice that.
	MinRetryAfter time.Duration
}

// PrefixLengths are the lengths, in bits, of the prefixes that count as one address and as one
// network. A field that is 0 has its default: an IPv4 address and /24, an IPv6 /64 and /48. A
// network's must be shorter than an address's.
type PrefixLengths struct{ Address4, Network4, Address6, Network6 int }

// Level says how scarce connections are.
type Level int

// The levels. Each begins at a fraction of the connections in use, and ends at a lower one; see
// levels.
const (
	Calm Level = iota
	Tight
	Critical
)

// String returns the level's name.
func (l Level) String() string { return [...]string{"calm", "tight", "critical"}[l] }

// levels has where each level begins and ends, as fractions of MaxConnections.
var levels = [3]struct{ from, to float64 }{Tight: {0.75, 0.6}, Critical: {0.95, 0.85}}

// Cause says why a connection or request was rejected, dropped or closed.
type Cause int

// The causes.
const (
	NoCause             Cause = iota
	RateExceeded              // too many new connections in a second
	TooManyConnections        // of one client
	TooManyOpenRequests       // of one client
	CapacityReached           // all connections are in use
	Evicted                   // for another client
	TimedOut                  // idle, or sending a request, for longer than the level allows
	NoDescriptor              // the process had no descriptor left
	ClientLeft                // before it was accepted
	RouterDraining            // idle connections are closed
	causes
)

// String returns the cause in the words of the status page.
func (c Cause) String() string {
	return [...]string{"none", "rate", "connections", "open requests", "full house", "made room", "too slow", "no descriptor", "left at once", "sent away"}[c]
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events, with the fields that they need.
const (
	Opened             EventKind = iota // Addr: a connection was accepted; HeadComplete to ClientLeft: what was read by then
	RequestBegan                        // Conn, RequestComplete: the first byte of its next request came, or the last one
	RequestRead                         // Conn, Identity (empty for none): a request was read to its end
	RequestDone                         // Conn: its request has its final answer
	Closed                              // Conn: it is closed, by either side
	CapacityLent                        // Lent: connections that others' descriptors leave to known clients
	DescriptorShortage                  // the process had no descriptor left
	TimePassed                          // time has passed
	ConfigChanged                       // Config: a new configuration; connections over a lower limit stay unless they are idle
	CloseIdle                           // IdleTime: connections that are idle for so long are to be closed, as the router is draining
)

// Event is something that happened.
type Event struct {
	Kind            EventKind
	Conn            int32
	Lent            int
	Addr            netip.Addr
	Identity        string
	HeadComplete    bool // the head of its first request has come; its identity is Identity
	RequestComplete bool // the request has come to its end: one RequestRead, RequestDone or Closed follows
	ClientLeft      bool // its client has ended it without a request
	Config          *Config
	IdleTime        time.Duration
}

// The statuses of rejections: of a client over its own limit, and for want of a connection.
const (
	tooManyRequests = 429
	unavailable     = 503
)

// NoConnection is the ID of a connection that was not admitted.
const NoConnection int32 = -1

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of actions.
const (
	Admit      ActionKind = iota // the connection just opened gets the ID Conn
	Drop                         // close the connection just opened without an answer
	RetryLater                   // none can be evicted yet: pass the event again in a moment
	Evict                        // close Conn: it is idle, and another client needs its place
	Expire                       // Conn was idle for too long: a request that has come by now is served, else it is closed
	Serve                        // the request just read; with CloseAfterAnswer its answer ends the connection
	Reject                       // answer the request just read, or complete as its connection opened, with Code, and close
)

// Action is something for the caller to do.
type Action struct {
	Kind             ActionKind
	Conn             int32
	Cause            Cause
	Code             int           // 429 for a client over its own limit, 503 for all connections in use
	RetryAfter       time.Duration // the client should not come back before
	CloseAfterAnswer bool
}

// Counts is what a Controller has done so far, and its state.
type Counts struct {
	Level                                           Level
	MaxConnections, ReservedForKnown, Lent          int
	Known, Unknown, AwaitingRequest, Overflow, Open int // connections; AwaitingRequest is of Unknown, Open has an open request
	Admitted, Promoted, Served                      uint64
	Rejected, Dropped, Closed                       [causes]uint64
	DescriptorShortages                             uint64 // counted once in a second
	Addresses                                       int    // and networks in the table
}

// ClientUsage is how much a client has. Its JSON form is part of the status.
type ClientUsage struct {
	Name        string
	Conns, Open int
	Known       bool
}
