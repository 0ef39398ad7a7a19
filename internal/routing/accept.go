package routing

import (
	"context"
	"errors"
	"time"

	"reachspread/balance"
)

// ErrDuplicateID says that another request under way has the ID. The platform makes a new ID for
// each request, so this client is at fault.
var ErrDuplicateID = errors.New("the id is that of an open request")

// Accept starts a request whose first byte came at the time given, from which on its client waits.
// Its caller owes one call of Done, unless there is an error, which is ErrDuplicateID.
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

// register leaves a request to the decisions, unless its ID is in use: the decisions would ignore a
// second request of one ID and never answer it, and a server would take it for a retry of the
// first.
func (r *Router) register(request *Request) error {
	r.mu.Lock()
	if r.requests[request.id] != nil {
		r.mu.Unlock()
		return ErrDuplicateID
	}
	r.requests[request.id] = request
	r.mu.Unlock()
	request.class.countAccepted() // before anything can end it
	request.arrival.TimeLeft = time.Until(request.deadline)
	r.post(request.arrival)
	return nil
}

// Abandon says that the client of a request has gone: its attempts are cancelled.
func (r *Router) Abandon(request *Request) {
	request.cancel()
	r.post(balance.Aborted{ID: request.id})
}

// Withdraw rejects a request of which nothing was sent yet, as its sender has to bring it in
// another form. From then on Admit of its message must allow no attempt: one may begin meanwhile.
func (r *Router) Withdraw(id string) {
	request := r.request(id)
	if request == nil || request.references.Load() > 1 || request.mayHaveExecuted.Load() {
		return
	}
	if request.answer(Answer{Verdict: Rejected}) {
		r.post(balance.Aborted{ID: id})
	}
}

// Done ends a request whose client has its answer, or has gone.
func (r *Router) Done(request *Request) {
	request.cancel()
	r.counters.open.Add(-1)
	r.release(request)
}

// release gives up one reference to a request: its client has one, and so has each attempt in
// flight. Without references the request is forgotten, but only after a decision on its last event:
// until then the decisions may still name it, and would ignore a new request of its ID.
func (r *Router) release(request *Request) {
	if request.references.Add(-1) > 0 {
		return
	}
	r.mu.Lock()
	r.ended = append(r.ended, request)
	r.mu.Unlock()
	r.signal()
}

// forget removes requests that have ended. A client that leaves while its request is being sent
// ends it twice, and by the second time another request may have the ID.
func (r *Router) forget(ended []*Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, request := range ended {
		if r.requests[request.id] == request {
			delete(r.requests, request.id)
		}
	}
}
