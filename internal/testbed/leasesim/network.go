package leasesim

import (
	"time"

	"reachspread/internal/testbed/faults"
)

// latency draws how long a message takes.
func (w *World) latency() time.Duration {
	return w.spec.Latency + time.Duration(w.rng.Int64N(int64(w.spec.Latency/2+1)))
}

// send sends a message to another router, nil for none, once it has waited for something.
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
	if e.kind == toVoters { // a connection's content comes complete or not at all
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

// damage returns a message's data as a copy of it has them.
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
