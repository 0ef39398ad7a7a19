package routing

import (
	"time"

	"reachspread/balance"
)

// scheduling is one attempt of a flow.
type scheduling struct {
	flow   *Flow
	number int
	to     string    // the real server's id
	sent   time.Time // that it was given to the network
}

// book tells the module how a scheduling ended that gave its client nothing.
func (r *Router) book(s *scheduling, h Head) {
	r.post(balance.Outcome{ID: s.flow.id, Attempt: s.number, Result: h.Result, Load: h.Load,
		Final: s.flow.answered.Load() || s.flow.ctx.Err() != nil})
	r.release(s.flow)
}

// bookStream tells the module how a scheduling ended whose answer had begun. That closes the flow either way.
func (r *Router) bookStream(s *scheduling, h Head, kept float64) {
	r.post(balance.Outcome{ID: s.flow.id, Attempt: s.number, Result: h.Result, Load: h.Load, Kept: kept, Final: true})
	r.release(s.flow)
}
