package routing

import (
	"context"
	"time"

	"reachspread/balance"
)

// send starts one attempt. The request's deadline ends it until its answer has begun; its client's leaving ends
// it at any time.
func (r *Router) send(f *Request, a balance.Send) {
	s := &attempt{request: f, number: f.tries, to: a.Replica, sent: time.Now()}
	f.tries++
	f.holds.Add(1)
	to, ok := r.ready(a.Replica)
	if !ok || f.ctx.Err() != nil {
		r.book(s, Head{Result: balance.NotSent})
		return
	}
	go func() {
		if !r.admitted(s) {
			return
		}
		head := r.network.Schedule(f.ctx, f.deadline, to, f.message, func() { r.figures.relayed.Add(1) })
		if mayHaveRun(head.Result) {
			f.ran.Store(true)
		}
		if head.Body != nil {
			r.relay(s, head.Body)
			return
		}
		if head.Final != nil {
			f.word.Store(head.Final)
		}
		if head.Unfit {
			f.answer(Answer{Verdict: Unfit, Final: f.word.Load()})
		}
		if head.Left {
			r.Leave(f)
		}
		r.book(s, head)
	}()
}

// probe asks a server for its load and tells the module.
func (r *Router) probe(id string) {
	to, ok := r.ready(id)
	if !ok {
		r.post(balance.ProbeResult{Replica: id, Result: balance.NotSent})
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), r.probeFor)
		defer cancel()
		result, load := r.network.Probe(ctx, to)
		r.post(balance.ProbeResult{Replica: id, Result: result, Load: load})
	}()
}

// Admitted is a message whose sending has to be allowed again, right before: where something that it was given may have run out since.
type Admitted interface {
	// Admit allows an attempt; again says that one before may have run. Where it does not, it says when the client should come back. It
	// may wait for a moment.
	Admit(again bool) (ok bool, wait time.Duration)
}

// admitted tells whether an attempt may be sent. If not, its request is refused.
func (r *Router) admitted(s *attempt) bool {
	m, ok := s.request.message.(Admitted)
	if !ok {
		return true
	}
	allowed, wait := m.Admit(s.request.ran.Load())
	if allowed {
		return true
	}
	s.request.answer(Answer{Verdict: Refused, Wait: wait, Ran: s.request.ran.Load()})
	r.book(s, Head{Result: balance.NotSent})
	return false
}

// mayHaveRun tells whether an attempt that ended so may have been worked on.
func mayHaveRun(result balance.Result) bool {
	return result != balance.Full && result != balance.NoConnection && result != balance.NotSent
}
