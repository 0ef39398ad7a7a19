package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// trustTime is how long an address counts as one of known clients after a known client was
	// admitted from it.
	trustTime = 10 * time.Minute
	// shortageTime is how long a shortage of file descriptors keeps the level at Critical. Further
	// shortages within this time are not counted.
	shortageTime = time.Second
	// minEvictionAge is how long a connection must be idle before it may be evicted. Its request may
	// have arrived already without the caller having reported it yet.
	minEvictionAge = 5 * time.Millisecond
)

// connState is the state of a connection.
type connState int

const (
	unusedConn      connState = iota // closed; the ID may be reused
	awaitingRequest                  // of an unknown client; no request was read yet
	unknownClient                    // of an unknown client; at least one request was read
	knownClient                      // of a known client
	overflow                         // beyond MaxConnections; its request is rejected unless its identity is known
)

// conn is the state of one client connection. Its ID is its index in Controller.conns.
type conn struct {
	id           int32
	state        connState
	requestOpen  bool          // a request was served and has no final answer yet
	requestBegun bool          // a request has begun and was not read to its end
	requestReady bool          // a request is complete but not handled yet, so the connection must not be evicted
	rejected     bool          // its request was rejected; only Closed is expected
	evicted      bool          // it was evicted; only Closed is expected
	drainExpired bool          // it was expired because the router is draining
	used         bool          // at least one request has begun on it
	since        time.Duration // when it became idle or its request began
	addr, net    *client
	owner        *client     // the client that the connection counts for: its address or the identity of a known client
	rejectCode   int         // status of the rejection, for a connection of the overflow
	cause        Cause       // cause of the rejection, for a connection of the overflow
	idleLinks    links[conn] // in owner.idle, or in Controller.idleOverflow
	timeoutLinks links[conn] // in one of Controller.timeouts
}

// Controller makes the admission decisions of one listener. It is not safe for concurrent use.
type Controller struct {
	config  Config
	rng     *rand.Rand
	now     time.Duration
	actions []Action
	conns   []*conn
	freeIDs []int32 // IDs of closed connections, for reuse

	table        clientTable
	identities   map[string]*client
	ranked       [2]ranking    // unknown and known clients with idle connections; see rankingIndex
	idleOverflow list[conn]    // connections of the overflow without an open request, the longest idle first
	timeouts     [2]list[conn] // connections of unknown clients, with the overflow: idle ones, and ones whose request has begun; the oldest first

	known, unknown, awaitingRequests, overflows, open int
	lent                                              int
	level                                             Level
	shortageUntil                                     time.Duration
	counts                                            Counts
}

// New returns a Controller without connections. The seed determines the random part of Retry-After.
func New(c Config, seed uint64) *Controller {
	d := &Controller{rng: rand.New(rand.NewPCG(seed, 1)), table: newTable(), identities: map[string]*client{},
		idleOverflow: list[conn]{of: connIdleLinks}, timeouts: [2]list[conn]{{of: connTimeoutLinks}, {of: connTimeoutLinks}}}
	d.applyConfig(c)
	return d
}

// applyConfig replaces the configuration. Identities that the new configuration lacks stay in the
// table of identities while they have connections.
func (d *Controller) applyConfig(c Config) {
	d.config, d.table.maxUnused = c, max(c.RememberedAddresses, 1)
	d.config.Prefixes = c.Prefixes.withDefaults()
	for name := range c.KnownIdentities {
		if d.identities[name] == nil {
			d.identities[name] = &client{name: name, known: true, idle: list[conn]{of: connIdleLinks}}
		}
	}
	for name, h := range d.identities {
		if !c.KnownIdentities[name] && h.conns == 0 {
			delete(d.identities, name)
		}
	}
}

