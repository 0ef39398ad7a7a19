package routing

import (
	"context"
	"sync/atomic"
	"time"

	"reachspread/balance"
)

// Verdict says how a request ended.
type Verdict int

// How a request can end.
const (
	Served     Verdict = iota // answered by a server
	Rejected                  // the client may safely send the request again
	Failed                    // the request may or may not have been executed
	Invalid                   // a server found an error in the request itself
	Abandoned                 // the client left
	HandedOver                // another process has taken over the stream
)

// Answer is the final answer to a request. Fields other than Verdict are set only with the verdicts
// that their comments name.
type Answer struct {
	Verdict         Verdict
	RetryAfter      time.Duration // Rejected: how long the client should wait before it retries, 0 for no advice
	MayHaveExecuted bool          // Rejected: an earlier attempt may have been executed, which did no harm
	Stream          *Stream       // Served: the events as they arrive
	ServerAnswer    any           // Failed, Invalid: the last answer that a server itself gave, nil for none
}

// Request is a client request that is open.
type Request struct {
	id       string // identifies the request to the balancer
	arrival  balance.Arrival
	class    *classCounters // counts how the request ends
	message  Message
	deadline time.Time

	ctx      context.Context // ends when the client has left or the request is done
	cancel   context.CancelFunc
	answered atomic.Bool
	final    chan Answer

	attempts        int          // started so far; only the goroutine of Router.Run uses it
	references      atomic.Int32 // held by the client and by each attempt in flight; see Router.release
	mayHaveExecuted atomic.Bool
	serverAnswer    atomic.Value // the last answer that a server itself gave, empty for none
}

// answer gives the request its final answer, unless it already has one, and reports whether it did.
// No other function gives final answers. It also counts how the request ended, except for an answer
// with a stream, which Stream.Close counts.
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

// Wait waits for the final answer and returns it. If the client leaves first, ok is false and there
// is nobody to answer.
func (r *Request) Wait() (a Answer, ok bool) {
	select {
	case a = <-r.final:
		return a, true
	case <-r.ctx.Done():
	}
	// If an answer arrived at the same time, return it: the caller must close its stream.
	if r.answered.CompareAndSwap(false, true) {
		r.class.countEnded(Abandoned)
		return a, false
	}
	return <-r.final, true
}
