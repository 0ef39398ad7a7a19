package routing

import (
	"time"

	"reachspread/balance"
)

// attempt is one attempt of a request.
type attempt struct {
	request  *Request
	number   int // from 0
	serverID string
	sentAt   time.Time // when it was given to the network
}

// recordOutcome gives the decisions the outcome of an attempt whose answer did not begin. They
// retry or answer the request unless it has its final answer or its client has gone.
func (r *Router) recordOutcome(a *attempt, result AttemptResult) {
	final := a.request.answered.Load() || a.request.ctx.Err() != nil
	r.post(balance.Outcome{
		ID:      a.request.id,
		Attempt: a.number,
		Result:  result.Result,
		Load:    result.Load,
		Final:   final,
	})
	r.release(a.request)
}

// recordStreamOutcome gives the decisions the outcome of an attempt whose answer had begun. That
// closes the request in any case.
func (r *Router) recordStreamOutcome(a *attempt, result AttemptResult, cachedTokens float64) {
	r.post(balance.Outcome{
		ID:           a.request.id,
		Attempt:      a.number,
		Result:       result.Result,
		Load:         result.Load,
		CachedTokens: cachedTokens,
		Final:        true,
	})
	r.release(a.request)
}
