// Package quota shares a limit on a rate among many processes: the owner of a key grants units to those who ask, each grant for a short
// time. It is pure: no I/O, clock or goroutine.
//
// An Owner has a bucket for each key, which fills at the limit's rate; what it grants is gone from there, used or not. A Holder keeps
// what one process was granted, until that expires. So in any span of time all holders together use no more than the bucket can give in
// that span and in the life of a grant before it. Who the owner is, and that there is one at a time, is the caller's to see to.
package quota

import "time"

const (
	// richFrom is the share of a bucket from which on more is granted than is needed at once.
	richFrom = 0.5
	// richPart is the part of what is beyond that one asker gets.
	richPart = 0.25
	mostKeys = 65_536
	slowest  = 1e-3 // units a second, for the sake of a wait that ends
	// leastWait is the least time after which one that was sent away asks again.
	leastWait = 50 * time.Millisecond
	// mostWait bounds the time within which those that were sent away come back one after the other.
	mostWait = time.Second
)

// Limit bounds the use of one key.
type Limit struct {
	Rate  float64 // units a second
	Burst float64 // units at once
}

// Ask is what a process wants of a key.
type Ask struct {
	Need     float64 // units without which it can't go on
	Want     float64 // further ones, for what comes next
	Returned float64 // units that it was granted, did not use, and will not
}

// Answer is what it gets.
type Answer struct {
	Granted float64       // Need and a part of Want, or 0
	Wait    time.Duration // where nothing is granted: when to ask again
}

// Owner has the buckets of the keys that one process is responsible for.
type Owner struct {
	Since time.Duration // nobody has granted anything from then on but this owner

	buckets map[string]*bucket
}

type bucket struct {
	tokens  float64
	at      time.Duration
	returns time.Duration // when the last of those that were sent away is to ask again
}

// Serve answers an ask at a time. A bucket was empty when the owner became so, as what the one before granted is unknown, and has filled
// since.
func (o *Owner) Serve(now time.Duration, key string, limit Limit, ask Ask) Answer {
	if o.buckets == nil {
		o.buckets = map[string]*bucket{}
	}
	b := o.buckets[key]
	if b == nil {
		if len(o.buckets) >= mostKeys {
			o.Since = now // what was granted is forgotten, so all begin empty again
			clear(o.buckets)
		}
		b = &bucket{at: o.Since}
		o.buckets[key] = b
	}
	b.tokens = min(b.tokens+limit.Rate*(now-b.at).Seconds()+max(ask.Returned, 0), limit.Burst)
	b.at = now
	if ask.Need > 0 && b.tokens <= 0 {
		return Answer{Wait: b.sendAway(now, max(limit.Rate, slowest), ask.Need)}
	}
	granted := max(ask.Need, 0)
	if rich := b.tokens - granted - richFrom*limit.Burst; rich > 0 {
		granted += min(max(ask.Want, 0), richPart*rich)
	}
	b.tokens -= granted // may fall below nothing: whoever asks for much is served as often as others
	return Answer{Granted: granted}
}

