package quota

import "time"

const (
	mostKeys = 65_536
	// blindPart is the part of the limit's rate that an owner grants which does not know what was granted before.
	blindPart = 0.7
	// leastWait is the least time after which one that was sent away asks again, and mostWait that within which those that were sent away
	// come back one after the other.
	leastWait = 50 * time.Millisecond
	mostWait  = time.Second
	slowest   = 1e-3 // units a second, for the sake of waits that end
)

// Owner has the counts of the keys that one process is responsible for.
type Owner struct {
	Since time.Duration // nobody but this owner has granted anything from then on
	// Blind is until when what others granted before may still be in the window, and is not known.
	Blind time.Duration

	keys map[string]*account
}

// account is one key's.
type account struct {
	usage   Usage
	blind   Usage         // of this, what was granted while the owner was blind
	tokens  float64       // that may be granted at once
	at      time.Duration // of tokens
	largest float64       // need of late
	largeAt time.Duration // the beginning of that
	larger  float64       // need since then
	returns time.Duration // when the last of those that were sent away is to ask again
}

// NewOwner is an owner that takes over. Nobody else has granted anything since a time. Known has what was granted before, by key; it is
// complete from a time on, so the owner is blind for what came earlier.
func NewOwner(since time.Duration, window time.Duration, known map[string]*Usage, complete time.Duration) *Owner {
	o := &Owner{Since: since, Blind: complete + window, keys: map[string]*account{}}
	for key, usage := range known {
		o.keys[key] = &account{usage: *usage, at: since}
	}
	return o
}

// Serve answers an ask at a time.
func (o *Owner) Serve(now time.Duration, key string, p Plan, ask Ask) Answer {
	a := o.account(key)
	a.usage.Span, a.blind.Span = p.Window, p.Window
	a.usage.Add(now, max(ask.Borrowed, 0))
	a.fill(now, p)
	a.weigh(now, p.Window, ask.Need)
	if !o.room(now, a, p) {
		return Answer{Wait: a.sendAway(now, max(p.Rate, slowest), ask.Need)}
	}
	a.tokens -= ask.Need // may fall below nothing: whoever asks for much is served as often as others
	a.usage.Add(now, ask.Need)
	if now < o.Blind {
		a.blind.Add(now, ask.Need)
	}
	return Answer{Granted: ask.Need}
}

func (o *Owner) account(key string) *account {
	a := o.keys[key]
	if a != nil {
		return a
	}
	if o.keys == nil || len(o.keys) >= mostKeys {
		o.keys = map[string]*account{}
	}
	a = &account{at: o.Since}
	o.keys[key] = a
	return a
}

// weigh keeps the largest need of the last one or two windows.
func (a *account) weigh(now, window time.Duration, need float64) {
	if now-a.largeAt >= window {
		a.largest, a.larger, a.largeAt = a.larger, 0, now
	}
	a.larger = max(a.larger, need)
	a.largest = max(a.largest, need)
}

// fill adds what has come since the last ask to what may be granted at once.
func (a *account) fill(now time.Duration, p Plan) {
	a.tokens = min(a.tokens+p.Most/p.Window.Seconds()*(now-a.at).Seconds(), p.Depth)
	a.at = now
}

// room tells whether the bound has room for one more grant, whatever its size. An owner that is blind grants at the limit's rate alone.
func (o *Owner) room(now time.Duration, a *account, p Plan) bool {
	switch {
	case a.tokens <= 0:
		return false
	case now < o.Blind && a.blind.Sum(now) >= blindPart*p.Rate*(now-o.Since-p.BlindGap).Seconds():
		return false
	}
	return a.usage.Sum(now)+a.largest <= p.Most
}

// sendAway is when one that needs units is to ask again: behind those that were sent away before, but not for ever.
func (a *account) sendAway(now time.Duration, rate, need float64) time.Duration {
	a.returns = max(a.returns, now) + seconds(need/rate)
	a.returns = min(a.returns, now+mostWait)
	return max(a.returns-now, leastWait)
}

// Usage counts units in the last span of time.
type Usage struct {
	Span time.Duration

	parts [usageParts + 1]float64
	last  int64 // the part that was counted in last
}

// usageParts is into how many parts a span is counted: a unit counts for up to a part longer than the span.
const usageParts = 32

// advance begins the part of the present time.
func (u *Usage) advance(now time.Duration) {
	part := int64(now / max(u.Span/usageParts, 1))
	if part <= u.last {
		return
	}
	for n := min(part-u.last, int64(len(u.parts))); n > 0; n-- {
		u.parts[(part-n+1)%int64(len(u.parts))] = 0
	}
	u.last = part
}

// Add counts units at a time.
func (u *Usage) Add(now time.Duration, units float64) {
	u.advance(now)
	u.parts[u.last%int64(len(u.parts))] += units
}

// Sum is what was counted in the last span.
func (u *Usage) Sum(now time.Duration) float64 {
	u.advance(now)
	sum := 0.0
	for _, units := range u.parts {
		sum += units
	}
	return sum
}

// Merged is what this one and another, which may be nil, have counted together.
func (u *Usage) Merged(now time.Duration, other *Usage) *Usage {
	sum := *u
	sum.advance(now)
	if other == nil {
		return &sum
	}
	other.advance(now)
	for i, units := range other.parts {
		sum.parts[i] += units
	}
	return &sum
}

// Parts are the counts of the last span, the newest last, for a process that goes on after this one.
func (u *Usage) Parts(now time.Duration) []float64 {
	u.advance(now)
	out := make([]float64, 0, len(u.parts))
	for n := int64(len(u.parts)) - 1; n >= 0; n-- {
		at := u.last - n
		if at < 0 {
			out = append(out, 0)
			continue
		}
		out = append(out, u.parts[at%int64(len(u.parts))])
	}
	return out
}

// FromParts are counts of a span as they were when Parts gave them, taken as though no time had passed since. The present time must be
// later than a span.
func FromParts(span, now time.Duration, parts []float64) *Usage {
	u := &Usage{Span: span}
	part := max(span/usageParts, 1)
	for i, units := range parts {
		u.Add(now-time.Duration(len(parts)-1-i)*part, units)
	}
	return u
}