// Step handles one event at the time now and returns the actions that the caller must carry out.
// The next call reuses the returned slice.
func (d *Controller) Step(now time.Duration, e Event) []Action {
	d.now, d.actions = max(now, d.now), d.actions[:0]
	switch e.Kind {
	case Opened:
		d.handleOpened(&e)
	case RequestBegan:
		if c := d.conn(e.Conn); c != nil && !c.requestOpen && !c.rejected && !c.evicted && !c.requestReady {
			d.handleBegan(c, e.RequestComplete)
		}
	case RequestRead:
		if c := d.conn(e.Conn); c != nil {
			d.handleRequest(c, e.Identity)
		}
	case RequestDone:
		if c := d.conn(e.Conn); c != nil {
			d.handleDone(c)
		}
	case Closed:
		if c := d.conn(e.Conn); c != nil {
			d.handleClosed(c)
		}
	case CapacityLent:
		d.lent = max(e.Lent, 0)
	case DescriptorShortage:
		if d.now >= d.shortageUntil {
			d.counts.DescriptorShortages++
		}
		d.shortageUntil = d.now + shortageTime
	case ConfigChanged:
		d.applyConfig(*e.Config)
		d.evictExcess()
	case CloseIdle:
		d.expireAll(e.IdleTime)
	}
	d.updateLevel()
	d.expireIdle()
	return d.actions
}

// conn returns the connection with an ID, or nil if no such connection is open.
func (d *Controller) conn(id int32) *conn {
	if id < 0 || int(id) >= len(d.conns) || d.conns[id].state == unusedConn {
		return nil
	}
	return d.conns[id]
}

// emit appends an action to those that the current Step returns.
func (d *Controller) emit(a Action) { d.actions = append(d.actions, a) }

// admit adds a connection with the given state and owner, and emits an Admit action.
func (d *Controller) admit(event *Event, address, network *client, state connState, owner *client) *conn {
	var c *conn
	if k := len(d.freeIDs); k > 0 {
		c = d.conns[d.freeIDs[k-1]]
		d.freeIDs = d.freeIDs[:k-1]
	} else {
		c = &conn{id: int32(len(d.conns))}
		d.conns = append(d.conns, c)
	}
	*c = conn{
		id:           c.id,
		state:        state,
		since:        d.now,
		addr:         address,
		net:          network,
		owner:        owner,
		requestBegun: event.HeadComplete,
		requestReady: event.RequestComplete,
		used:         event.HeadComplete,
	}
	address.conns++
	network.conns++
	if owner != address {
		owner.conns++
	}
	if state == knownClient {
		address.known = true
	}
	d.countState(c, 1)
	if !c.requestReady {
		d.setIdle(c)
	}
	d.counts.Admitted++
	d.emit(Action{Kind: Admit, Conn: c.id})
	return c
}

// countState adds delta, 1 or -1, to the number of connections in the state of c.
func (d *Controller) countState(c *conn, delta int) {
	switch c.state {
	case awaitingRequest:
		d.awaitingRequests += delta
		d.unknown += delta
	case unknownClient:
		d.unknown += delta
	case knownClient:
		d.known += delta
	case overflow:
		d.overflows += delta
	}
}

// setIdle appends a connection to the lists of idle connections that apply to it.
func (d *Controller) setIdle(c *conn) {
	if c.state == overflow {
		d.idleOverflow.push(c)
	} else {
		h, r := c.owner, &d.ranked[rankingIndex(c)]
		r.remove(h, h.idle.n)
		h.idle.push(c)
		r.add(h, h.idle.n)
	}
	if c.state != knownClient { // known clients have no timeout here
		d.timeouts[index(c.requestBegun)].push(c)
	}
}

// setActive removes a connection from the lists of idle connections.
func (d *Controller) setActive(c *conn) {
	if c.state == overflow {
		d.idleOverflow.remove(c)
	} else {
		h, r := c.owner, &d.ranked[rankingIndex(c)]
		r.remove(h, h.idle.n)
		h.idle.remove(c)
		r.add(h, h.idle.n)
	}
	d.timeouts[index(c.requestBegun)].remove(c)
}

// rankingIndex returns the index in Controller.ranked of the ranking that a connection counts in.
func rankingIndex(c *conn) int {
	return index(c.state == knownClient)
}

