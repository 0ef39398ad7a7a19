// Package hostmodel models a host that serves a language model: which requests it accepts, how long
// its steps take, which prompt prefixes it caches, when it rejects work, its slow start and when it
// fails from overload. The simulator runs the model in virtual time; fake hosts run it on sockets.
//
// A Host is a state machine without I/O, clock or goroutine. Its owner calls Step with the time and
// one event, and calls Step again at the time that Next returns. A Result carries the time at which
// it happened. That time may be before the call of Step, but never after it. The same seed,
// configuration and events always give the same results. The owner must not make concurrent calls,
// and the time of a call must not be before that of the previous call. The memory of a Host is
// bounded by its slots, its queue and the tokens that it caches.
package hostmodel

import "time"

// Config describes one kind of host. All lengths are in tokens.
type Config struct {
	Slots  int // number of requests that run at once
	Queue  int // number of requests that may wait; further ones are rejected
	Memory int // tokens of running requests and cached sequences together
	Chunk  int // most prompt tokens that a step prefills
	Block  int // the length of a cached sequence is a multiple of this

	// A step takes Base, plus PerSeq for each running request, plus ContextPerK for each 1,000 tokens
	// of their contexts, plus the time to prefill the step's prompt tokens at ReadPerS tokens a
	// second, plus PairsPerM for each million pairs of a prefilled token and a token before it.
	Base, PerSeq, ContextPerK, PairsPerM time.Duration
	ReadPerS                             float64

	CachesAnswers bool // complete answers are cached with their prompts

	SlowStart SlowStart

	MaxConnections int           // size of the connection table; 0 for no limit
	HandshakeWork  time.Duration // work for each new connection
	TableCost      float64       // fraction of the capacity that a full connection table costs

	ProbeWork          time.Duration // work for each probe
	MaxProbesPerSecond int           // 0 for no limit

	ReportInterval time.Duration // interval at which the load report is refreshed; 0 to make it anew for each call
	ReportNoise    float64       // relative standard deviation of each noisy figure of a report
}

// SlowStart describes how a host warms up after a start. With the zero value it is warm at once.
type SlowStart struct {
	InitialCapacity float64       // capacity at the start, as a fraction of the capacity when warm
	Duration        time.Duration // least time until the host is warm
	Work            time.Duration // work of steps until the host is warm, as the time that a warm host takes for it; 0 if only time counts
	MaxLoadFactor   float64       // a cold host fails if the work sent within Window exceeds this multiple of what it can do in Window; 0 for never
	Window          time.Duration // 0 if the host never fails from overload
	PerPromptToken  time.Duration // work that a prompt token counts for when a request is sent
	PerAnswerToken  time.Duration // work that an answer token counts for when a request is sent
	MeanRequestWork time.Duration // work of a mean request, which gives the budget of calls; 0 if calls are not counted
}

// Request is a request to a host. Its lengths are in tokens.
type Request struct {
	ID              string
	Session         string // a session's prompt begins with its previous prompt and answer; empty for none
	Prefix          string // name of the prefix shared with other sessions; empty for none
	PromptTokens    int    // length of the prompt, with its prefix
	PrefixTokens    int    // length of the prefix
	TokensMade      int    // tokens of the answer that another host has made already
	AnswerTokens    int    // true length of the answer, including TokensMade
	MaxAnswerTokens int    // answer limit that the client asked for
	StartUnknown    bool   // the sender did not know of the host's last start
}

// Event is something that happens to a host: one of the types below.
type Event interface{ isEvent() }

// Arrive is the arrival of a complete request.
type Arrive struct{ Request Request }

// Cancel ends a request whose client has given up.
type Cancel struct{ ID string }

// Connect opens a connection.
type Connect struct{}

// Disconnect closes a connection.
type Disconnect struct{}

// Probe asks for the host's load. A deep probe waits in the queue and runs like a request with a
// prompt and an answer of one token each; other probes are answered at once.
type Probe struct {
	ID   string
	Deep bool
}

// Slow makes all steps take Factor times as long as on a host of normal speed, from the next step on.
type Slow struct{ Factor float64 }

// Drain lets the host finish its requests and reject new ones.
type Drain struct{}

// Crash ends the process with all its requests.
type Crash struct{}

// Start starts the process of a host that crashed, with an empty cache and its slow start.
type Start struct{}

// TimePassed means that only time has passed and nothing else has happened.
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

// The kinds of results. ID is Result.ID.
const (
	Rejected      ResultKind = iota // ID did not run; see Reason
	Token                           // ID has one more token; CachedTokens is set
	LastToken                       // ID is complete; this follows its last Token
	Interrupted                     // ID was running or waiting when the host crashed or failed
	ProbeAnswered                   // probe ID has its answer in Load
	TableFull                       // Connect failed because the connection table is full or the host is dead
	Overloaded                      // the host failed from overload in its slow start; an Interrupted for each open request follows
	Preempted                       // ID was put back into the queue for lack of memory; its prompt is prefilled again
)

// RejectReason says why a request was rejected.
type RejectReason int

// The reasons why a host rejects a request.
const (
	NoReason RejectReason = iota
	QueueFull
	Draining
	Dead
	TooLong // the request does not fit the memory even if it is the only one
)

// Result is an outcome of a host's work.
type Result struct {
	Kind         ResultKind
	At           time.Duration
	ID           string
	Reason       RejectReason
	CachedTokens int // prompt tokens found in the cache
	Load         Load
}

// Load is a host's report of its load.
type Load struct {
	Running, Waiting int
	Utilization      float64 // fraction of the slots
	FirstTokenTime   time.Duration
	Memory           float64 // fraction used by running requests
	PrefillThousands float64 // tokens yet to prefill, in thousands
}

// Stats holds counters and the exact present state of a host.
type Stats struct {
	Steps, Tokens, PrefillTokens, CachedTokens, Preempted, Evicted, Rejected uint64
	Running, Waiting, UsedTokens, RunningTokens, Connections                 int // UsedTokens includes the whole cache, RunningTokens only the cached sequences in use
	Busy                                                                     time.Duration
	Capacity                                                                 float64 // as a fraction of the capacity of a warm, idle host
	Alive                                                                    bool
	SlowStartBudgetUsed                                                      float64 // the most calls in a window of a slow start, as a fraction of the budget
}
