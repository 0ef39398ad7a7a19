package routing

import (
	"time"

	"reachspread/balance"
)

// attempt is one attempt to send a request to a server.
type attempt struct {
	request  *Request
	number   int // index of the attempt within the request, from 0
	serverID string
	sentAt   time.Time // when the attempt started, before it was admitted and sent
}

// recordOutcome queues the outcome of an attempt whose answer did not begin. The balancer then decides
// whether to retry, reject or fail the request, unless the request has its final answer or its client
// has left.
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

// recordStreamOutcome queues the outcome of an attempt whose answer had begun. Whatever the outcome,
// it is the last event of the request.
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
