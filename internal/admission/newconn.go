package admission

import (
	"net/netip"
	"slices"
	"time"
)

// nextArrival returns when the next connection of a client would be due after this one, and whether
// this one conforms to the rate: the generic cell rate algorithm of ATM Forum TM 4.0, a leaky
// bucket kept as one time. A library's limiter would cost an allocation and a lock for each client.
func (d *Controller) nextArrival(h *client, perSecond float64) (time.Duration, bool) {
	if perSecond <= 0 {
		return h.nextArrivalAt, true
	}
	interval := time.Duration(float64(time.Second) / perSecond)
	due := max(h.nextArrivalAt, d.now) + interval
	return due, due-d.now <= max(time.Second, interval)
}

// isFull reports whether there is no free connection for an unknown client.
func (d *Controller) isFull() bool {
	return d.total() >= d.config.MaxConnections || d.unknown >= d.config.MaxConnections-d.config.ReservedForKnown
}

// mustRetryLater reports whether no connection is free and none, of the overflow neither, was idle
// for long enough to be evicted. That passes in moments: idle ones grow older, and the overflow is
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

// mayEvictOverflow reports whether a connection of the overflow was idle for long enough to be
// evicted.
func (d *Controller) mayEvictOverflow() bool {
	return d.idleOverflow.head != nil && d.now-d.idleOverflow.head.since >= minEvictionAge
}

// identity returns the known client of that name, nil if there is none.
func (d *Controller) identity(name string) *client {
	if name == "" || !d.config.KnownIdentities[name] {
		return nil
	}
	return d.identities[name]
}

// handleOpened admits a new connection or not.
func (d *Controller) handleOpened(event *Event) {
	addressKey, networkKey := d.config.Prefixes.keys(event.Addr)
	address, network := d.table.acquire(addressKey), d.table.acquire(networkKey)
	address.inUse, network.inUse = true, true // an eviction may close their last connection
	if h := d.identity(event.Identity); h != nil && event.HeadComplete {
		d.admitIdentity(event, address, network, h)
	} else {
		d.admitByAddress(event, address, network)
	}
	address.inUse, network.inUse = false, false
	d.table.release(address)
	d.table.release(network)
}

// admitIdentity admits a known client whose request was read already. Limits on addresses are not
// for it: others may flood from the same address.
func (d *Controller) admitIdentity(event *Event, address, network, identity *client) {
	if code, cause := d.identityFits(identity, true); code != 0 {
		d.emitRejection(NoConnection, code, cause)
		return
	}
	d.trustAddress(address)
	d.admit(event, address, network, knownClient, identity)
	d.counts.Promoted++
}

// trustAddress treats an address as one of known clients for a while.
func (d *Controller) trustAddress(address *client) {
	address.trustedUntil, address.known = d.now+trustTime, true
}

// identityFits checks whether a known client may have one more connection, and evicts another one
// if need be. It returns the code of a rejection, 0 for none.
func (d *Controller) identityFits(h *client, needs bool) (code int, cause Cause) {
	due, ok := d.nextArrival(h, d.config.PerIdentity.ConnectionsPerSecond)
	switch {
	case !ok:
		return tooManyRequests, RateExceeded
	case atLimit(h.conns, d.config.PerIdentity.Connections):
		return tooManyRequests, TooManyConnections
	case needs && d.total() >= d.config.MaxConnections+d.lent && !d.evictOne(0):
		return unavailable, CapacityReached
	}
	h.nextArrivalAt = due
	return 0, NoCause
}

// admitByAddress admits a client that is not known by a request, if its address may have one more
// connection and one is free or can be evicted.
func (d *Controller) admitByAddress(event *Event, address, network *client) {
	inKnownRange := slices.ContainsFunc(d.config.KnownRanges, func(p netip.Prefix) bool { return p.Contains(event.Addr.Unmap()) })
	trusted := inKnownRange || d.now < address.trustedUntil
	limit, networkLimit := d.config.PerAddress, d.config.PerNetwork
	if trusted {
		limit, networkLimit = d.config.PerKnownAddress, ClientLimit{}
	}
	// The address comes first: what it may not have takes nothing from its network.
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
		// A trusted address need not wait until an idle connection is old enough.
		!inKnownRange && d.isFull() && !((trusted || d.mayEvict(0)) && d.evictOne(0)):
		d.deny(event, address, network, unavailable, CapacityReached)
	case inKnownRange:
		d.admit(event, address, network, knownClient, address)
	default:
		d.admit(event, address, network, awaitingRequest, address)
	}
}

// atLimit reports whether n has reached a limit, 0 for none.
func atLimit(n, limit int) bool { return limit > 0 && n >= limit }

// total returns how many connections are in use, without the overflow.
func (d *Controller) total() int { return d.known + d.unknown }

// drop closes a connection without an answer.
func (d *Controller) drop(cause Cause) {
	d.counts.Dropped[cause]++
	d.emit(Action{Kind: Drop, Cause: cause})
}

// deny does not admit a connection. A request that was read is rejected; without one the connection
// goes to the overflow until it has a request, unless its client came too often. If the overflow is
// full, the one there that is idle for longest is evicted.
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
