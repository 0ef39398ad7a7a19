// Package hostmodel models a host that serves a language model: which requests it accepts, how long
// its steps take, which prompt prefixes it caches, when it rejects work, its slow start and when it
// fails from overload. The simulator runs it in virtual time, fake hosts on sockets.
//
// A Host is a state machine without I/O, clock or goroutine: its owner calls Step with the time and
// one event, and again at Next. A Result carries the time at which it happened, which may lie
// before the call, never after it. The same seed, configuration and events always give the same
// results. The owner makes one call at a time, with a clock that never goes back. The memory of a
// Host is bounded by its slots, its queue and the tokens that it caches.
package hostmodel

import "time"

// Config is one kind of host. All lengths are in tokens.
type Config struct {
	Slots  int // requests that run at once
	Queue  int // that wait beyond them; more are rejected
	Memory int // tokens of running requests and cached sequences together
	Chunk  int // prompt tokens that a step reads at most
	Block  int // the length of a cached sequence is a multiple of this

	// A step takes Base + PerSeq for each running request + ContextPerK for each 1,000 tokens of
	// their contexts + what it reads at ReadPerS + PairsPerM for each million pairs of a token read
	// and a token before it.
	Base, PerSeq, ContextPerK, PairsPerM time.Duration
	ReadPerS                             float64

	CachesAnswers bool // a complete answer is cached with its prompt

	SlowStart SlowStart

	MaxConnections int           // connections; 0 is no bound
	HandshakeWork  time.Duration // of work for each new one
	TableCost      float64       // fraction of the capacity that a full connection table costs

	ProbeWork          time.Duration // of work for each
	MaxProbesPerSecond int           // in a second; 0 is no bound

	ReportInterval time.Duration // after which a report is refreshed; 0 is always
	ReportNoise    float64       // relative standard deviation of each figure
}

// SlowStart is how a host starts. Its zero value is a host that is warm at once.
type SlowStart struct {
	InitialCapacity float64       // of the capacity at the start
	Duration        time.Duration // until it is warm, at least
	Work            time.Duration // of steps until it is warm, as a warm host counts them; 0 if only time counts
	MaxLoadFactor   float64       // work sent beyond this multiple of the present capacity
	Window          time.Duration // within this time makes it fail; 0 for never
	PerPromptToken  time.Duration // of a prompt, as work sent is counted
	PerAnswerToken  time.Duration // the same of a token of its answer
	MeanRequestWork time.Duration // of a mean request, by which calls are counted; 0 for no count
}

// Request is a request to a host. Its lengths are in tokens.
type Request struct {
	ID              string
	Session         string // what goes before a session's prompt is its last prompt and answer; empty for none
	Prefix          string // names the prefix shared with other sessions; empty for none
	PromptTokens    int    // length
	PrefixTokens    int    // of it, the length of Prefix
	TokensMade      int    // tokens of the answer that another host has made already
	AnswerTokens    int    // true length of the answer, those among them
	MaxAnswerTokens int    // that the client asked for
	StartUnknown    bool   // its sender did not know of the host's last start
}

// Event is something that happens to a host: one of the types below.
type Event interface{ isEvent() }

// Arrive brings a complete request.
type Arrive struct{ Request Request }

// Cancel ends a request whose client does not wait any more.
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

// Drain lets the host finish its requests and reject new ones.
type Drain struct{}

// Crash ends the process with all its requests.
type Crash struct{}

// Start starts the process of a host that crashed, with an empty cache and its slow start.
type Start struct{}

// TimePassed is no event but the passing of time.
type TimePassed struct{}

func (Arrive) isEvent()     {}
func (Cancel) isEvent()     {}
func (Connect) isEvent()    {}
func (Disconnect) isEvent() {}
func (Probe) isEvent()      {}
func (Slow) isEvent()       {}
func (Drain) isEvent()      {}
func (Crash) isEvent()      {}
func (Start) isEvent()      {}
func (TimePassed) isEvent() {}

// ResultKind is the kind of a Result.
type ResultKind int

// The kinds.
const (
	Rejected      ResultKind = iota // ID did not run; see Reason
	Token                           // ID has one more token; the first one has CachedTokens
	LastToken                       // ID is complete: follows its last Token
	Interrupted                     // ID ran or waited when the host crashed or failed
	ProbeAnswered                   // probe ID: Load
	TableFull                       // the connection of this Connect does not fit the table
	Overloaded                      // the host failed from overload in its slow start; an Interrupted for each request follows
	Preempted                       // ID went back into the queue for lack of memory; its prompt is prefilled again
)

// RejectReason says why a request was rejected.
type RejectReason int

// The reasons.
const (
	NoReason RejectReason = iota
	QueueFull
	Draining
	Dead
	TooLong // for the memory, even alone
)

// Result is an outcome of a host's work.
type Result struct {
	Kind         ResultKind
	At           time.Duration
	ID           string
	Reason       RejectReason
	CachedTokens int // prompt tokens found kept
	Load         Load
}

// Load is a host's report of its load.
type Load struct {
	Running, Waiting int
	Utilization      float64 // fraction of the slots
	FirstTokenTime   time.Duration
	Memory           float64 // fraction used by running requests
	PrefillThousands float64 // thousands of prompt tokens
}

// Stats are counters and the present state, exact.
type Stats struct {
	Steps, Tokens, PrefillTokens, CachedTokens, Preempted, Evicted, Rejected uint64
	Running, Waiting, UsedTokens, RunningTokens, Connections                 int // UsedTokens with the cache, RunningTokens without what nobody uses
	Busy                                                                     time.Duration
	Capacity                                                                 float64 // fraction of a warm, idle host's
	Alive                                                                    bool
	SlowStartBudgetUsed                                                      float64 // in its slow start: the most calls in a window, as a fraction of the budget
}
