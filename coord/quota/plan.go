package quota

import "time"

// Limit is the rate limit of one key.
type Limit struct {
	Rate  float64 // units per second
	Burst float64 // units that may be used at once
}

// Plan divides the bound on the use of one key in a window between the units that an owner grants
// and the units that may be used without the owner's knowledge.
type Plan struct {
	Limit
	// Window is the time over which use is bounded.
	Window time.Duration
	// MaxPerWindow is the maximum number of units that an owner grants in any window.
	MaxPerWindow float64
	// BucketDepth is the maximum number of tokens in an owner's bucket, that is the number of units
	// that it can grant at once.
	BucketDepth float64
	// MaxUnacknowledged is the maximum number of granted units that a standby has not acknowledged.
	MaxUnacknowledged float64
	// GrantTTL is how long a grant can be used, counted from the lessee's request.
	GrantTTL time.Duration
	// LearningDelay is how long an owner in learning mode grants nothing.
	LearningDelay time.Duration
}

// These constants are fractions of the excess of a bound, which is the part of the bound beyond the
// limit's rate and burst. The part of the excess that is not in MaxPerWindow covers requests in
// flight, grants that an owner made just before it ended and could not publish, and the use by
// isolated processes in the meantime.
const (
	maxPerWindowFraction   = 0.70
	bucketDepthFraction    = 0.15
	unacknowledgedFraction = 0.15
	learningFraction       = 0.20 // by which the grants of an owner in learning mode may exceed MaxPerWindow
)

// grantTTL bounds how long a lost or unused grant counts against its key, and how long a process
// that lost contact with the owner can use a grant.
const grantTTL = 200 * time.Millisecond

// An owner publishes its unpublished grants at once when they reach a fraction of the units of one
// second at the limit's rate, or a fraction of MaxUnacknowledged, whichever is less.
const (
	publishRateFraction           = 0.1
	publishUnacknowledgedFraction = 1.0 / 3
)

// NewPlan returns the plan for a bound. For one window, the bound is the units of the limit's rate
// and burst, increased by the fraction overshoot, plus slack units.
func NewPlan(l Limit, window time.Duration, overshoot, slack float64) Plan {
	p := Plan{Limit: l, Window: window, GrantTTL: grantTTL}
	nominal := l.Rate*window.Seconds() + l.Burst
	excess := overshoot*nominal + slack
	p.MaxPerWindow = nominal + maxPerWindowFraction*excess
	p.BucketDepth = l.Burst + bucketDepthFraction*excess
	p.MaxUnacknowledged = unacknowledgedFraction * excess
	p.LearningDelay = learningDelay(p, excess)
	return p
}

// learningDelay returns the LearningDelay of a plan, which covers the worst case: the previous owner
// granted units at its maximum rate and then its whole bucket just before it ended. None of these
// grants leave the window during the time in which a bucket is refilled, so the grants of the new
// owner in that time exceed MaxPerWindow. The delay keeps the units above MaxPerWindow within
// learningFraction of the excess.
func learningDelay(p Plan, excess float64) time.Duration {
	if p.Rate <= 0 || p.MaxPerWindow <= 0 {
		return 0
	}
	refill := p.BucketDepth * p.Window.Seconds() / p.MaxPerWindow
	allowed := learningFraction * excess / (learningRateFraction * p.Rate)
	return max(seconds(min(refill, p.Window.Seconds())-allowed), 0)
}

// UnknownUsage returns how many units may have been granted in addition to the known ones: the units
// of secondsAtRate seconds at the limit's rate, plus the units that an owner can grant in a period.
func (p Plan) UnknownUsage(secondsAtRate float64, period time.Duration) float64 {
	return secondsAtRate*p.Rate + p.MaxPerWindow/p.Window.Seconds()*period.Seconds()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
