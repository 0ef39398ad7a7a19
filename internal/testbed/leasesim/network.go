package leasesim

import (
	"time"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// land is an act at its receiver.
func (w *World) handleAct(e *event) {
	w.Acts++
	status := 200
	if pass := w.guard.Accept(e.role, e.token); !pass && !w.spec.SkipTokenCheck {
		status = 409
		w.Refused++
		if r := w.routers[e.from]; r.alive && r.frozenCount == 0 {
			w.carryOutAgent(r, r.agent.TokenRejected(r.clock(w.now), e.role, w.guard.Highest(e.role)))
			w.scheduleWakeUp(r)
		}
	}
	w.emit(history.Event{What: history.Act, Who: "h0", From: w.routers[e.from].name, Text: e.role, Token: e.token, Status: status, Begun: e.checkedAt.Nanoseconds()})
}

func (w *World) latency() time.Duration {
	return w.spec.Latency + time.Duration(w.rng.Int64N(int64(w.spec.Latency/2+1)))
}

// send has a message go to another router, later by what it waits for.
func (w *World) send(r, to *router, e event, later time.Duration) {
	if to == nil {
		return
	}
	e.router, e.from = to.number, r.number
	way := w.latency() + later
	if to == r || len(w.linkFaults) == 0 {
		e.at = w.now + way
		w.schedule(e)
		return
	}
	w.link.Condition = faults.ConditionOf(w.linkFaults, faults.End{N: r.number}, faults.End{N: to.number})
	if e.kind == toVoters { // a connection's content comes whole or not at all
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
		w.schedule(x)
	}
}
