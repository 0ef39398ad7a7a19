package balance

import (
	"fmt"
	"time"

	"reachspread/internal/retrybudget"
)

// Config configures the decisions of one router. Times and sizes must not be negative.
type Config struct {
	// Zone is the zone of this router.
	Zone string
	// Classes are the classes of requests. There must be at least one. Requests of other classes
	// are rejected.
	Classes []Class

	// MustSubscribe means that discovery sends updates only after a Subscribe action.
	MustSubscribe bool
	// MayProbe allows Probe actions. A router that exchanges no reports by number with other
	// routers then probes replicas whose last load report is at least a second old. Probes delay a
	// request by up to 25 ms and improve the choice of its replica.
	MayProbe bool
	// MaxAttempts is the most attempts that a request may have, including the first. 0 counts as 1.
	MaxAttempts int

	// SlowStartMinCapacity is the fraction of its full capacity, from 0 to 1, that a replica has
	// when it starts. The fraction rises linearly to 1 over SlowStartWindow.
	SlowStartMinCapacity float64
	// SlowStartWindow is how long a replica stays in slow start after it has started, 0 for no slow
	// start.
	SlowStartWindow time.Duration
	// OverloadFactor is the multiple of its current capacity that makes a replica in slow start
	// fail if it receives that much work for OverloadWindow. With a higher factor, replicas get
	// more work while they warm up.
	OverloadFactor float64
	// OverloadWindow is the time over which work is compared with OverloadFactor.
	OverloadWindow time.Duration

	// StepInterval is the shortest time between two calls of Step. Timers are set to at least this
	// time and at least 1 ms.
	StepInterval time.Duration
	// CrossZonePenalty is the fraction of the total value of requests that is lost if every request
	// crosses zones once. A higher penalty keeps more requests in their zone but makes them wait
	// longer.
	CrossZonePenalty float64
	// MaxRetryAfter is the longest time for which a rejection may tell a client to wait before it
	// retries, 0 for no advice.
	MaxRetryAfter time.Duration
	// SingleAffinityHost sends the requests of each prefix to one replica, the same for all
	// routers, as long as that replica has capacity. This gives more cache hits but spreads load
	// less evenly.
	SingleAffinityHost bool

	// RetryBudget limits the retries of requests of which an attempt was delivered to a replica.
	// nil means no limit.
	RetryBudget *retrybudget.Budget

	// Routers is the number of routers, including this one, if they can send reports to each other
	// by number, else 0. Values below 8 count as 0.
	Routers int
	// Self is the number of this router among Routers, from 0.
	Self int
	// Broadcast means that the reports of this router reach all others, and theirs reach this
	// router, without router numbers.
	Broadcast bool
}

// Class is a class of requests.
type Class struct {
	Name string

	// Effect is the effect of a duplicate of a request. It decides where a request may be retried.
	Effect Effect
	// DedupScope is the set of replicas that discard duplicates of a Keyed request.
	DedupScope Scope
	// DedupWindow is how long replicas discard duplicates of a Keyed request, counted from the
	// first attempt that may have executed.
	DedupWindow time.Duration

	// LatencyTarget is the target for the time to the first token if Streamed is set, else for the
	// time to the end of the answer. An answer within it earns the full Value. Where the targets of
	// classes are compared, 0 counts as one second.
	LatencyTarget time.Duration
	// LatencyTargetPer1000Tokens is added to LatencyTarget for each 1,000 tokens of the prompt.
	LatencyTargetPer1000Tokens time.Duration
	// LatencyTargetWorkFactor is multiplied by the request's own work estimate and added to
	// LatencyTarget.
	LatencyTargetWorkFactor float64
	// TokenLatencyTarget is the target for the mean time between tokens, 0 for none. No decision
	// depends on it.
	TokenLatencyTarget time.Duration
	// Deadline is how long a client waits for an answer, including the time of the requests that it
	// sends again.
	Deadline time.Duration
	// Value is the value of an answered request, relative to requests of other classes.
	Value float64
	// LateValueFraction is the fraction of Value that an answer between LatencyTarget and Deadline
	// earns. If it is 0, requests of the class are rejected rather than answered late.
	LateValueFraction float64
	// Streamed means that the client receives the answer token by token.
	Streamed bool

	// MaxExecutions is the most attempts of a request that may have executed, 0 for no limit.
	MaxExecutions int
}

// Effect is the effect of a duplicate of a request.
type Effect int

// The effects.
const (
	Safe   Effect = iota // a duplicate does no harm: the request is idempotent
	Keyed                // replicas discard a duplicate within DedupScope and DedupWindow
	Unsafe               // a duplicate takes effect a second time
)

// Scope is the set of replicas that discard duplicates of one Keyed request.
type Scope int

// The scopes.
const (
	ScopeAll  Scope = iota // all replicas
	ScopeZone              // replicas in the zone of the first attempt that may have executed
	ScopeCell              // replicas in the cell of the first attempt that may have executed
)

// latencyTargetFor returns the latency target for a prompt with a number of tokens.
func (c *Class) latencyTargetFor(promptTokens float64) time.Duration {
	return c.LatencyTarget + time.Duration(float64(c.LatencyTargetPer1000Tokens)*promptTokens/1000)
}

// validate returns an error that names the first invalid field, or nil.
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
