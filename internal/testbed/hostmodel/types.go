// Package hostmodel is a model of a host that runs a language model: which requests it takes, how
// long its steps are, which prompts it keeps, when it turns work away, how it warms up and when it
// falls over. It serves two worlds, the lab's virtual time and stand-in hosts on sockets.
//
// This file is the interface; host.go has the steps, cache.go what is kept of prompts, and cold.go
// the start. A Host is a state machine without I/O, clock or goroutine: its owner calls Step with
// the time and one event, and again at Next. What comes back carries the time at which it happened,
// which may lie before the call, never after it. The same seed, settings and events always give the
// same results. The owner owes one caller at a time and a clock that never goes back. Its memory is
// bounded by slots, queue and kept tokens. It imports nothing of ours.
package hostmodel

import "time"

// Config is one kind of host. All lengths are in tokens.
type Config struct {
	Slots  int // requests that run at once
	Queue  int // that wait beyond them; more are turned away
	Memory int // tokens of running requests and kept prompts together
	Chunk  int // prompt tokens that a step reads at most
	Block  int // what is kept of a prompt is a multiple of this

	// A step takes Base + PerSeq for each running request + ContextPerK for each 1,000 tokens of
	// their contexts + what it reads at ReadPerS + PairsPerM for each million pairs of a token read
	// and a token before it.
	Base, PerSeq, ContextPerK, PairsPerM time.Duration
	ReadPerS                             float64

	KeepsMade bool // a complete answer is kept with its prompt

	SlowStart SlowStart

	Conns     int           // connections; 0 is no bound
	Handshake time.Duration // of work for each new one
	TableCost float64       // share of the capacity that a full table takes

	Probe     time.Duration // of work for each
	ProbesMax int           // in a second; 0 is no bound

	ReportEvery time.Duration // reports are refreshed so often; 0 is always
	ReportNoise float64       // relative standard deviation of each figure
}

// SlowStart is how a host starts. Its zero value is a host that is warm at once.
type SlowStart struct {
	Share    float64       // of the capacity at the start
	Time     time.Duration // until it is warm; with Work, the least
	Work     time.Duration // of steps until it is warm, as a warm host counts them; 0 if time alone warms it
	Factor   float64       // work sent beyond this multiple of the present capacity
	Window   time.Duration // within this time topples it; 0 for never
	PerToken time.Duration // of a prompt, as work sent is counted
	PerMade  time.Duration // the same of a token of its answer
	Mean     time.Duration // work of a mean request, by which calls are counted; 0 for no count
}

// Request is a prompt.
type Request struct {
	ID      string
	Session string // what goes before a session's prompt is its last prompt and answer; empty for none
	Prefix  string // names the beginning shared with other sessions; empty for none
	Prompt  int    // length
	Shared  int    // of it, the length of Prefix
	Made    int    // tokens of the answer that another host has made already
	Out     int    // true length of the answer, those among them
	MaxOut  int    // that was asked for
	Untold  bool   // who sent it had not been told of the host's last start
}

// Event is something that happens to a host: one of the types below.
type Event interface{ isEvent() }

// Arrive brings a request whole.
type Arrive struct{ Request Request }

// Cancel ends a request that nobody waits for.
type Cancel struct{ ID string }

// Connect opens a connection.
type Connect struct{}

// Disconnect closes one.
type Disconnect struct{}

// Probe asks for the load. A deep one waits like a request of one token.
type Probe struct {
	ID   string
	Deep bool
}

// Slow makes all steps take Factor times as long, from the next one on.
type Slow struct{ Factor float64 }

// Drain has the host finish what it has and take nothing new.
type Drain struct{}

// Die ends everything that it has.
type Die struct{}

// Start starts a host that died, empty and cold.
type Start struct{}

// Passed says that nothing but time has.
type Passed struct{}

func (Arrive) isEvent()     {}
func (Cancel) isEvent()     {}
func (Connect) isEvent()    {}
func (Disconnect) isEvent() {}
func (Probe) isEvent()      {}
func (Slow) isEvent()       {}
func (Drain) isEvent()      {}
func (Die) isEvent()        {}
func (Start) isEvent()      {}
func (Passed) isEvent()     {}

// ResultKind tells what a Result is.
type ResultKind int

// The kinds.
const (
	TurnedAway ResultKind = iota // ID never ran; Why
	Token                        // ID has one more; the first one has Kept
	LastToken                    // ID has its last one: follows its Token
	Broken                       // ID was in work when the host died or fell over
	Answered                     // probe ID: Load
	TableFull                    // the connection just asked for does not fit the table
	Fell                         // the host was pushed over while cold, and is dead; Broken of all it had follow
	Preempted                    // ID went back into the queue, as memory ran out; what it had is read again
)

// Why says why a request was turned away.
type Why int

// The reasons.
const (
	NoReason Why = iota
	QueueFull
	Draining
	Dead
	TooLong // for the memory, even alone
)

// Result is something that came of a host's work.
type Result struct {
	Kind         ResultKind
	At           time.Duration
	ID           string
	Why          Why
	CachedTokens int // prompt tokens found kept
	Load         Load
}

// Load is what a host reports of itself.
type Load struct {
	Running, Waiting int
	Util             float64 // share of the slots
	First            time.Duration
	Memory           float64 // share held by running requests
	Unread           float64 // thousands of prompt tokens
}

// Stats are counters and the present state, exact.
type Stats struct {
	Steps, Tokens, Read, Kept, Preempted, Evicted, TurnedAway uint64
	Running, Waiting, UsedTokens, RunningTokens, Conns        int // Held and Pinned in tokens: all, and those of running requests
	Busy                                                      time.Duration
	Capacity                                                  float64 // share of a warm, idle host's
	Alive                                                     bool
	SlowStartBudgetUsed                                       float64 // the most calls in a window while it was cold, by those who had been told, 1 for all that there may be
}
