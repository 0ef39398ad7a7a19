package transport

import (
	"io"
	"sync"
	"time"

	"reachspread/internal/routing"
)

// errand is one request on its way through the front.
type errand struct {
	front *Front
	conn  *clientConn
	began time.Time
	body  int // bytes of it that are held until the end

	mu      sync.Mutex
	plan    *Plan
	request *routing.Request
	left    bool
	ended   bool
}

// leave notes that the client has gone.
func (e *errand) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left = true; !e.ended {
		e.plan.Router.Abandon(e.request)
	}
}

// end ends the request, whose client has its answer or has gone.
func (e *errand) end(a routing.Answer) {
	e.conn.unwatch()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.plan.Router.Done(e.request)
	e.plan.end(a)
	e.front.memory.give(e.body)
}

// outdated tells that a request was refused unsent because it has to be planned anew.
func (e *errand) outdated(a routing.Answer) bool {
	return a.Verdict == routing.Rejected && !a.MayHaveExecuted && e.plan.Outdated != nil && e.plan.Outdated()
}

// resume has the answer go on behind an event, by a request of its own; nil where it can't.
func (e *errand) resume(first *Final, after string) *routing.Stream {
	request := e.again(first, after)
	if request == nil {
		return nil
	}
	answer, ok := request.Wait()
	if !ok || answer.Verdict != routing.Served {
		return nil
	}
	return answer.Stream
}

// again takes in the request that goes on with a broken answer, in place of the one that brought it so far.
func (e *errand) again(first *Final, after string) *routing.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.left || e.ended || e.plan.Resume == nil || after == "" {
		return nil
	}
	next, ok := e.plan.Resume(e.plan.Message, first, after)
	if !ok {
		return nil
	}
	request, err := next.Router.Accept(next.Arrival, e.began, next.Message)
	if err != nil {
		return nil
	}
	e.plan.Router.Done(e.request)
	next.Resume, next.Ended = e.plan.Resume, e.plan.Ended
	e.plan, e.request = next, request
	return request
}

// resumable is a body that tells which event was passed on last.
type resumable interface{ LastEvent() string }

// relayed ends its request with its stream. A stream that breaks goes on from another server where that is allowed.
type relayed struct {
	*routing.Stream
	errand *errand
}

// Read implements io.Reader.
func (r *relayed) Read(p []byte) (int, error) {
	for {
		n, err := r.Stream.Read(p)
		if n > 0 {
			return n, nil
		}
		if err == nil || err == io.EOF {
			return n, err
		}
		body, ok := r.Stream.Body().(resumable)
		if !ok {
			return n, err
		}
		after, first := body.LastEvent(), FinalOf(r.Stream)
		r.Stream.Close()
		next := r.errand.resume(first, after)
		if next == nil {
			return 0, err
		}
		r.Stream = next
	}
}

// Close implements io.Closer.
func (r *relayed) Close() error {
	err := r.Stream.Close()
	r.errand.end(routing.Answer{Verdict: routing.Served, Stream: r.Stream})
	return err
}
