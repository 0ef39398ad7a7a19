package lease

import "time"

// Lease is the holder's record of one grant. It uses only the holder's clock to decide whether the
// holder may still work. The zero value has no grant.
type Lease struct {
	timing    Timing
	grant     Grant
	validFrom time.Duration // when the last granted request was sent, on the holder's clock
	valid     bool          // there is a grant, and the holder does not know that it has ended
}

// NewLease returns a lease without a grant.
func NewLease(t Timing) *Lease { return &Lease{timing: t} }

// Extend records that the voters have made or renewed grant g. The lease counts from requestSent,
// the time on the holder's clock at which the holder sent the request that the voters granted. A
// reply to an older request does not shorten the lease, and a reply for an older grant is ignored.
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

// Revoke records that the voters or the holder have ended all grants with a token of at most token.
func (l *Lease) Revoke(token uint64) {
	if l.valid && token >= l.grant.Token {
		l.valid = false
	}
}

// setUnconfirmed records a grant that the voters made from the queue. The holder may renew the
// grant, and must not work under it before the renewal.
func (l *Lease) setUnconfirmed(now time.Duration, g Grant) {
	l.grant, l.valid, l.validFrom = g, true, now-l.timing.Duration
}

// expiry returns the time at which all work under the lease must have ended.
func (l *Lease) expiry() time.Duration {
	return l.validFrom + l.timing.Duration - l.timing.ClockAllowance
}

// workEnd returns the time from which no work may begin under the lease.
func (l *Lease) workEnd() time.Duration { return l.expiry() - l.timing.Margin }

// Check reports whether work under the lease may begin now. The holder calls it right before each
// piece of work. If ok, Check returns the token that the work must carry and how long the work may
// take. A clock that shows a time before the start of the lease cannot be trusted, so ok is then
// false.
func (l *Lease) Check(now time.Duration) (token uint64, remaining time.Duration, ok bool) {
	if !l.valid || now < l.validFrom || now >= l.workEnd() {
		return 0, 0, false
	}
	return l.grant.Token, l.expiry() - now, true
}

// renewPercent is the percentage of a lease's duration after which the holder renews it. It is just
// over half, so that with a lease of 2 s a holder causes less than two messages a second, and the
// remaining time is enough for the voters to elect a leader.
const renewPercent = 51

// RenewAt returns when the holder should renew the lease, and whether there is a grant to renew.
func (l *Lease) RenewAt() (at time.Duration, ok bool) {
	return l.validFrom + l.timing.Duration*renewPercent/100, l.valid
}

// Grant returns the grant, and whether it is valid as far as the holder knows. It does not check
// whether the lease has run out on the holder's clock.
func (l *Lease) Grant() (Grant, bool) { return l.grant, l.valid }
