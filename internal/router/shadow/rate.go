package shadow

import (
	"slices"
	"time"
)

// rateSlot is a copy's right to one attempt, out of as many as Caps.PerSecond allows in a window.
// An attempt may reach its host at any time between being sent and being known to have reached it,
// so the window begins with the latter: a host sees no more than the cap in any second of its own
// clock, however long attempts are in flight. A slot taken under a higher cap stays for its window.
type rateSlot struct {
	copy    uint64
	sent    bool
	ended   bool          // the attempt has reached its host, or is over
	endedAt time.Duration // where ended
}

// occupied reports whether the slot counts against the cap.
func (s *rateSlot) occupied(now, window time.Duration) bool {
	return !s.ended || now-s.endedAt < window
}

// hasRateSlot reports whether one more slot may be taken. It forgets those whose window is over.
func (d *Decider) hasRateSlot() bool {
	limit, window := d.rate()
	d.rateSlots = slices.DeleteFunc(d.rateSlots, func(s rateSlot) bool {
		return !s.occupied(d.now, window)
	})
	return len(d.rateSlots) < limit
}

// takeRateSlot uses the slot that a copy has had since its start, or takes one for a retry.
func (d *Decider) takeRateSlot(id uint64) bool {
	for i := range d.rateSlots {
		if s := &d.rateSlots[i]; s.copy == id && !s.sent {
			s.sent = d.mayReach()
			return s.sent
		}
	}
	if !d.hasRateSlot() {
		return false
	}
	d.rateSlots = append(d.rateSlots, rateSlot{copy: id, sent: true})
	return true
}

// mayReach reports whether one more attempt may reach a host now. A slot that was taken under a
// higher cap may have to wait.
func (d *Decider) mayReach() bool {
	limit, window := d.rate()
	reached := 0
	for i := range d.rateSlots {
		if s := &d.rateSlots[i]; s.sent && s.occupied(d.now, window) {
			reached++
		}
	}
	return reached < limit
}

// attemptReached begins the window of the slots that a copy has used.
func (d *Decider) attemptReached(id uint64) {
	for i := range d.rateSlots {
		if s := &d.rateSlots[i]; s.copy == id && s.sent && !s.ended {
			s.ended, s.endedAt = true, d.now
		}
	}
}

// releaseRateSlot gives back the slot that a copy did not use.
func (d *Decider) releaseRateSlot(id uint64) {
	d.rateSlots = slices.DeleteFunc(d.rateSlots, func(s rateSlot) bool {
		return s.copy == id && !s.sent
	})
}

// rate returns how many attempts may reach hosts in any window, and its length.
func (d *Decider) rate() (limit int, window time.Duration) {
	if r := d.config.Caps.PerSecond; r < 1 {
		return 1, time.Duration(float64(time.Second) / r)
	}
	return int(d.config.Caps.PerSecond), time.Second
}
