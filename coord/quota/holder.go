package quota

import "time"

// Holder keeps what one process was granted of one key.
type Holder struct {
	Plan Plan

	grants   []grant // the oldest first
	used     Usage
	lentFrom time.Duration // the beginning of what goes on without an owner
	mayUse   float64       // units in a window, as it began; 0 before the first time
	borrowed float64       // units that no owner knows of yet
}

type grant struct {
	units float64
	until time.Duration
}

// lendFor is how long use may go on without an owner, once in a window. By then another one acts, or this process is cut off alone and
// an owner grants its part to others.
const lendFor = 2500 * time.Millisecond

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
	h.use(now, units)
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

// use counts units that are used.
func (h *Holder) use(now time.Duration, units float64) {
	h.used.Span = h.Plan.Window
	h.used.Add(now, units)
}

// Borrow uses units that nobody granted, as no owner answers: a process may go on for a moment with as much in a window as it used before.
// So all processes together use no more than they did.
func (h *Holder) Borrow(now time.Duration, units float64) bool {
	h.used.Span = h.Plan.Window
	used := h.used.Sum(now)
	if h.mayUse == 0 || now-h.lentFrom >= h.Plan.Window+lendFor {
		h.lentFrom, h.mayUse = now, used
	}
	if now-h.lentFrom >= lendFor || used+units/2 > h.mayUse { // where few are used, one in two that do not fit is let pass
		return false
	}
	h.use(now, units)
	h.borrowed += units
	return true
}

// Missing is what is to be asked for so that units can be taken.
func (h *Holder) Missing(now time.Duration, units float64) Ask {
	return Ask{Need: max(units-h.Held(now), 0), Borrowed: h.borrowed}
}

// Reported takes in that an owner has been told of units that were borrowed.
func (h *Holder) Reported(borrowed float64) { h.borrowed = max(h.borrowed-borrowed, 0) }

// Grant takes in units that were asked for at a time.
func (h *Holder) Grant(asked time.Duration, units float64) {
	if units > 0 {
		h.grants = append(h.grants, grant{units, asked + h.Plan.Life})
	}
}
