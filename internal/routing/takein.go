package routing

import (
	"context"
	"time"

	"reachspread/balance"
)

// TakeIn starts a request for a request whose first byte came at the time given, from which on its client waits. Its
// caller owes one call of Done, unless there is an error.
func (r *Router) TakeIn(a balance.Arrival, began time.Time, m Message) (*Request, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Request{id: a.ID, arrival: a, class: r.figures.of(a.Class), message: m, deadline: began.Add(a.TimeLeft), ctx: ctx, cancel: cancel, final: make(chan Answer, 1)}
	f.holds.Store(1)
	if err := r.admit(f); err != nil {
		cancel()
		return nil, err
	}
	r.figures.open.Add(1)
	return f, nil
}

// Leave notes that the client of a request has gone: the module is told and what is out is given up.
func (r *Router) Leave(f *Request) {
	f.cancel()
	r.post(balance.Aborted{ID: f.id})
}

// Withdraw refuses a request of which nothing was sent so far, as its sender has to bring it in another form. Its message must not be
// Admitted any more by then: an attempt may begin meanwhile.
func (r *Router) Withdraw(id string) {
	f := r.request(id)
	if f == nil || f.holds.Load() > 1 || f.ran.Load() {
		return
	}
	if f.answer(Answer{Verdict: Refused}) {
		r.post(balance.Aborted{ID: id})
	}
}

// Done ends a request whose client has its answer, or has gone.
func (r *Router) Done(f *Request) {
	f.cancel()
	r.figures.open.Add(-1)
	r.release(f)
}

// release gives up one of the holds on a request: its client has one, and so has each attempt that is out. The
// last one gone, the request is forgotten, but not before the module has decided on its last event: until then the
// module may still name it, and would pass over a new request of that name.
func (r *Router) release(f *Request) {
	if f.holds.Add(-1) > 0 {
		return
	}
	r.mu.Lock()
	r.ended = append(r.ended, f)
	r.mu.Unlock()
	r.rouse()
}

// forget drops requests that have ended. A client that leaves while its request is being sent ends it twice, and by the
// second time another request may have the name.
func (r *Router) forget(ended []*Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range ended {
		if r.requests[f.id] == f {
			delete(r.requests, f.id)
		}
	}
}
