package routing

import (
	"context"
	"sync/atomic"
	"time"

	"reachspread/balance"
)

// Verdict is the kind of a final answer.
type Verdict int

// The final answers.
const (
	Served     Verdict = iota
	Rejected           // sending the request again does no harm
	Failed             // says nothing of whether the request has executed
	Invalid            // the request itself is at fault, as a server found
	Abandoned          // by its client
	HandedOver         // another process goes on with the stream
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict         Verdict
	RetryAfter      time.Duration // Rejected: when to come back, 0 for no advice
	MayHaveExecuted bool          // Rejected: a server may have executed it before, which did no harm
	Stream          *Stream       // Served: the events as they come
	ServerAnswer    any           // Failed, Invalid: the last answer of a server's own, nil for none
}

// Request is a client request that is under way.
type Request struct {
	id       string // in the decisions
	arrival  balance.Arrival
	class    *classCounters // counts its end
	message  Message
	deadline time.Time

	ctx      context.Context // ends when the client has gone
	cancel   context.CancelFunc
	answered atomic.Bool
	final    chan Answer

	attempts        int          // so far; for the goroutine of Router.Run alone
	references      atomic.Int32 // of the client and of each attempt in flight; see Router.release
	mayHaveExecuted atomic.Bool
	serverAnswer    atomic.Value // the last answer of a server's own, nothing for none
}

// answer gives the request its final answer and reports whether it was the first. This is the only
// place that does. It also counts how the request ended, except for a stream, whose end says that.
func (r *Request) answer(a Answer) bool {
	if !r.answered.CompareAndSwap(false, true) {
		return false
	}
	if a.Stream == nil {
		r.class.countEnded(a.Verdict)
	}
	r.final <- a
	return true
}

// Wait returns the final answer; ok is false if the client has gone and nobody is to be answered.
func (r *Request) Wait() (a Answer, ok bool) {
	select {
	case a = <-r.final:
		return a, true
	case <-r.ctx.Done():
	}
	// The answer may have come at the same time: somebody must end a stream.
	if r.answered.CompareAndSwap(false, true) {
		r.class.countEnded(Abandoned)
		return a, false
	}
	return <-r.final, true
}
