package leasesim

import (
	"time"

	"reachspread/internal/testbed/faults"
)

// latency draws the latency of a message.
func (w *World) latency() time.Duration {
	return w.spec.Latency + time.Duration(w.rng.Int64N(int64(w.spec.Latency/2+1)))
}

// send sends a message to another router after a wait. It does nothing if to is nil.
func (w *World) send(from, to *router, e event, wait time.Duration) {
	if to == nil {
		return
	}
	e.router, e.from = to.number, from.number
	latency := w.latency() + wait
	if to == from || len(w.linkFaults) == 0 {
		e.at = w.now + latency
		w.schedule(e)
		return
	}
	w.link.Condition = faults.ConditionOf(w.linkFaults, faults.End{N: from.number}, faults.End{N: to.number})
	if e.kind == deliverVoterMessage { // voters use connections, whose content arrives intact or not at all
		w.link.Clip, w.link.Flip = 0, 0
	}
	w.copies = w.link.Pass(len(e.data), w.copies[:0])
	for _, c := range w.copies {
		damaged := e
		damaged.data = damage(e.data, &c)
		damaged.at = w.now + latency + c.After
		w.schedule(damaged)
	}
}

// damage returns the data of a message as they arrive in one copy: possibly truncated and with a
// flipped bit.
func damage(data []byte, c *faults.Copy) []byte {
	if c.Bytes >= len(data) && c.Flip < 0 {
		return data
	}
	damaged := append([]byte(nil), data[:c.Bytes]...)
	if c.Flip >= 0 {
		damaged[c.Flip/8] ^= 1 << (c.Flip % 8)
	}
	return damaged
}
