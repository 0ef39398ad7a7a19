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
	Served Verdict = iota
	Refused
	Failed
	Unfit  // the request itself is at fault, by a server's word
	Nobody // was left to be answered
	Moved  // to another process, which goes on with the stream
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict Verdict
	Wait    time.Duration // Refused: when to come back, 0 for no advice
	Stream  *Stream       // Served: the events as they come
	Final   any           // Failed, Unfit: the last answer of a server's own, nil for none
	Ran     bool          // Refused: a server may have run it before, which did no harm
}

// Request is one client request on its way through the router.
type Request struct {
	id       string // the module's name for it
	arrival  balance.Arrival
	class    *class // counts its end
	message  Message
	deadline time.Time

	ctx      context.Context // ends when the client has gone
	cancel   context.CancelFunc
	answered atomic.Bool
	final    chan Answer
	ran      atomic.Bool  // an attempt may have run
	word     atomic.Value // the last answer of a server's own, nothing for none
	tries    int          // attempts so far; the deciding goroutine's
	holds    atomic.Int32 // of the client and of each attempt that is out
}

// answer gives the request its final answer and reports whether it was the first. This is the only place that does, and
// the one that counts it, but for a stream, whose end tells whether the request was served.
func (f *Request) answer(a Answer) bool {
	if !f.answered.CompareAndSwap(false, true) {
		return false
	}
	if a.Stream == nil {
		f.class.end(a.Verdict)
	}
	f.final <- a
	return true
}

// Wait returns the final answer; ok is false if the client has gone and nobody is to be answered.
func (f *Request) Wait() (a Answer, ok bool) {
	select {
	case a = <-f.final:
		return a, true
	case <-f.ctx.Done():
	}
	// The answer may have come at the same time: a stream must be ended by someone.
	if f.answered.CompareAndSwap(false, true) {
		f.class.end(Nobody)
		return a, false
	}
	return <-f.final, true
}
