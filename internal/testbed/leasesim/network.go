package leasesim

import (
	"time"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// land is an act at its receiver.
func (w *World) land(e *event) {
	w.Acts++
	status := 200
	if pass := w.fence.Pass(e.duty, e.token); !pass && !w.s.NoFence {
		status = 409
		w.Refused++
		if r := w.routers[e.from]; r.lives && r.still == 0 {
			w.asked(r, r.agent.Refused(r.clock(w.now), e.duty, w.fence.Highest(e.duty)))
			w.wake(r)
		}
	}
	w.emit(history.Event{What: history.Act, Who: "h0", From: w.routers[e.from].name, Text: e.duty, Token: e.token, Status: status, Begun: e.checked.Nanoseconds()})
}

func (w *World) way() time.Duration {
	return w.s.Way + time.Duration(w.rng.Int64N(int64(w.s.Way/2+1)))
}

// send has a message go to another router, later by what it waits for.
func (w *World) send(r, to *router, e event, later time.Duration) {
	if to == nil {
		return
	}
	e.n, e.from = to.n, r.n
	way := w.way() + later
	if to == r || len(w.on) == 0 {
		e.at = w.now + way
		w.put(e)
		return
	}
	w.link.Condition = faults.ConditionOf(w.on, faults.End{N: r.n}, faults.End{N: to.n})
	if e.do == toVoters { // a connection's content comes whole or not at all
		w.link.Clip, w.link.Flip = 0, 0
	}
	w.copies = w.link.Pass(len(e.data), w.copies[:0])
	for _, c := range w.copies {
		x := e
		if c.Bytes < len(e.data) || c.Flip >= 0 {
			x.data = append([]byte(nil), e.data[:c.Bytes]...)
			if c.Flip >= 0 {
				x.data[c.Flip/8] ^= 1 << (c.Flip % 8)
			}
		}
		x.at = w.now + way + c.After
		w.put(x)
	}
}
