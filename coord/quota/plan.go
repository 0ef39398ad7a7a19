package quota

import "time"

// Limit is the rate limit of one key.
type Limit struct {
	Rate  float64 // units per second
	Burst float64 // units at once
}

// Plan divides the bound on the use of one key in a window between what an owner grants and what
// may be used without its knowledge.
type Plan struct {
	Limit
	// Window is the time over which use is bounded.
	Window time.Duration
	// MaxPerWindow is how many units an owner grants in any window.
	MaxPerWindow float64
	// BucketDepth is how many units an owner grants at once.
	BucketDepth float64
	// MaxUnacknowledged is how many granted units may be unknown to a standby.
	MaxUnacknowledged float64
	// GrantTTL is how long a grant can be used.
	GrantTTL time.Duration
	// LearningDelay is how long an owner in learning mode grants nothing.
	LearningDelay time.Duration
}

// The fractions of the excess of a bound: what it has beyond the limit's rate and burst. The
// rest is for requests in flight, for what an owner granted right before its end and could not
// publish, and for what isolated processes use meanwhile.
const (
	maxPerWindowFraction   = 0.70
	bucketDepthFraction    = 0.15
	unacknowledgedFraction = 0.15
	learningFraction       = 0.20 // by which an owner in learning mode may exceed MaxPerWindow
)

// grantTTL bounds how long a grant that is lost or unused counts against its key, and how long a
// process that lost its owner may go on with it.
const grantTTL = 200 * time.Millisecond

// An owner publishes at once after this many units: a fraction of a second's, or one of
// MaxUnacknowledged, whichever is less.
const (
	publishRateFraction           = 0.1
	publishUnacknowledgedFraction = 1.0 / 3
)

// NewPlan returns the plan for a bound: in a window, the limit's rate and burst exceeded by a
// fraction of overshoot, and slack units.
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

// learningDelay is for the worst case: the earlier owner granted its whole bucket at the very end,
// and at its fastest before. Then none of it leaves the window until the bucket has been refilled,
// and what is granted meanwhile exceeds MaxPerWindow.
func learningDelay(p Plan, excess float64) time.Duration {
	if p.Rate <= 0 || p.MaxPerWindow <= 0 {
		return 0
	}
	refill := p.BucketDepth * p.Window.Seconds() / p.MaxPerWindow
	allowed := learningFraction * excess / (learningRateFraction * p.Rate)
	return max(seconds(min(refill, p.Window.Seconds())-allowed), 0)
}

// UnknownUsage is what may have been granted beside what is known: the units of so many seconds at
// the limit's rate, and what an owner can grant in a time.
func (p Plan) UnknownUsage(atRate float64, in time.Duration) float64 {
	return atRate*p.Rate + p.MaxPerWindow/p.Window.Seconds()*in.Seconds()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