// mayEvict reports whether evictOne would find a connection, and that connection has been idle for
// at least minEvictionAge.
func (d *Controller) mayEvict(group int) bool {
	c := d.evictionCandidate(group)
	return c != nil && d.now-c.since >= minEvictionAge
}

// evictionCandidate returns the connection that is evicted next from a group of clients: 0 for
// unknown and 1 for known clients. It returns nil if the group has no idle connection.
func (d *Controller) evictionCandidate(group int) *conn {
	if !d.config.EvictFromLargest && group == 0 {
		var oldest *conn
		for _, l := range d.timeouts {
			c := l.head
			for c != nil && c.state == overflow { // at most MaxOverflow connections are skipped
				c = c.timeoutLinks.next
			}
			if oldest == nil || c != nil && c.since < oldest.since {
				oldest = c
			}
		}
		return oldest
	}
	if h := d.ranked[group].top(); h != nil {
		return h.idle.head
	}
	return nil
}

// evictOne evicts an idle connection from a group of clients, 0 for unknown and 1 for known ones,
// and reports whether the group had an idle connection.
func (d *Controller) evictOne(group int) bool {
	c := d.evictionCandidate(group)
	if c == nil {
		return false
	}
	d.evict(c, Evicted)
	return true
}

// evict emits the eviction of an idle connection and removes the connection from all counts at
// once, because the caller closes it before it carries out any further action.
func (d *Controller) evict(c *conn, cause Cause) {
	d.counts.Closed[cause]++
	d.emit(Action{Kind: Evict, Conn: c.id, Cause: cause})
	d.uncount(c)
	c.evicted = true
}

// uncount removes a connection from all counts and lists. Its ID stays in use until Closed.
func (d *Controller) uncount(c *conn) {
	if c.state == unusedConn || c.evicted {
		return
	}
	if c.requestOpen {
		d.countOpen(c, -1)
	} else if !c.rejected {
		d.setActive(c)
	}
	d.countState(c, -1)
	c.addr.conns--
	c.net.conns--
	if c.owner != c.addr {
		c.owner.conns--
	}
	d.table.release(c.addr)
	d.table.release(c.net)
}

// handleClosed removes a closed connection and frees its ID.
func (d *Controller) handleClosed(c *conn) {
	d.uncount(c)
	c.state = unusedConn
	c.addr, c.net, c.owner = nil, nil, nil
	d.freeIDs = append(d.freeIDs, c.id)
}

// countOpen adds delta, 1 or -1, to the numbers of open requests that a connection counts in.
func (d *Controller) countOpen(c *conn, delta int) {
	d.open += delta
	c.addr.open += delta
	c.net.open += delta
	if c.owner != c.addr {
		c.owner.open += delta
	}
}

// handleBegan marks a connection whose next request has begun. While the request is incomplete, the
// connection stays in the idle lists and may be evicted, so that clients can't block others by
// sending half a request. Once the request is complete, the connection is not evicted, because the
// router has read the request.
func (d *Controller) handleBegan(c *conn, complete bool) {
	d.setActive(c)
	c.since, c.requestBegun, c.used, c.drainExpired = d.now, true, true, false
	c.requestReady = complete
	if !complete {
		d.setIdle(c)
	}
}

// handleRequest serves or rejects a request that was read. If the identity is known, the connection
// becomes one of a known client.
func (d *Controller) handleRequest(c *conn, identity string) {
	if c.requestOpen || c.rejected || c.evicted {
		return
	}
	d.setActive(c)
	c.requestBegun, c.requestReady = false, false
	if h := d.identity(identity); h != nil {
		if code, cause := d.promote(c, h); code != 0 {
			d.rejectConn(c, code, cause)
			return
		}
	}
	switch {
	case c.state == overflow:
		d.rejectConn(c, c.rejectCode, c.cause)
		return
	case d.hasTooManyOpen(c):
		d.rejectConn(c, tooManyRequests, TooManyOpenRequests)
		return
	case c.state == awaitingRequest:
		d.changeState(c, unknownClient, c.addr)
	}
	c.requestOpen, c.used = true, true
	d.countOpen(c, 1)
	d.counts.Served++
	closeAfterAnswer := d.config.CloseAfterAnswer && d.level == Critical && c.state != knownClient
	d.emit(Action{Kind: Serve, Conn: c.id, CloseAfterAnswer: closeAfterAnswer})
}

