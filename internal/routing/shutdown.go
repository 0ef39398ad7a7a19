package routing

import (
	"time"

	"reachspread/balance"
)

// AnswerOpen gives every request without an answer its final one, and from then on each further
// request as it comes. It is for a process that is about to be killed: a client that gets an answer
// may send its request again at once, and one whose connection just ends can't know what became of
// it. A request of which nothing was sent is rejected, with the advice when to come back; one that
// a server may be executing fails. Streams that have begun go on.
func (r *Router) AnswerOpen(retryAfter time.Duration) {
	r.closing.Store(&closingAnswer{retryAfter})
	r.signal()
}

// closingAnswer is what AnswerOpen advises.
type closingAnswer struct{ retryAfter time.Duration }

// answerOpen answers all open requests once AnswerOpen was called. It runs on the goroutine of the
// decisions, so no attempt can begin meanwhile.
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
			continue // its stream has begun meanwhile
		}
		request.cancel()
		r.post(balance.Aborted{ID: request.id})
		answered++
	}
	if answered > 0 {
		r.log.Warn("requests ended with the process", "count", answered)
	}
}

// unanswered returns the requests that have no final answer.
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

// inFlight reports whether an attempt of the request is under way.
func (r *Request) inFlight() bool { return r.references.Load() > 1 }
