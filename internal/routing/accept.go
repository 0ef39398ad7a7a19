package routing

import (
	"context"
	"errors"
	"time"

	"reachspread/balance"
)

// ErrDuplicateID says that another open request has the same ID. The platform generates a new ID for
// each request, so the client is at fault.
var ErrDuplicateID = errors.New("the id is that of an open request")

// Accept starts a request. Its time left counts from began, when its first byte arrived and its
// client began to wait. The caller must call Done once, unless Accept returns an error, which is
// ErrDuplicateID.
func (r *Router) Accept(a balance.Arrival, began time.Time, m Message) (*Request, error) {
	ctx, cancel := context.WithCancel(context.Background())
	request := &Request{
		id:       a.ID,
		arrival:  a,
		class:    r.counters.forClass(a.Class),
		message:  m,
		deadline: began.Add(a.TimeLeft),
		ctx:      ctx,
		cancel:   cancel,
		final:    make(chan Answer, 1),
	}
	request.references.Store(1)
	if err := r.register(request); err != nil {
		cancel()
		return nil, err
	}
	r.counters.open.Add(1)
	return request, nil
}

// register queues a request for the balancer, or returns ErrDuplicateID if its ID is in use. The
// balancer would ignore a second request with the same ID and never answer it, and a server would
// take it for a retry of the first.
func (r *Router) register(request *Request) error {
	r.mu.Lock()
	if r.requests[request.id] != nil {
		r.mu.Unlock()
		return ErrDuplicateID
	}
	r.requests[request.id] = request
	r.mu.Unlock()
	request.class.countAccepted() // before the request can end
	request.arrival.TimeLeft = time.Until(request.deadline)
	r.post(request.arrival)
	return nil
}

// Abandon cancels the attempts of a request whose client has disconnected.
func (r *Router) Abandon(request *Request) {
	request.cancel()
	r.post(balance.Aborted{ID: request.id})
}

// Withdraw rejects a request if nothing of it was sent yet, so that the caller can plan it again and
// submit it in another form. The Admit method of its message must allow no attempt from then on,
// because an attempt may start at the same time.
func (r *Router) Withdraw(id string) {
	request := r.request(id)
	if request == nil || request.references.Load() > 1 || request.mayHaveExecuted.Load() {
		return
	}
	if request.answer(Answer{Verdict: Rejected}) {
		r.post(balance.Aborted{ID: id})
	}
}

// Done ends a request whose client has got its answer or has disconnected.
func (r *Router) Done(request *Request) {
	request.cancel()
	r.counters.open.Add(-1)
	r.release(request)
}

// release drops one reference to a request. The client holds one reference, and so does each attempt
// in flight. When the last reference is dropped, the request is removed from the open requests, but
// only after the balancer has handled its last event: until then the balancer may still return
// actions for its ID, and would ignore a new request with that ID.
func (r *Router) release(request *Request) {
	if request.references.Add(-1) > 0 {
		return
	}
	r.mu.Lock()
	r.ended = append(r.ended, request)
	r.mu.Unlock()
	r.signal()
}

// forget removes requests that have ended. A request ends twice if its client leaves while send starts
// an attempt: the references then drop to zero once before the attempt and once after it. By the
// second time another request may have the same ID, so forget compares the requests.
func (r *Router) forget(ended []*Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range ended {
		if r.requests[request.id] == request {
			delete(r.requests, request.id)
		}
	}
}