// sendAway is when one that needs units is to ask again: behind those that were sent away before, but not for ever.
func (b *bucket) sendAway(now time.Duration, rate, need float64) time.Duration {
	b.returns = max(b.returns, now+seconds(-b.tokens/rate)) + seconds(need/rate)
	b.returns = min(b.returns, now+mostWait)
	return max(b.returns-now, leastWait)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Holder keeps what one process was granted of one key.
type Holder struct {
	Life   time.Duration // of a grant
	Lend   time.Duration // while no owner answers, the use of so long a time may go on
	Window time.Duration // after which it may again

	grants   []grant // the oldest first
	used     float64 // units a second, of late
	at       time.Duration
	lentFrom time.Duration // the beginning of what goes on without an owner
	lent     float64       // units, since then
	mayLend  float64       // units, as it began
}

type grant struct {
	units float64
	until time.Duration
}

const (
	usageSpan = 2.0 // seconds over which use is averaged
	ahead     = 0.0 // seconds of use that are held in advance
	lowest    = 0.5 // of that, below which more is asked for
	oldPart   = 0.4 // of a grant's life, that is left when what is unused goes back
)

// Held is how many units may be used now.
func (h *Holder) Held(now time.Duration) float64 {
	for len(h.grants) > 0 && h.grants[0].until <= now {
		h.grants = h.grants[1:]
	}
	sum := 0.0
	for _, g := range h.grants {
		sum += g.units
	}
	return sum
}

// Take uses units, if so many are held.
func (h *Holder) Take(now time.Duration, units float64) bool {
	if h.Held(now) < units {
		return false
	}
	h.fade(now)
	h.used += units / usageSpan
	for units > 0 && len(h.grants) > 0 { // a sum of parts may be short of them by a rounding error
		g := &h.grants[0]
		if g.units > units {
			g.units -= units
			break
		}
		units -= g.units
		h.grants = h.grants[1:]
	}
	return true
}

// fade lets what was used long ago count less.
func (h *Holder) fade(now time.Duration) {
	if passed := (now - h.at).Seconds(); passed > 0 {
		h.used *= max(1-passed/usageSpan, 0)
		h.at = now
	}
}

// Borrow uses units that nobody granted, as no owner answers: a process may go on for a moment as it did before, once in a window.
func (h *Holder) Borrow(now time.Duration, units float64) bool {
	if h.mayLend == 0 || now-h.lentFrom >= h.Window {
		h.fade(now)
		h.lentFrom, h.lent, h.mayLend = now, 0, h.used*h.Lend.Seconds()
	}
	if h.lent+units > h.mayLend {
		return false
	}
	h.lent += units
	return true
}

// Missing is what is to be asked for: what is needed now, and what will be. Ok is false where nothing is.
func (h *Holder) Missing(now time.Duration, need float64) (ask Ask, ok bool) {
	h.fade(now)
	held, target := h.Held(now), ahead*h.used
	if need > 0 {
		return Ask{Need: need - held, Want: target}, true
	}
	if held >= lowest*target {
		return ask, false
	}
	return Ask{Want: target - held}, true
}

// Grant takes in units that were asked for at a time.
func (h *Holder) Grant(asked time.Duration, units float64) {
	if units > 0 {
		h.grants = append(h.grants, grant{units, asked + h.Life})
	}
}

// Return takes out what will not be used before it expires, to be given back.
func (h *Holder) Return(now time.Duration) (units float64) {
	h.fade(now)
	spare := h.Held(now) - ahead*h.used
	for len(h.grants) > 0 && spare > 0 {
		g := &h.grants[0]
		if g.until-now > time.Duration(oldPart*float64(h.Life)) {
			break
		}
		back := min(g.units, spare)
		units, spare, g.units = units+back, spare-back, g.units-back
		if g.units > 0 {
			break
		}
		h.grants = h.grants[1:]
	}
	return units
}

// Spare is how much longer than a window all may go on at a limit's rate, so that their use in the window stays within a bound: the
// limit's rate and burst with an overshoot, and some slack.
func Spare(l Limit, window time.Duration, overshoot, slack float64) time.Duration {
	if l.Rate <= 0 {
		return 0
	}
	return time.Duration((overshoot*(l.Rate*window.Seconds()+l.Burst) + slack) / l.Rate * float64(time.Second))
}

// The parts of what a bound leaves spare: for what a bucket holds beyond the burst, for grants that last, and for use that goes on while
// no owner answers. The rest is for requests on their way, and for buckets that fall below nothing.
const (
	BurstPart = 0.45
	LifePart  = 0.1
	LendPart  = 0.35
)

// Widen is a limit whose burst has its part of what a bound leaves spare.
func (l Limit) Widen(spare time.Duration) Limit {
	l.Burst += BurstPart * spare.Seconds() * l.Rate
	return l
}

// SetSpare sets how long grants last, and how long use may go on while no owner answers, by what a bound leaves spare.
func (h *Holder) SetSpare(spare, window time.Duration) {
	const (
		shortest = 200 * time.Millisecond
		longest  = 3 * time.Second
	)
	h.Life = min(max(time.Duration(LifePart*float64(spare)), shortest), longest)
	h.Lend = min(time.Duration(LendPart*float64(spare)), longest)
	h.Window = window + h.Life + h.Lend
}
