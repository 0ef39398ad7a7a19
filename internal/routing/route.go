package routing

import (
	"strings"

	"reachspread/balance"
)

// route carries out one action of the module. It runs on the deciding goroutine and never waits.
func (r *Router) route(action balance.Action) {
	switch a := action.(type) {
	case balance.Send:
		r.send(r.request(a.ID), a)
	case balance.Reject:
		r.refused.Add(1)
		f := r.request(a.ID)
		f.answer(Answer{Verdict: Refused, Wait: a.RetryAfter, Ran: f.ran.Load()})
	case balance.Fail:
		f := r.request(a.ID)
		f.answer(Answer{Verdict: Failed, Final: f.word.Load()})
	case balance.Probe:
		r.probe(a.Replica)
	case balance.SendReports:
		r.tell(a)
	case balance.Log:
		r.tellDecision(a.Text)
	case balance.Subscribe:
		// Discovery is watched from the start to the end, so there is nothing to ask for.
	}
}

// request returns a request that the module names. It is there: see release.
func (r *Router) request(id string) *Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.requests[id]
}

// tellDecision logs the module's own words, of the form "event: replica".
func (r *Router) tellDecision(text string) {
	event, replica, _ := strings.Cut(text, ": ")
	if event == "back" {
		r.log.Info(event, "server", replica)
		return
	}
	r.log.Warn(event, "server", replica)
}
