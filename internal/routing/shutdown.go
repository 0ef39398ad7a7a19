package routing

import (
	"time"

	"reachspread/balance"
)

// AnswerOpen gives a final answer to every request that has none, and from then on to every new
// request. A process calls it when it is about to be killed. A client that gets an answer can send
// its request again at once, but a client whose connection just closes can't know what happened to
// its request.
//
// A request that no server can have executed is rejected, and its client is told to retry after
// retryAfter. A request that a server may have executed fails. Streams that have begun continue.
func (r *Router) AnswerOpen(retryAfter time.Duration) {
	r.closing.Store(&closingAnswer{retryAfter})
	r.signal()
}

// closingAnswer holds the advice for clients that AnswerOpen was called with.
type closingAnswer struct{ retryAfter time.Duration }

// answerOpen answers all open requests if AnswerOpen was called. It runs on the goroutine of Run, so
// no attempt can start at the same time.
func (r *Router) answerOpen() {
	closing := r.closing.Load()
	if closing == nil {
		return
	}
	answered := 0
	for _, request := range r.unanswered() {
		answer := Answer{Verdict: Failed, ServerAnswer: request.serverAnswer.Load()}
		if !request.inFlight() && !request.mayHaveExecuted.Load() {
			answer = Answer{Verdict: Rejected, RetryAfter: closing.retryAfter}
		}
		if !request.answer(answer) {
			continue // the request got another answer, such as a stream, meanwhile
		}
		request.cancel()
		r.post(balance.Aborted{ID: request.id})
		answered++
	}
	if answered > 0 {
		r.log.Warn("open requests answered before exit", "count", answered)
	}
}

// unanswered returns the requests that have no final answer yet.
func (r *Router) unanswered() (open []*Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range r.requests {
		if !request.answered.Load() {
			open = append(open, request)
		}
	}
	return open
}

// inFlight reports whether an attempt of the request is in flight.
func (r *Request) inFlight() bool { return r.references.Load() > 1 }
