package routing

import (
	"context"
	"time"

	"reachspread/balance"
)

// Readmitter is a message each attempt of which has to be allowed right before it is sent, as what
// the request was admitted by may have lapsed since.
type Readmitter interface {
	// Admit reports whether an attempt may be sent; retry says that one before may have executed.
	// If it may not, wait is when the client should come back. Admit may block for a moment.
	Admit(retry bool) (ok bool, wait time.Duration)
}

// send starts one attempt. The request's deadline ends it until its answer has begun; the client's
// leaving ends it at any time.
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

// admit reports whether an attempt may be sent. If not, its request is rejected.
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

// attempt sends an attempt, and answers its request or records how the attempt ended.
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

// mayHaveExecuted reports whether an attempt that ended so may have executed. After the other
// results any request may be retried; see balance.Result.
func mayHaveExecuted(result balance.Result) bool {
	return result != balance.Full && result != balance.NoConnection && result != balance.NotSent
}

// probe asks a server for its load, for the decisions.
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