// hasTooManyOpen reports whether the client of a connection has reached its limit of open requests.
func (d *Controller) hasTooManyOpen(c *conn) bool {
	limits := &d.config
	switch {
	case c.state != knownClient:
		return atLimit(c.addr.open, limits.PerAddress.OpenRequests) || atLimit(c.net.open, limits.PerNetwork.OpenRequests)
	case c.owner == c.addr:
		return atLimit(c.addr.open, limits.PerKnownAddress.OpenRequests)
	}
	return atLimit(c.owner.open, limits.PerIdentity.OpenRequests)
}

// promote makes a connection one of the known client h. If the limits of h do not allow that, it
// returns the status and the cause of a rejection; otherwise the returned code is 0.
func (d *Controller) promote(c *conn, h *client) (code int, cause Cause) {
	if c.owner == h {
		return 0, NoCause
	}
	if code, cause = d.identityFits(h, c.state == overflow); code != 0 {
		return code, cause
	}
	if c.owner != c.addr {
		c.owner.conns--
	}
	h.conns++
	if c.state != knownClient {
		d.counts.Promoted++
	}
	d.changeState(c, knownClient, h)
	d.trustAddress(c.addr)
	return 0, NoCause
}

// changeState changes the state and the owner of a connection that is in none of the idle lists.
func (d *Controller) changeState(c *conn, state connState, owner *client) {
	d.countState(c, -1)
	c.state, c.owner = state, owner
	d.countState(c, 1)
}

// rejectConn rejects the request of an admitted connection.
func (d *Controller) rejectConn(c *conn, code int, cause Cause) {
	c.rejected = true
	d.emitRejection(c.id, code, cause)
}

// emitRejection emits the rejection of a request. Its Retry-After has a random part, so that
// rejected clients do not all retry at the same time.
func (d *Controller) emitRejection(conn int32, code int, cause Cause) {
	d.counts.Rejected[cause]++
	minimum := d.config.MinRetryAfter
	retryAfter := minimum + time.Duration(d.rng.Float64()*float64(minimum))
	d.emit(Action{Kind: Reject, Conn: conn, Code: code, Cause: cause, RetryAfter: retryAfter})
}

// handleDone makes a connection idle again after its request was answered. The request may have
// been answered without an admission decision, as requests to the router itself are.
func (d *Controller) handleDone(c *conn) {
	switch {
	case c.rejected || c.evicted:
		return
	case c.requestOpen:
		d.countOpen(c, -1)
	case c.requestBegun && !c.requestReady:
		d.setActive(c)
	case !c.requestReady:
		return
	}
	c.requestOpen, c.requestBegun, c.requestReady, c.since = false, false, false, d.now
	d.setIdle(c)
}

// evictExcess evicts idle connections until the limits hold or no idle connection is left to evict.
func (d *Controller) evictExcess() {
	for d.total() > d.config.MaxConnections+d.lent || d.unknown > d.config.MaxConnections-d.config.ReservedForKnown {
		if !d.evictOne(0) && (d.unknown > d.config.MaxConnections-d.config.ReservedForKnown || !d.evictOne(1)) {
			return
		}
	}
}

// firstRequestTime is how long a draining router leaves a new connection open for its first request.
// It suffices to send the request across a region and to send it once more if it is lost.
const firstRequestTime = 300 * time.Millisecond

// expireAll expires all connections that have been idle for at least idleTime, including those of
// known clients. A connection whose request has begun has its own timeout, and a connection without
// a first request is left open for at least firstRequestTime.
func (d *Controller) expireAll(idleTime time.Duration) {
	for _, c := range d.conns {
		if !c.isIdle() || d.now-c.since < c.minIdleTime(idleTime) {
			continue
		}
		if !c.drainExpired {
			c.drainExpired = true
			d.counts.Closed[RouterDraining]++
		}
		d.emit(Action{Kind: Expire, Conn: c.id, Cause: RouterDraining})
	}
}

