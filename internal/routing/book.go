package routing

import (
	"time"

	"reachspread/balance"
)

// attempt is one attempt of a request.
type attempt struct {
	request *Request
	number  int
	to      string    // the server's id
	sent    time.Time // that it was given to the network
}

// book tells the module how an attempt ended that gave its client nothing.
func (r *Router) book(s *attempt, h Head) {
	r.post(balance.Outcome{ID: s.request.id, Attempt: s.number, Result: h.Result, Load: h.Load,
		Final: s.request.answered.Load() || s.request.ctx.Err() != nil})
	r.release(s.request)
}

// bookStream tells the module how an attempt ended whose answer had begun. That closes the request either way.
func (r *Router) bookStream(s *attempt, h Head, kept float64) {
	r.post(balance.Outcome{ID: s.request.id, Attempt: s.number, Result: h.Result, Load: h.Load, CachedTokens: kept, Final: true})
	r.release(s.request)
}
