package lease

import "time"

// Lease is the holder's side of one grant. It decides from the holder's own clock alone whether the
// holder may still work. Its zero value is no lease.
type Lease struct {
	timing    Timing
	grant     Grant
	validFrom time.Duration // before the request was sent that the voters granted last
	valid     bool          // the voters have not ended it, as far as the holder knows
}

// NewLease returns a lease without a grant.
func NewLease(t Timing) *Lease { return &Lease{timing: t} }

// Extend takes in that the voters have made or renewed a grant. RequestSent is when the request was
// sent that they answer, on the holder's clock: the lease counts from there. An answer to an older
// request than the last one shortens nothing, and one for an older grant is ignored.
func (l *Lease) Extend(requestSent time.Duration, g Grant) {
	switch {
	case l.valid && g.Token < l.grant.Token:
		return
	case l.valid && g.Token == l.grant.Token:
		l.validFrom = max(l.validFrom, requestSent)
		l.grant.Renewals = max(l.grant.Renewals, g.Renewals)
		return
	}
	l.grant, l.validFrom, l.valid = g, requestSent, true
}

// Revoke takes in that the grants up to a token have ended, by the voters or by the holder itself.
func (l *Lease) Revoke(token uint64) {
	if l.valid && token >= l.grant.Token {
		l.valid = false
	}
}

// setUnconfirmed takes in a grant that the voters made in turn: it may be renewed, and nothing may
// be done under it before.
func (l *Lease) setUnconfirmed(now time.Duration, g Grant) {
	l.grant, l.valid, l.validFrom = g, true, now-l.timing.Duration
}

// expiry is when no work may be done any more.
func (l *Lease) expiry() time.Duration {
	return l.validFrom + l.timing.Duration - l.timing.ClockAllowance
}

// workEnd is when no work may begin any more.
func (l *Lease) workEnd() time.Duration { return l.expiry() - l.timing.Margin }

// Check is to be called right before each act under the lease. It returns the token that the act
// must carry and how long the act may take, or false. A clock that shows less than where the lease
// began can't be trusted, and the holder stops.
func (l *Lease) Check(now time.Duration) (token uint64, remaining time.Duration, ok bool) {
	if !l.valid || now < l.validFrom || now >= l.workEnd() {
		return 0, 0, false
	}
	return l.grant.Token, l.expiry() - now, true
}

// renewPercent is the percentage of a lease after which it is renewed: just over half, so that a
// holder costs less than two messages a second with a lease of 2 s, and the rest is enough for an
// election of the voters.
const renewPercent = 51

// RenewAt returns when the lease is to be renewed.
func (l *Lease) RenewAt() (at time.Duration, ok bool) {
	return l.validFrom + l.timing.Duration*renewPercent/100, l.valid
}

// Grant returns the grant as far as the holder knows, also where it has run out.
func (l *Lease) Grant() (Grant, bool) { return l.grant, l.valid }
