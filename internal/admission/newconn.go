package admission

import (
	"net/netip"
	"slices"
	"time"
)

// nextArrival reports whether a new connection of a client conforms to a rate limit, and returns
// when the connection after it is due. It implements the generic cell rate algorithm of ATM Forum
// TM 4.0, a leaky bucket whose state is a single time. A rate limiter from a library would cost an
// allocation and a lock for each client.
func (d *Controller) nextArrival(h *client, perSecond float64) (time.Duration, bool) {
	if perSecond <= 0 {
		return h.nextArrivalAt, true
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	due := max(h.nextArrivalAt, d.now) + interval
	return due, due-d.now <= max(time.Second, interval)
}

// isFull reports whether no connection is free for an unknown client.
func (d *Controller) isFull() bool {
	return d.total() >= d.config.MaxConnections || d.unknown >= d.config.MaxConnections-d.config.ReservedForKnown
}

// mustRetryLater reports whether the decision on a new connection of an unknown client must wait: no
// connection is free, and no idle one, in the overflow either, has been idle for minEvictionAge. The
// wait is short, because idle connections soon reach minEvictionAge and requests in the overflow are
// answered at once.
func (d *Controller) mustRetryLater() bool {
	switch {
	case !d.isFull() || d.mayEvict(0):
		return false
	case d.evictionCandidate(0) != nil:
		return true
	}
	return d.overflows >= d.config.MaxOverflow && !d.mayEvictOverflow()
}

// mayEvictOverflow reports whether a connection of the overflow has been idle for at least
// minEvictionAge.
func (d *Controller) mayEvictOverflow() bool {
	return d.idleOverflow.head != nil && d.now-d.idleOverflow.head.since >= minEvictionAge
}

// identity returns the known client with an identity, or nil if the identity is empty or not known.
func (d *Controller) identity(name string) *client {
	if name == "" || !d.config.KnownIdentities[name] {
		return nil
	}
	return d.identities[name]
}

// handleOpened decides whether a new connection is admitted, rejected, dropped or retried later.
func (d *Controller) handleOpened(event *Event) {
	addressKey, networkKey := d.config.Prefixes.keys(event.Addr)
	address, network := d.table.acquire(addressKey), d.table.acquire(networkKey)
	// inUse keeps both in the table if an eviction closes their last connection.
	address.inUse, network.inUse = true, true
	if h := d.identity(event.Identity); h != nil && event.HeadComplete {
		d.admitIdentity(event, address, network, h)
	} else {
		d.admitByAddress(event, address, network)
	}
	address.inUse, network.inUse = false, false
	d.table.release(address)
	d.table.release(network)
}

// admitIdentity admits or rejects a connection of a known client whose request was already read.
// The limits of its address and network do not apply, because other clients may flood the router
// from the same address.
func (d *Controller) admitIdentity(event *Event, address, network, identity *client) {
	if code, cause := d.identityFits(identity, true); code != 0 {
		d.emitRejection(NoConnection, code, cause)
		return
	}
	d.trustAddress(address)
	d.admit(event, address, network, knownClient, identity)
	d.counts.Promoted++
}

// trustAddress makes an address count as one of known clients for trustTime.
func (d *Controller) trustAddress(address *client) {
	address.trustedUntil, address.known = d.now+trustTime, true
}

// identityFits checks whether a known client may have one more connection. If needsCapacity is set,
// a connection must also be free, and identityFits evicts an idle one of an unknown client if none
// is. It returns the status and the cause of a rejection, or the code 0.
func (d *Controller) identityFits(h *client, needsCapacity bool) (code int, cause Cause) {
	due, ok := d.nextArrival(h, d.config.PerIdentity.ConnectionsPerSecond)
	switch {
	case !ok:
		return tooManyRequests, RateExceeded
	case atLimit(h.conns, d.config.PerIdentity.Connections):
		return tooManyRequests, TooManyConnections
	case needsCapacity && d.total() >= d.config.MaxConnections+d.lent && !d.evictOne(0):
		return unavailable, CapacityReached
	}
	h.nextArrivalAt = due
	return 0, NoCause
}

// admitByAddress decides on a connection on which no request with a known identity was read. It
// admits the connection if the limits of its address and network allow one more, and a connection is
// free or can be evicted.
func (d *Controller) admitByAddress(event *Event, address, network *client) {
	inKnownRange := slices.ContainsFunc(d.config.KnownRanges, func(p netip.Prefix) bool { return p.Contains(event.Addr.Unmap()) })
	trusted := inKnownRange || d.now < address.trustedUntil
	limit, networkLimit := d.config.PerAddress, d.config.PerNetwork
	if trusted {
		limit, networkLimit = d.config.PerKnownAddress, ClientLimit{}
	}
	// The address's rate is checked first, so that connections over it do not use up the rate of
	// the network.
	due, ok := d.nextArrival(address, limit.ConnectionsPerSecond)
	if !ok {
		d.deny(event, address, network, tooManyRequests, RateExceeded)
		return
	}
	if !inKnownRange && !d.config.EvictFromLargest && d.mustRetryLater() {
		d.emit(Action{Kind: RetryLater})
		return
	}
	address.nextArrivalAt = due
	if due, ok = d.nextArrival(network, networkLimit.ConnectionsPerSecond); !ok {
		d.deny(event, address, network, tooManyRequests, RateExceeded)
		return
	}
	network.nextArrivalAt = due
	switch {
	case event.ClientLeft:
		d.drop(ClientLeft)
	case atLimit(address.conns, limit.Connections) || atLimit(network.conns, networkLimit.Connections):
		d.deny(event, address, network, tooManyRequests, TooManyConnections)
	case event.HeadComplete && (atLimit(address.open, limit.OpenRequests) || atLimit(network.open, networkLimit.OpenRequests)):
		d.deny(event, address, network, tooManyRequests, TooManyOpenRequests)
	case inKnownRange && d.total() >= d.config.MaxConnections+d.lent && !d.evictOne(0) && !(d.mayEvict(1) && d.evictOne(1)),
		// For a trusted address, an idle connection is evicted even before minEvictionAge.
		!inKnownRange && d.isFull() && !((trusted || d.mayEvict(0)) && d.evictOne(0)):
		d.deny(event, address, network, unavailable, CapacityReached)
	case inKnownRange:
		d.admit(event, address, network, knownClient, address)
	default:
		d.admit(event, address, network, awaitingRequest, address)
	}
}

// atLimit reports whether n has reached a limit. A limit of 0 is no limit.
func atLimit(n, limit int) bool { return limit > 0 && n >= limit }

// total returns the number of connections in use, without the overflow.
func (d *Controller) total() int { return d.known + d.unknown }

// drop emits the close of a new connection without an answer.
func (d *Controller) drop(cause Cause) {
	d.counts.Dropped[cause]++
	d.emit(Action{Kind: Drop, Cause: cause})
}

// deny turns away a new connection that must not be served. If a request was read, deny rejects the
// request. Otherwise it admits the connection to the overflow, where its first request can be
// rejected; if the overflow is full, deny first evicts the overflow connection that has been idle
// for the longest time. It drops the connection if the client has left or exceeded its rate, or if
// no overflow connection may be evicted yet.
func (d *Controller) deny(event *Event, address, network *client, code int, cause Cause) {
	switch {
	case event.ClientLeft:
		d.drop(ClientLeft)
	case event.HeadComplete:
		d.emitRejection(NoConnection, code, cause)
	case cause == RateExceeded, d.overflows >= d.config.MaxOverflow && !d.mayEvictOverflow():
		d.drop(cause)
	default:
		if d.overflows >= d.config.MaxOverflow {
			d.evict(d.idleOverflow.head, Evicted)
		}
		c := d.admit(event, address, network, overflow, address)
		c.rejectCode, c.cause = code, cause
	}
}
