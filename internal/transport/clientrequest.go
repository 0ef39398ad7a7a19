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
func (r *clientRequest) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.abandoned = true
	if !r.ended {
		r.plan.Router.Abandon(r.request)
	}
}

// end ends the request, whose client has its answer or has gone.
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

// outdated reports whether a request was rejected, unsent, because it has to be planned again.
func (r *clientRequest) outdated(a routing.Answer) bool {
	return a.Verdict == routing.Rejected && !a.MayHaveExecuted && r.plan.Outdated != nil && r.plan.Outdated()
}

// resume has a broken answer go on after an event, by a request of its own; nil if it can't.
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

// acceptResumed accepts the request that goes on with a broken answer, in place of the one before;
// nil if there may be none.
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
