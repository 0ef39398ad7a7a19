package balance

import (
	"fmt"
	"time"

	"reachspread/internal/retrybudget"
)

// Config is the configuration of a router's decisions. Times and sizes must not be negative.
type Config struct {
	// Zone is the zone of this router.
	Zone string
	// Classes are the classes of requests, at least one. Requests of other classes are rejected.
	Classes []Class

	// MustSubscribe says that discovery sends updates only after a Subscribe action.
	MustSubscribe bool
	// MayProbe allows Probe actions. A router that is alone probes replicas whose last load report
	// is older than a second, which costs a request up to 25 ms and gives a better choice.
	MayProbe bool
	// MaxAttempts bounds the attempts of a request, the first included. 0 counts as 1.
	MaxAttempts int

	// SlowStartMinCapacity is the fraction of its capacity that a replica has at its start, from 0
	// to 1. It rises evenly to 1 over SlowStartWindow.
	SlowStartMinCapacity float64
	// SlowStartWindow is how long a replica is in slow start after its start, 0 for no slow start.
	SlowStartWindow time.Duration
	// OverloadFactor is the multiple of its capacity which, sent to a replica in slow start for
	// OverloadWindow, makes it fail. A higher one lets replicas warm up sooner.
	OverloadFactor float64
	// OverloadWindow is the time over which OverloadFactor counts.
	OverloadWindow time.Duration

	// StepInterval is the least time between two calls of Step; timers are not set below it or 1
	// ms.
	StepInterval time.Duration
	// CrossZonePenalty is the fraction of the value lost if every request crosses zones once. A
	// higher one keeps requests in their zone at the price of longer waits.
	CrossZonePenalty float64
	// MaxRetryAfter bounds how long a rejection may tell a client to stay away, 0 for no advice.
	MaxRetryAfter time.Duration
	// SingleAffinityHost keeps each prefix on one replica, the same for all routers, as far as that
	// has capacity: more cache hits, and less even load.
	SingleAffinityHost bool

	// RetryBudget is the budget that retries spend from once an attempt was delivered; nil for no
	// bound.
	RetryBudget *retrybudget.Budget

	// Routers is how many routers there are, this one included, if they may send reports to each
	// other by number; 0 if not. Below 8 it counts as 0.
	Routers int
	// Self is this router's number among them, from 0.
	Self int
	// Broadcast says that this router's reports reach all others without numbers, and theirs reach
	// it.
	Broadcast bool
}

// Class is a class of requests.
type Class struct {
	Name string

	// Effect says what a duplicate of a request does, and so where it may be retried.
	Effect Effect
	// DedupScope names, for Keyed, the replicas that discard duplicates.
	DedupScope Scope
	// DedupWindow is, for Keyed, how long they do so from the first attempt that may have executed.
	DedupWindow time.Duration

	// LatencyTarget is the target for the time to the first token if Streamed, else to the end of
	// the answer. A request answered within it has its full value. 0 counts as one of a second
	// where the targets of classes are compared.
	LatencyTarget time.Duration
	// LatencyTargetPer1000Tokens is added to LatencyTarget for each 1,000 tokens of the prompt.
	LatencyTargetPer1000Tokens time.Duration
	// LatencyTargetWorkFactor adds this multiple of a request's own work to LatencyTarget.
	LatencyTargetWorkFactor float64
	// TokenLatencyTarget is the target for the mean time between tokens, 0 for none. Nothing is
	// decided by it.
	TokenLatencyTarget time.Duration
	// Deadline is how long a client waits, over all of its requests for the same thing.
	Deadline time.Duration
	// Value is the value of a request against those of other classes.
	Value float64
	// LateValueFraction is the fraction of the value that an answer between LatencyTarget and
	// Deadline keeps. Requests of a class with 0 are rejected rather than answered late.
	LateValueFraction float64
	// Streamed says that the client gets the answer token by token.
	Streamed bool

	// MaxExecutions bounds the attempts of a request that may have executed, 0 for no bound.
	MaxExecutions int
}

// Effect says what a duplicate of a request does.
type Effect int

// The effects.
const (
	Safe   Effect = iota // a duplicate does no harm: the request is idempotent
	Keyed                // a duplicate is discarded within a scope and a time
	Unsafe               // a duplicate takes effect a second time
)

// Scope names the replicas that discard duplicates of one keyed request.
type Scope int

// The scopes.
const (
	ScopeAll  Scope = iota // all replicas
	ScopeZone              // those of the first replica's zone
	ScopeCell              // those of the first replica's cell
)

// latencyTargetFor returns the latency target for a prompt of so many tokens.
func (c *Class) latencyTargetFor(promptTokens float64) time.Duration {
	return c.LatencyTarget + time.Duration(float64(c.LatencyTargetPer1000Tokens)*promptTokens/1000)
}

// validate returns what is wrong with a configuration, with the name of the field at fault.
func (c *Config) validate() error {
	if len(c.Classes) == 0 {
		return fmt.Errorf("Classes is empty; list at least one class")
	}
	if min(c.SlowStartWindow, c.OverloadWindow, c.StepInterval, c.MaxRetryAfter) < 0 {
		return fmt.Errorf("SlowStartWindow, OverloadWindow, StepInterval or MaxRetryAfter is negative; they must be 0 or more")
	}
	names := map[string]bool{}
	for i, class := range c.Classes {
		if names[class.Name] {
			return fmt.Errorf("Classes[%d].Name is %q a second time; names must differ", i, class.Name)
		}
		names[class.Name] = true
		if class.Effect < Safe || class.Effect > Unsafe {
			return fmt.Errorf("Classes[%d].Effect is %d; it must be Safe, Keyed or Unsafe", i, class.Effect)
		}
		if min(class.LatencyTarget, class.LatencyTargetPer1000Tokens, class.TokenLatencyTarget, class.Deadline, class.DedupWindow) < 0 {
			return fmt.Errorf("the times of Classes[%d] must be 0 or more", i)
		}
	}
	return nil
}
