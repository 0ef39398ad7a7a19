package routing

import (
	"errors"
	"time"
)

// ErrInUse says that another request has the id. Ids are fresh by the platform's word, so this client is at fault.
var ErrInUse = errors.New("the id is that of an open request")

// admit names the request to the module, unless its id is in use: the module would pass over a second request of one
// name and never answer it, and a server would take it for a copy of the first.
func (r *Router) admit(f *Request) error {
	r.mu.Lock()
	if r.requests[f.id] != nil {
		r.mu.Unlock()
		return ErrInUse
	}
	r.requests[f.id] = f
	r.mu.Unlock()
	f.class.take() // before anything can end it
	f.arrival.TimeLeft = time.Until(f.deadline)
	r.post(f.arrival)
	return nil
}
