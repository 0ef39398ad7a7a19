package routing

import (
	"strings"

	"reachspread/balance"
)

// carryOut carries out one action of the decisions. It runs on their goroutine and never waits.
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
		// Discovery is watched from the start to the end, so there is nothing to ask for.
	}
}

// request returns a request that the decisions name. It is there: see release.
func (r *Router) request(id string) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id]
}

// logDecision logs a line of the decisions, of the form "event: replica".
func (r *Router) logDecision(text string) {
	event, replica, _ := strings.Cut(text, ": ")
	if event == "back" {
		r.log.Info(event, "server", replica)
		return
	}
	r.log.Warn(event, "server", replica)
}
