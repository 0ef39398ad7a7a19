// Package quota shares a limit on a rate among many processes: the owner of a key grants units to those who ask, each grant for a short
// time. It is pure: no I/O, clock or goroutine.
//
// What all processes use of a key in any window of time stays within a bound: the limit's rate and burst, with some overshoot and slack.
// An Owner counts what it granted in the last window, and grants no more than the bound has room for; a Holder keeps what one process was
// granted, until that expires. An owner that takes over goes on with the counts that the one before has told it (Usage), or, where it was
// told too little, begins at nothing and grants at the limit's rate alone for the length of a window. Who the owner is, and that there is
// one at a time, is the caller's to see to. docs/design/quota.md has the proof of the bound.
package quota

import "time"

// Limit bounds the use of one key.
type Limit struct {
	Rate  float64 // units a second
	Burst float64 // units at once
}

// Plan divides the bound on one key.
type Plan struct {
	Limit
	Window time.Duration
	Most   float64       // units that an owner grants in any window
	Depth  float64       // units that it grants at once
	Ahead  float64       // units that it grants and not all who stand by have acknowledged
	Life   time.Duration // of a grant
	// BlindGap is how long an owner that does not know what was granted before grants nothing.
	BlindGap time.Duration
}

// The parts of what a bound leaves beyond rate and burst. The rest is for requests on their way, for what an owner granted right before its
// end and could not tell the next one, and for what processes that are cut off use meanwhile.
const (
	mostPart  = 0.70
	depthPart = 0.15
	aheadPart = 0.15
	blindOver = 0.20 // by which an owner that is blind may go beyond Most

	lifeOfGrant = 200 * time.Millisecond
)

// When standbys are told at once: after a part of a second's units, or a part of Ahead.
const (
	tellPart  = 0.1
	tellAhead = 1.0 / 3
)

// NewPlan divides a bound: in a window, the limit's rate and burst with an overshoot, and some slack.
func NewPlan(l Limit, window time.Duration, overshoot, slack float64) Plan {
	p := Plan{Limit: l, Window: window, Life: lifeOfGrant}
	nominal := l.Rate*window.Seconds() + l.Burst
	spare := overshoot*nominal + slack
	p.Most = nominal + mostPart*spare
	p.Depth = l.Burst + depthPart*spare
	p.Ahead = aheadPart * spare
	p.BlindGap = blindGap(p, spare)
	return p
}

// blindGap is how long an owner that is blind grants nothing. At worst the one before granted all of Depth at the very end of its time, and
// at its fastest before; then nothing of it leaves the window until Depth has come in again. What is granted until then goes beyond Most.
func blindGap(p Plan, spare float64) time.Duration {
	if p.Rate <= 0 || p.Most <= 0 {
		return 0
	}
	full := p.Depth * p.Window.Seconds() / p.Most
	beyond := blindOver * spare / (blindPart * p.Rate)
	return max(seconds(min(full, p.Window.Seconds())-beyond), 0)
}

// Unknown is what may have been granted beside what is known: so many seconds' units, and what can be in a time.
func (p Plan) Unknown(units float64, in time.Duration) float64 {
	return units*p.Rate + p.Most/p.Window.Seconds()*in.Seconds()
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Ask is what a process wants of a key.
type Ask struct {
	Need     float64 // units without which it can't go on
	Borrowed float64 // units that it used while no owner answered, and that no owner has been told of
}

// Answer is what it gets.
type Answer struct {
	Granted float64       // Need, or 0
	Wait    time.Duration // where nothing is granted: when to ask again
}
