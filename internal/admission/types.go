// Package admission decides who gets in: which connection is accepted, which waits in the lobby until its first request,
// which one makes room for another, which request is refused at once and with what word, and how long anyone may be
// slow. It keeps the ledger of descriptors.
//
// This file is the interface; controller.go has the decisions, find.go those on a new connection, and table.go the table of
// addresses. A Controller is a state machine without I/O, clock or goroutine. Its host calls Step with the time and one event
// and carries out the actions before the next call; the slice that it gets is used again. The host owes it one caller at
// a time, a clock that never goes back, and one Closed for each connection that was admitted. It may expect that the
// limits are never passed, that the reserve is never used by the unknown, that no connection with an open request is
// shut for another's sake, and that a request that was asked, or seen as its connection opened, gets one Serve or one
// Refuse. Its memory is bounded for any sequence of addresses, and an address that it knows costs no allocation. It
// imports nothing of ours.
package admission

import (
	"net/netip"
	"time"
)

// Cap bounds what one holder (an address, a net or an identity) may have. A field that is 0 is no bound.
type Cap struct {
	Conns     int     // connections
	Open      int     // open requests
	PerSecond float64 // new connections; as many may come at once
}

// Config is the settings of a Controller. Its zero value, but for Places, accepts as many as there is room for.
type Config struct {
	Places  int // client connections that may be served
	Reserve int // of these, for known clients alone
	Step    int // connections beyond Places, which are read and refused

	Address  Cap // of one that is not known: an IPv4 address, or an IPv6 /64
	Net      Cap // of all unknown ones of an IPv4 /24 or an IPv6 /48
	Known    Cap // of an address of known clients
	Identity Cap

	Lengths Lengths // of what counts as one address and as one net

	Ranges     []netip.Prefix  // whose clients are known without a word
	Identities map[string]bool // that are known; nil for none

	Addresses int              // that are remembered without a connection, known and unknown each
	Patience  [3]time.Duration // with a silent connection of an unknown client, by level; 0 for no bound of admission's
	Sending   [3]time.Duration // with a request that an unknown client has begun, by level; 0 for no bound of admission's
	Reading   [3]time.Duration // a client may take for what one write sent, by level; the host sees to it; 0 for no bound
	Fair      bool             // whoever holds the most makes room; otherwise whoever was silent for longest
	Last      bool             // at Critical, an unknown client's answer ends its connection
	Away      time.Duration    // the least time that a refusal tells; up to twice that, spread
}

// Lengths are those of the prefixes that count as one address and as one net. A field that is 0 is the usual one: an
// IPv4 address and /24, an IPv6 /64 and /48. A net's must be shorter than an address's.
type Lengths struct{ Address4, Net4, Address6, Net6 int }

// Level is how short places are.
type Level int

// The levels. Each begins at a share of the places in use, and ends at a lower one; see levels.
const (
	Calm Level = iota
	Tight
	Critical
)

// String returns the level's name.
func (l Level) String() string { return [...]string{"calm", "tight", "critical"}[l] }

// levels has where each level begins and ends, in shares of the places.
var levels = [3]struct{ from, to float64 }{Tight: {0.75, 0.6}, Critical: {0.95, 0.85}}

// Cause says why someone was refused, turned away or shut.
type Cause int

// The causes.
const (
	NoCause   Cause = iota
	OverRate        // new connections in a second
	OverConns       // connections of one holder
	OverOpen        // open requests of one holder
	FullHouse       // all places taken
	MadeRoom        // for another client
	TooSlow         // longer silent than the level's patience
	Exhausted       // the process had no descriptor left
	Left            // ended by the client before it was accepted
	SentAway        // the router sends clients away
	causes
)

// String returns the cause in words.
func (c Cause) String() string {
	return [...]string{"none", "rate", "connections", "open requests", "full house", "made room", "too slow", "no descriptor", "left at once", "sent away"}[c]
}

// EventKind tells what an Event is.
type EventKind int

// The kinds of events, with the fields that they need.
const (
	Opened EventKind = iota // Addr: a connection was accepted from it; Said, Whole, Identity, Left: what is seen of it by then
	Began                   // Conn: the first byte of its next request came
	Asked                   // Conn, Identity (empty for none): a request was read whole
	Done                    // Conn: its request has its final answer
	Closed                  // Conn: it is closed, by whomever
	Lent                    // N: places that others' descriptors leave to known clients
	Short                   // the process had no descriptor left
	Passed                  // time did
	Retune                  // Config: new settings; who is over a lower bound stays, unless silent
	Empty                   // Silent: whoever has been silent for so long is to go, as the router sends clients away
)

// Event is something that happened.
type Event struct {
	Kind     EventKind
	Conn     int32
	N        int
	Addr     netip.Addr
	Identity string
	Said     bool // the whole head of its first request is there; its identity is Identity
	Whole    bool // and the rest of the request, too: one Asked or Closed is due without anybody's doing
	Left     bool // its client has ended it without a word
	Config   *Config
	Silent   time.Duration
}

// Nobody is the name of a connection that was not admitted.
const Nobody int32 = -1

// ActionKind tells what an Action is.
type ActionKind int

// The kinds of actions.
const (
	Admit  ActionKind = iota // the connection just opened gets the name Conn
	Turn                     // close the connection just opened, before a byte is read
	Hold                     // nobody can be asked to make room yet: open it again in a moment
	Shut                     // close Conn: it is silent, and another needs its place
	Hurry                    // Conn has been silent for too long: it has the time until now to say something
	Serve                    // the request just asked; with Last its answer ends the connection
	Refuse                   // answer the request just asked, or seen as its connection opened, with Code, at once, and close
)

// Action is something for the host to do.
type Action struct {
	Kind  ActionKind
	Conn  int32
	Cause Cause
	Code  int           // 429 for a client over its own cap, 503 for a full house
	Away  time.Duration // not to come back before
	Last  bool
}

// Counts is what a Controller has done so far, and its state.
type Counts struct {
	Level                             Level
	Places, Reserve, Lent             int
	Known, Unknown, Lobby, Step, Open int // connections; Lobby is of Unknown, Open has an open request
	Admitted, Promoted, Served        uint64
	Refused, Turned, Shut             [causes]uint64
	Shorts                            uint64 // episodes without a descriptor
	Addresses                         int    // in the table
}

// Holding is how much a holder has.
type Holding struct {
	Name        string
	Conns, Open int
	Known       bool
}
