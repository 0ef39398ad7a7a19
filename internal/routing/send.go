package routing

import (
	"context"
	"time"

	"reachspread/balance"
)

// Readmitter is a Message whose attempts must each be admitted again right before they are sent,
// because the permission that the request was admitted with may have expired since.
type Readmitter interface {
	// Admit reports whether an attempt may be sent. Retry says that an earlier attempt may have been
	// executed. If ok is false, wait is how long the client should wait before it retries. Admit may
	// block for a moment.
	Admit(retry bool) (ok bool, wait time.Duration)
}

// send starts one attempt. The request's deadline ends an attempt whose answer has not begun. If the
// client leaves, the attempt ends whether its answer has begun or not.
func (r *Router) send(request *Request, action balance.Send) {
	a := &attempt{
		request:  request,
		number:   request.attempts,
		serverID: action.Replica,
		sentAt:   time.Now(),
	}
	request.attempts++
	request.references.Add(1)
	to, ok := r.servingServer(action.Replica)
	if !ok || request.ctx.Err() != nil {
		r.recordOutcome(a, AttemptResult{Result: balance.NotSent})
		return
	}
	go func() {
		if r.admit(a) {
			r.attempt(a, to)
		}
	}()
}

// admit reports whether an attempt may be sent. If not, it rejects the request.
func (r *Router) admit(a *attempt) bool {
	request := a.request
	message, ok := request.message.(Readmitter)
	if !ok {
		return true
	}
	allowed, wait := message.Admit(request.mayHaveExecuted.Load())
	if allowed {
		return true
	}
	request.answer(Answer{Verdict: Rejected, RetryAfter: wait, MayHaveExecuted: request.mayHaveExecuted.Load()})
	r.recordOutcome(a, AttemptResult{Result: balance.NotSent})
	return false
}

// attempt sends an attempt to a server. It answers the request with a stream if the answer begins,
// and records the outcome of the attempt otherwise.
func (r *Router) attempt(a *attempt, to Server) {
	request := a.request
	hooks := SendHooks{
		MaySend: func() bool { return r.isServingAt(to) },
		Written: func() { r.counters.attemptsSent.Add(1) },
	}
	result := r.network.Send(request.ctx, request.deadline, to, request.message, hooks)
	if mayHaveExecuted(result.Result) {
		request.mayHaveExecuted.Store(true)
	}
	if result.Body != nil {
		r.answerWithStream(a, result.Body)
		return
	}
	if result.ServerAnswer != nil {
		request.serverAnswer.Store(result.ServerAnswer)
	}
	if result.RequestInvalid {
		request.answer(Answer{Verdict: Invalid, ServerAnswer: request.serverAnswer.Load()})
	}
	if result.ClientLeft {
		r.Abandon(request)
	}
	r.recordOutcome(a, result)
}

// mayHaveExecuted reports whether a server may have executed an attempt with this result. The other
// results prove that it did not, so that any request may be retried; see balance.Result.
func mayHaveExecuted(result balance.Result) bool {
	return result != balance.Full && result != balance.NoConnection && result != balance.NotSent
}

// probe asks a server for its load, and queues the result for the balancer.
func (r *Router) probe(id string) {
	to, ok := r.servingServer(id)
	if !ok {
		r.post(balance.ProbeResult{Replica: id, Result: balance.NotSent})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.probeTimeout)
		defer cancel()
		result, load := r.network.Probe(ctx, to)
		r.post(balance.ProbeResult{Replica: id, Result: result, Load: load})
	}()
}
