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
	TurnedDown
	Failed
	Unfit  // the request itself is at fault, by a real server's word
	Nobody // was left to be answered
	Moved  // to another process, which goes on with the stream
)

// Answer is the final answer to a flow.
type Answer struct {
	Verdict Verdict
	Wait    time.Duration // TurnedDown: when to come back, 0 for no advice
	Stream  *Stream       // Served: the events as they come
}

// Flow is one client request on its way through the router.
type Flow struct {
	id       string // the module's name for it
	arrival  balance.Arrival
	class    *class // counts its end
	message  Message
	deadline time.Time

	ctx      context.Context // ends when the client has gone
	cancel   context.CancelFunc
	answered atomic.Bool
	final    chan Answer
	tries    int          // schedulings so far; the deciding goroutine's
	holds    atomic.Int32 // of the client and of each scheduling that is out
}

// answer gives the flow its final answer and reports whether it was the first. This is the only place that does, and
// the one that counts it, but for a stream, whose end tells whether the flow was served.
func (f *Flow) answer(a Answer) bool {
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
func (f *Flow) Wait() (a Answer, ok bool) {
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
