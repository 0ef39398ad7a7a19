package routing

import (
	"strings"

	"reachspread/balance"
)

// carryOut carries out one action that the balancer or the gate returned. It runs on the goroutine of
// Run and never blocks.
func (r *Router) carryOut(action balance.Action) {
	switch a := action.(type) {
	case balance.Send:
		r.send(r.request(a.ID), a)
	case balance.Reject:
		r.rejected.Add(1)
		request := r.request(a.ID)
		request.answer(Answer{Verdict: Rejected, RetryAfter: a.RetryAfter, MayHaveExecuted: request.mayHaveExecuted.Load()})
	case balance.Fail:
		request := r.request(a.ID)
		request.answer(Answer{Verdict: Failed, ServerAnswer: request.serverAnswer.Load()})
	case balance.Probe:
		r.probe(a.Replica)
	case balance.SendReports:
		r.sendReports(a)
	case balance.Log:
		r.logDecision(a.Text)
	case balance.Subscribe:
		// The process watches discovery from start to exit, so there is nothing to subscribe to.
	}
}

// request returns the open request with an ID, nil for none. Every request that an action of the
// balancer names is still open, see release.
func (r *Router) request(id string) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id]
}

// logDecision logs a line from the balancer, which has the form "event: replica".
func (r *Router) logDecision(text string) {
	event, replica, _ := strings.Cut(text, ": ")
	if event == "back" {
		r.log.Info(event, "server", replica)
		return
	}
	r.log.Warn(event, "server", replica)
}
