package shadow

import (
	"slices"
	"time"
)

// rateSlot is the right of a copy to one attempt. Caps.PerSecond limits the number of slots in a
// window. An attempt may reach its host at any time after it is sent and before AttemptReached
// reports that it has. The window of a slot therefore begins with that report: a host gets no more
// attempts than the cap in any second of its own clock, however long attempts are in flight. A slot
// that was taken under a higher cap also counts until the end of its window.
type rateSlot struct {
	copy    uint64
	sent    bool          // the attempt was granted
	ended   bool          // the attempt has reached its host, or is over
	endedAt time.Duration // when ended was set; the window begins here
}

// occupied reports whether the slot counts against the cap.
func (s *rateSlot) occupied(now, window time.Duration) bool {
	return !s.ended || now-s.endedAt < window
}

// hasRateSlot reports whether one more slot may be taken. It deletes the slots whose window is over.
func (d *Decider) hasRateSlot() bool {
	limit, window := d.rate()
	d.rateSlots = slices.DeleteFunc(d.rateSlots, func(s rateSlot) bool {
		return !s.occupied(d.now, window)
	})
	return len(d.rateSlots) < limit
}

// takeRateSlot reports whether a copy may send an attempt now. The first attempt uses the slot that
// the copy took at its start; a retry takes a new slot.
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

// mayReach reports whether one more attempt may reach a host now. A copy that took its slot under a
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

// attemptReached begins the windows of the slots whose attempts a copy has sent.
func (d *Decider) attemptReached(id uint64) {
	for i := range d.rateSlots {
		if s := &d.rateSlots[i]; s.copy == id && s.sent && !s.ended {
			s.ended, s.endedAt = true, d.now
		}
	}
}

// releaseRateSlot releases the slot that a copy took at its start, if the copy has not sent the
// attempt.
func (d *Decider) releaseRateSlot(id uint64) {
	d.rateSlots = slices.DeleteFunc(d.rateSlots, func(s rateSlot) bool {
		return s.copy == id && !s.sent
	})
}

// rate returns how many attempts may reach hosts in any window, and the length of a window.
func (d *Decider) rate() (limit int, window time.Duration) {
	if r := d.config.Caps.PerSecond; r < 1 {
		return 1, time.Duration(float64(time.Second) / r)
	}
	return int(d.config.Caps.PerSecond), time.Second
}
