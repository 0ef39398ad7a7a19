package quota

import "time"

const (
	// maxKeys bounds the keys of an owner; beyond it all counts are dropped.
	maxKeys = 65_536
	// learningRateFraction is the fraction of the limit's rate at which an owner in learning mode
	// grants.
	learningRateFraction = 0.7
	// minRetryAfter is the shortest RetryAfter, and maxRetryAfter bounds it: within that time
	// rejected lessees return one after the other.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = time.Second
	// minRate is the rate, in units per second, by which waits are computed for a limit of none.
	minRate = 1e-3
)

// Owner grants the units of the keys that one process is responsible for.
type Owner struct {
	// StartedAt is from when on nobody but this owner has granted anything.
	StartedAt time.Duration
	// LearningUntil is until when earlier grants that it does not know may be in the window.
	LearningUntil time.Duration

	keys map[string]*account
}

// account is the state of one key.
type account struct {
	usage      Usage
	learning   Usage         // of this, what was granted in learning mode
	tokens     float64       // of the bucket
	refilledAt time.Duration // when tokens was right

	largestNeed     float64       // of the last one or two windows
	nextLargestNeed float64       // since needPeriodStart
	needPeriodStart time.Duration // at most a window ago

	lastRetryAt time.Duration // when the last rejected lessee is to ask again
}

// NewOwner returns an owner that takes over at startedAt. Known is what others granted before, by
// key; it has all grants since completeFrom, so the owner is in learning mode until a window after
// that.
func NewOwner(startedAt, window time.Duration, known map[string]*Usage, completeFrom time.Duration) *Owner {
	o := &Owner{StartedAt: startedAt, LearningUntil: completeFrom + window, keys: map[string]*account{}}
	for key, usage := range known {
		o.keys[key] = &account{usage: *usage, refilledAt: startedAt}
	}
	return o
}

// Serve answers a request for a key, whose plan may have changed since the last one.
func (o *Owner) Serve(now time.Duration, key string, p Plan, r Request) Response {
	a := o.account(key)
	a.usage.Window, a.learning.Window = p.Window, p.Window
	a.usage.Add(now, max(r.Borrowed, 0))
	a.refill(now, p)
	a.trackNeed(now, p.Window, r.Need)
	if !o.mayGrant(now, a, p) {
		return Response{RetryAfter: a.retryAfter(now, max(p.Rate, minRate), r.Need)}
	}
	a.tokens -= r.Need // may become negative: large requests are served as often as small ones
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

// trackNeed keeps the largest need of the last one or two windows.
func (a *account) trackNeed(now, window time.Duration, need float64) {
	if now-a.needPeriodStart >= window {
		a.largestNeed, a.nextLargestNeed, a.needPeriodStart = a.nextLargestNeed, 0, now
	}
	a.nextLargestNeed = max(a.nextLargestNeed, need)
	a.largestNeed = max(a.largestNeed, need)
}

// refill adds to the bucket what has come since the last request.
func (a *account) refill(now time.Duration, p Plan) {
	added := p.MaxPerWindow / p.Window.Seconds() * (now - a.refilledAt).Seconds()
	a.tokens = min(a.tokens+added, p.BucketDepth)
	a.refilledAt = now
}

// mayGrant reports whether one more grant fits the bound, whatever its size. In learning mode
// grants follow the limit's rate alone.
func (o *Owner) mayGrant(now time.Duration, a *account, p Plan) bool {
	if a.tokens <= 0 {
		return false
	}
	if now < o.LearningUntil {
		learned := (now - o.StartedAt - p.LearningDelay).Seconds()
		if a.learning.Sum(now) >= learningRateFraction*p.Rate*learned {
			return false
		}
	}
	return a.usage.Sum(now)+a.largestNeed <= p.MaxPerWindow
}

// retryAfter is when a rejected lessee asks again: after those that were rejected before, but
// within maxRetryAfter.
func (a *account) retryAfter(now time.Duration, rate, need float64) time.Duration {
	a.lastRetryAt = max(a.lastRetryAt, now) + seconds(need/rate)
	a.lastRetryAt = min(a.lastRetryAt, now+maxRetryAfter)
	return max(a.lastRetryAt-now, minRetryAfter)
}