// isIdle reports whether a connection is open and no byte of a request has arrived on it since the
// last answer.
func (c *conn) isIdle() bool {
	return c.state != unusedConn && !c.requestOpen && !c.requestBegun && !c.requestReady && !c.rejected && !c.evicted
}

// minIdleTime returns how long the connection must be idle before a draining router closes it:
// idleTime, or at least firstRequestTime if no request has begun on the connection.
func (c *conn) minIdleTime(idleTime time.Duration) time.Duration {
	if c.used {
		return idleTime
	}
	return max(idleTime, firstRequestTime)
}

// updateLevel computes the level from the fraction of connections in use, including the overflow. A
// recent shortage of descriptors counts as if all connections were in use. A level ends at a lower
// fraction than it begins, so that the level does not oscillate.
func (d *Controller) updateLevel() {
	usedFraction := float64(d.total()+d.overflows) / float64(max(d.config.MaxConnections, 1))
	if d.now < d.shortageUntil {
		usedFraction = 1
	}
	for d.level < Critical && usedFraction >= levels[d.level+1].from {
		d.level++
	}
	for d.level > Calm && usedFraction < levels[d.level].to {
		d.level--
	}
}

// expireIdle expires the connections of unknown clients that have been idle, or have been sending a
// request, for longer than the current level allows.
func (d *Controller) expireIdle() {
	for i, timeout := range [2]time.Duration{d.config.IdleTimeout[d.level], d.config.RequestTimeout[d.level]} {
		l := &d.timeouts[i]
		for c := l.head; timeout > 0 && c != nil && d.now-c.since >= timeout; c = l.head {
			l.remove(c)
			d.counts.Closed[TimedOut]++
			d.emit(Action{Kind: Expire, Conn: c.id, Cause: TimedOut})
		}
	}
}

// Counts returns the Controller's counters and current state.
func (d *Controller) Counts() Counts {
	c := d.counts
	c.Level = d.level
	c.MaxConnections, c.ReservedForKnown, c.Lent = d.config.MaxConnections, d.config.ReservedForKnown, d.lent
	c.Known, c.Unknown, c.AwaitingRequest = d.known, d.unknown, d.awaitingRequests
	c.Overflow, c.Open, c.Addresses = d.overflows, d.open, len(d.table.clients)
	return c
}

// WriteTimeout returns how long a client may take, at the current level, to read the data of one
// write; 0 means no bound.
func (d *Controller) WriteTimeout() time.Duration { return d.config.WriteTimeout[d.level] }

// Level returns the current level.
func (d *Controller) Level() Level { return d.level }

// UsedFraction returns the number of connections in use, without the overflow, as a fraction of
// MaxConnections. The fraction exceeds 1 if connections beyond MaxConnections are lent and in use.
func (d *Controller) UsedFraction() float64 {
	return float64(d.total()) / float64(max(d.config.MaxConnections, 1))
}

// LargestClients returns up to limit addresses and identities with the most connections, the largest
// first. Its cost grows with the number of all clients.
func (d *Controller) LargestClients(limit int) []ClientUsage {
	var all []ClientUsage
	for key, h := range d.table.clients {
		if address, _ := d.config.Prefixes.keys(key.Addr()); address == key && h.conns > 0 {
			all = append(all, ClientUsage{Name: key.String(), Conns: h.conns, Open: h.open, Known: h.known})
		}
	}
	for name, h := range d.identities {
		if h.conns > 0 {
			all = append(all, ClientUsage{Name: name, Conns: h.conns, Open: h.open, Known: true})
		}
	}
	slices.SortFunc(all, func(a, b ClientUsage) int {
		return cmp.Or(cmp.Compare(b.Conns, a.Conns), cmp.Compare(a.Name, b.Name))
	})
	return all[:min(len(all), limit)]
}
