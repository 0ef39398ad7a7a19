package quota

import "time"

const (
	// maxKeys bounds the keys of an owner. If a request for one more key arrives, the owner drops
	// the counts of all keys.
	maxKeys = 65_536
	// learningRateFraction is the fraction of the limit's rate at which an owner in learning mode
	// grants.
	learningRateFraction = 0.7
	// minRetryAfter and maxRetryAfter bound Response.RetryAfter. Rejected lessees get different
	// times up to maxRetryAfter, so that they ask again one after the other.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// minRate is the lowest rate, in units per second, from which RetryAfter is computed. It avoids
	// a division by 0 if the limit's rate is 0.
	minRate = 1e-3
)

// Owner grants the units of the keys that one process is responsible for.
type Owner struct {
	// StartedAt is the time since which no other owner has granted units of these keys.
	StartedAt time.Duration
	// LearningUntil is the time at which learning mode ends. Before it, the window may contain
	// grants of earlier owners that this owner does not know.
	LearningUntil time.Duration

	keys map[string]*account
}

// account is the state of one key.
type account struct {
	usage      Usage         // granted and borrowed units
	learning   Usage         // the part of usage that was granted in learning mode
	tokens     float64       // units in the token bucket at refilledAt
	refilledAt time.Duration // time of the last refill

	largestNeed     float64       // largest Request.Need of the last one or two windows
	nextLargestNeed float64       // largest Request.Need since needPeriodStart
	needPeriodStart time.Duration // at most one window before the last request

	lastRetryAt time.Duration // time at which the last rejected lessee asks again
}

// NewOwner returns an owner that takes over at startedAt. Known holds the units that earlier owners
// granted, by key. It contains all grants since completeFrom, so the new owner is in learning mode
// until a window after completeFrom.
func NewOwner(startedAt, window time.Duration, known map[string]*Usage, completeFrom time.Duration) *Owner {
	o := &Owner{StartedAt: startedAt, LearningUntil: completeFrom + window, keys: map[string]*account{}}
	for key, usage := range known {
		o.keys[key] = &account{usage: *usage, refilledAt: startedAt}
	}
	return o
}

// Serve answers a request for a key. The plan of the key may differ from the one of earlier calls.
func (o *Owner) Serve(now time.Duration, key string, p Plan, r Request) Response {
	a := o.account(key)
	a.usage.Window, a.learning.Window = p.Window, p.Window
	a.usage.Add(now, max(r.Borrowed, 0))
	a.refill(now, p)
	a.trackNeed(now, p.Window, r.Need)
	if !o.mayGrant(now, a, p) {
		return Response{RetryAfter: a.retryAfter(now, max(p.Rate, minRate), r.Need)}
	}
	a.tokens -= r.Need // may become negative, so that large requests are granted as often as small ones
	a.usage.Add(now, r.Need)
	if now < o.LearningUntil {
		a.learning.Add(now, r.Need)
	}
	return Response{Granted: r.Need}
}

func (o *Owner) account(key string) *account {
	a := o.keys[key]
	if a != nil {
		return a
	}
	if o.keys == nil || len(o.keys) >= maxKeys {
		o.keys = map[string]*account{}
	}
	a = &account{refilledAt: o.StartedAt}
	o.keys[key] = a
	return a
}

// trackNeed updates the largest need of the last one or two windows.
func (a *account) trackNeed(now, window time.Duration, need float64) {
	if now-a.needPeriodStart >= window {
		a.largestNeed, a.nextLargestNeed, a.needPeriodStart = a.nextLargestNeed, 0, now
	}
	a.nextLargestNeed = max(a.nextLargestNeed, need)
	a.largestNeed = max(a.largestNeed, need)
}

// refill adds to the bucket the tokens for the time since the last request.
func (a *account) refill(now time.Duration, p Plan) {
	added := p.MaxPerWindow / p.Window.Seconds() * (now - a.refilledAt).Seconds()
	a.tokens = min(a.tokens+added, p.BucketDepth)
	a.refilledAt = now
}

// mayGrant reports whether one more grant fits the bound. It checks with largestNeed instead of the
// size of the current request, so the result does not depend on that size. In learning mode the
// grants must also stay below learningRateFraction of the limit's rate, without a burst.
func (o *Owner) mayGrant(now time.Duration, a *account, p Plan) bool {
	if a.tokens <= 0 {
		return false
	}
	if now < o.LearningUntil {
		grantingSeconds := (now - o.StartedAt - p.LearningDelay).Seconds()
		if a.learning.Sum(now) >= learningRateFraction*p.Rate*grantingSeconds {
			return false
		}
	}
	return a.usage.Sum(now)+a.largestNeed <= p.MaxPerWindow
}

// retryAfter returns how long a rejected lessee waits before it asks again. The lessee asks after
// those that were rejected earlier, but within maxRetryAfter.
func (a *account) retryAfter(now time.Duration, rate, need float64) time.Duration {
	a.lastRetryAt = max(a.lastRetryAt, now) + seconds(need/rate)
	a.lastRetryAt = min(a.lastRetryAt, now+maxRetryAfter)
	return max(a.lastRetryAt-now, minRetryAfter)
}
