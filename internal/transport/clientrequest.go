package transport

import (
	"io"
	"sync"
	"time"

	"reachspread/internal/routing"
)

// clientRequest is a client's request that is under way, from its acceptance until its answer has
// gone out. It outlives the attempts: a broken stream goes on under another request of the router.
type clientRequest struct {
	front     *Front
	conn      *clientConn
	began     time.Time
	bodyBytes int // reserved for its body until the end

	mu        sync.Mutex
	plan      *Plan
	request   *routing.Request
	abandoned bool
	ended     bool
}

// abandon says that the client has gone.
func (e *clientRequest) abandon() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned = true
	if !e.ended {
		e.plan.Router.Abandon(e.request)
	}
}

// end ends the request, whose client has its answer or has gone.
func (e *clientRequest) end(a routing.Answer) {
	e.conn.unwatch()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	e.ended = true
	e.plan.Router.Done(e.request)
	e.plan.end(a)
	e.front.memory.release(e.bodyBytes)
}

// outdated reports whether a request was rejected, unsent, because it has to be planned again.
func (e *clientRequest) outdated(a routing.Answer) bool {
	return a.Verdict == routing.Rejected && !a.MayHaveExecuted && e.plan.Outdated != nil && e.plan.Outdated()
}

// resume has a broken answer go on after an event, by a request of its own; nil if it can't.
func (e *clientRequest) resume(first *Final, after string) *routing.Stream {
	request := e.acceptResumed(first, after)
	if request == nil {
		return nil
	}
	answer, ok := request.Wait()
	if !ok || answer.Verdict != routing.Served {
		return nil
	}
	return answer.Stream
}

// acceptResumed accepts the request that goes on with a broken answer, in place of the one before;
// nil if there may be none.
func (e *clientRequest) acceptResumed(first *Final, after string) *routing.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.abandoned || e.ended || e.plan.Resume == nil || after == "" {
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

// resumable is a body that knows the last event that was forwarded.
type resumable interface{ LastEvent() string }

// resumingStream is the answer that a client reads. It ends the client's request with its own end.
// A stream that breaks goes on from another server where that is allowed.
type resumingStream struct {
	*routing.Stream
	request *clientRequest
}

// Read implements io.Reader.
func (r *resumingStream) Read(p []byte) (int, error) {
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
		next := r.request.resume(first, after)
		if next == nil {
			return 0, err
		}
		r.Stream = next
	}
}

// Close implements io.Closer.
func (r *resumingStream) Close() error {
	err := r.Stream.Close()
	r.request.end(routing.Answer{Verdict: routing.Served, Stream: r.Stream})
	return err
}
