package lease

import "time"

// Holder is one router's side of one grant. Its zero value holds nothing.
type Lease struct {
	timing    Timing
	grant     Grant
	validFrom time.Duration // before the request was sent that the voters answered last
	valid     bool
}

// NewHolder returns a Holder that holds nothing yet.
func NewLease(t Timing) *Lease { return &Lease{timing: t} }

// Granted takes the voters' word that a grant stands. Sent is when the request was sent that they answer, on the own clock: the
// lease counts from there. An answer to an older request than the last one that counted shortens nothing, and one for an older
// grant is passed over.
func (h *Lease) Extend(sent time.Duration, g Grant) {
	switch {
	case h.valid && g.Token < h.grant.Token:
		return
	case h.valid && g.Token == h.grant.Token:
		h.validFrom = max(h.validFrom, sent)
		h.grant.Renewals = max(h.grant.Renewals, g.Renewals)
		return
	}
	h.grant, h.validFrom, h.valid = g, sent, true
}

// Lost takes the voters' word that a grant is no more, or the holder's own that it gives it back.
func (h *Lease) Revoke(token uint64) {
	if h.valid && token >= h.grant.Token {
		h.valid = false
	}
}

// ends is when the grant must not be acted on any more.
func (h *Lease) expiry() time.Duration {
	return h.validFrom + h.timing.Duration - h.timing.ClockAllowance
}

// Begin is asked right before each act. It answers with the token that the act must carry and with how long the act may take, or with
// no. A clock that is behind what the lease began with is in doubt, and a holder in doubt stops.
func (h *Lease) Check(now time.Duration) (token uint64, within time.Duration, ok bool) {
	if !h.valid || now < h.validFrom || now >= h.expiry()-h.timing.Margin {
		return 0, 0, false
	}
	return h.grant.Token, h.expiry() - now, true
}

// RenewAt is when the lease is to be renewed: just over half of it, so that a holder costs less than two messages a second with a lease of
// 2 s, and what is left is enough for an election of the voters.
func (h *Lease) RenewAt() (at time.Duration, ok bool) {
	return h.validFrom + h.timing.Duration*51/100, h.valid
}

// Grant returns what is held as far as the holder knows, over or not.
func (h *Lease) Grant() (Grant, bool) { return h.grant, h.valid }

// Fence is what a receiver keeps for each duty: it lets a token pass that is not lower than any before.
type TokenGuard struct{ highest map[string]uint64 }

// Highest is the largest token that was let pass for a duty, 0 for none.
func (f *TokenGuard) Highest(duty string) uint64 { return f.highest[duty] }

// Pass tells whether what carries a token may be done. It is bounded by MostDuties names.
func (f *TokenGuard) Accept(duty string, token uint64) bool {
	if f.highest == nil {
		f.highest = map[string]uint64{}
	}
	last, known := f.highest[duty]
	if token < last || token == 0 || !known && len(f.highest) >= MaxRoles {
		return false
	}
	f.highest[duty] = token
	return true
}
