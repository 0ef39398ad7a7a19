package transport

import (
	"io"
	"sync"
	"time"

	"reachspread/internal/routing"
)

// clientRequest is a client's request in progress, from its acceptance until its answer is sent. It
// may span several router requests: if the answer's stream breaks, another request of the router
// continues it.
type clientRequest struct {
	front     *Front
	conn      *clientConn
	began     time.Time
	bodyBytes int // bytes reserved for its body until it ends

	mu        sync.Mutex
	plan      *Plan
	request   *routing.Request
	abandoned bool
	ended     bool
}

// abandon records that the client has disconnected.
func (r *clientRequest) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned = true
	if !r.ended {
		r.plan.Router.Abandon(r.request)
	}
}

// end ends the request after its client got the answer or disconnected.
func (r *clientRequest) end(a routing.Answer) {
	r.conn.unwatch()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	r.plan.Router.Done(r.request)
	r.plan.end(a)
	r.front.memory.release(r.bodyBytes)
}

// endPanicked ends a request whose handling panicked. Whoever reserved the bytes of its body
// releases them.
func (r *clientRequest) endPanicked() {
	r.bodyBytes = 0
	r.abandon()
	r.end(routing.Answer{Verdict: routing.Failed})
}

// outdated reports whether a request was rejected without being sent and has to be planned again.
func (r *clientRequest) outdated(a routing.Answer) bool {
	return a.Verdict == routing.Rejected && !a.MayHaveExecuted && r.plan.Outdated != nil && r.plan.Outdated()
}

// resume continues a broken answer after the event with the ID after, by a new request. It returns
// nil if the answer can't be continued.
func (r *clientRequest) resume(first *Final, after string) *routing.Stream {
	request := r.acceptResumed(first, after)
	if request == nil {
		return nil
	}
	answer, ok := request.Wait()
	if !ok || answer.Verdict != routing.Served {
		return nil
	}
	return answer.Stream
}

// acceptResumed accepts the request that continues a broken answer and replaces the previous one.
// It returns nil if continuing is not allowed.
func (r *clientRequest) acceptResumed(first *Final, after string) *routing.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.abandoned || r.ended || r.plan.Resume == nil || after == "" {
		return nil
	}
	next, ok := r.plan.Resume(r.plan.Message, first, after)
	if !ok {
		return nil
	}
	request, err := next.Router.Accept(next.Arrival, r.began, next.Message)
	if err != nil {
		return nil
	}
	r.plan.Router.Done(r.request)
	next.Resume, next.Ended = r.plan.Resume, r.plan.Ended
	r.plan, r.request = next, request
	return request
}

// resumable is a body that knows the ID of the last event that was forwarded.
type resumable interface{ LastEvent() string }

// resumingStream is the answer that a client reads. When it is closed, it ends the client's
// request. If the stream breaks, it continues from another server where that is allowed.
type resumingStream struct {
	*routing.Stream
	request *clientRequest
}

// Read implements io.Reader.
func (r *resumingStream) Read(p []byte) (n int, err error) {
	defer r.request.front.limits.Panics.containError("reading an answer", &err)
	for {
		n, err = r.Stream.Read(p)
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
func (r *resumingStream) Close() (err error) {
	defer r.request.front.limits.Panics.containError("closing an answer", &err)
	err = r.Stream.Close()
	r.request.end(routing.Answer{Verdict: routing.Served, Stream: r.Stream})
	return err
}
