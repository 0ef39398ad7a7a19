package leasesim

import (
	"net/http"
	"time"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// maxActDelay is the longest time between a holder's check of its lease and the act. The holder may
// be frozen in between, which makes the time longer.
const maxActDelay = 2 * time.Millisecond

// beginAct checks a holder's lease. If the lease is valid, it schedules an act and the next check.
func (w *World) beginAct(r *router, role string) {
	token, _, ok := r.agent.Check(r.clock(w.now), role)
	if !ok || r.leases[role] == 0 {
		return
	}
	e := event{router: r.number, generation: r.generation, role: role, token: token}
	act, next := e, e
	act.kind, act.checkedAt = sendAct, w.now
	act.at = w.now + time.Duration(w.rng.Int64N(int64(maxActDelay)))
	next.kind = beginAct
	next.at = w.now + w.spec.ActInterval/2 + time.Duration(w.rng.Int64N(int64(w.spec.ActInterval)))
	w.schedule(act)
	w.schedule(next)
}

// sendAct sends an act to the receiver. It sends nothing for a role with several holders, because
// acts under such a role carry no token that the receiver could check.
func (w *World) sendAct(r *router, e *event) {
	if w.spec.isShared(e.role) {
		return
	}
	latency := w.latency()
	w.link.Condition = faults.ConditionOf(w.linkFaults, faults.End{N: r.number}, faults.End{Kind: faults.AtHost})
	w.copies = w.link.Pass(1, w.copies[:0])
	for _, c := range w.copies {
		w.schedule(event{at: w.now + latency + c.After, kind: receiveAct, from: r.number, role: e.role, token: e.token, checkedAt: e.checkedAt})
	}
}

// handleAct makes the receiver accept an act, or reject it and report the higher token to the sender.
func (w *World) handleAct(e *event) {
	w.Acts++
	status := http.StatusOK
	sender := w.routers[e.from]
	if accepted := w.guard.Accept(e.role, e.token); !accepted && !w.spec.SkipTokenCheck {
		status = http.StatusConflict
		w.RejectedActs++
		if sender.isRunning() {
			w.carryOutAgent(sender, sender.agent.TokenRejected(sender.clock(w.now), e.role, w.guard.Highest(e.role)))
			w.scheduleWakeUp(sender)
		}
	}
	w.emit(history.Event{What: history.Act, Who: "h0", From: sender.name, Text: e.role, Token: e.token, Status: status, LeaseCheckedAt: e.checkedAt.Nanoseconds()})
}
