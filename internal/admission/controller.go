package admission

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// trustTime is how long an address of a known client counts as one of known clients.
	trustTime = 10 * time.Minute
	// shortageTime is how long a lack of descriptors keeps the level at Critical, and further ones
	// are not counted.
	shortageTime = time.Second
	// minEvictionAge is how long a connection must be idle before it may be evicted: its request
	// may have come already, and only the caller is late.
	minEvictionAge = 5 * time.Millisecond
)

// connState is the state of a connection.
type connState int

const (
	unusedConn      connState = iota
	awaitingRequest           // of an unknown client, no request read yet
	unknownClient             // of an unknown client
	knownClient               // of a known one
	overflow                  // beyond MaxConnections: its request is rejected unless its identity is known
)

// conn is one connection. Its ID is its index in Controller.conns.
type conn struct {
	id           int32
	state        connState
	requestOpen  bool // its request is open
	requestBegun bool // and was not read to its end
	requestReady bool // its request is complete, and is not handled yet: it is not evicted
	rejected     bool // its request was: it only waits for Closed
	evicted      bool // it only waits for Closed
	drainExpired bool // it was expired as the router is draining
	used         bool // a request has begun on it
	since        time.Duration
	addr, net    *client
	owner        *client // the address, or the identity of a known client
	rejectCode   int     // of the overflow: the status of its rejection
	cause        Cause
	idleLinks    links[conn] // in owner.idle, or in Controller.idleOverflow
	timeoutLinks links[conn] // in one of Controller.timeouts
}

// Controller decides for one listener. It is not safe for concurrent use.
type Controller struct {
	config  Config
	rng     *rand.Rand
	now     time.Duration
	actions []Action
	conns   []*conn
	freeIDs []int32 // IDs of connections that are closed

	table        clientTable
	identities   map[string]*client
	ranked       [2]ranking    // unknown and known clients with idle connections
	idleOverflow list[conn]    // the longest idle first
	timeouts     [2]list[conn] // of unknown clients without an open request, by whether one has begun, the oldest first

	known, unknown, awaitingRequests, overflows, open int
	lent                                              int
	level                                             Level
	shortageUntil                                     time.Duration
	counts                                            Counts
}

// New returns a Controller without connections.
func New(c Config, seed uint64) *Controller {
	d := &Controller{rng: rand.New(rand.NewPCG(seed, 1)), table: newTable(), identities: map[string]*client{},
		idleOverflow: list[conn]{of: connIdleLinks}, timeouts: [2]list[conn]{{of: connTimeoutLinks}, {of: connTimeoutLinks}}}
	d.applyConfig(c)
	return d
}

// applyConfig puts a configuration in force. Identities that are not known any more stay while they
// have connections.
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

// Step handles one event and returns the actions, in a slice that the next call reuses.
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

// conn returns a connection by its ID, nil if it is not open.
func (d *Controller) conn(id int32) *conn {
	if id < 0 || int(id) >= len(d.conns) || d.conns[id].state == unusedConn {
		return nil
	}
	return d.conns[id]
}

// emit adds an action to those of the current Step.
func (d *Controller) emit(a Action) { d.actions = append(d.actions, a) }

// admit adds a connection in a state.
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

// countState counts a connection in its state: 1 more or, with -1, fewer.
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

// setIdle adds a connection to the idle ones, at the end.
func (d *Controller) setIdle(c *conn) {
	if c.state == overflow {
		d.idleOverflow.push(c)
	} else {
		h, r := c.owner, &d.ranked[rankingIndex(c)]
		r.remove(h, h.idle.n)
		h.idle.push(c)
		r.add(h, h.idle.n)
	}
	if c.state != knownClient { // admission does not time out known clients
		d.timeouts[index(c.requestBegun)].push(c)
	}
}

// setActive removes a connection from the idle ones.
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

// rankingIndex returns the index of a connection's ranking.
func rankingIndex(c *conn) int {
	return index(c.state == knownClient)
}

// mayEvict reports whether the connection that evictOne would evict was idle for long enough.
func (d *Controller) mayEvict(group int) bool {
	c := d.evictionCandidate(group)
	return c != nil && d.now-c.since >= minEvictionAge
}

// evictionCandidate returns the connection to be evicted next, of the unknown (0) or the known
// clients (1); nil if none is idle.
func (d *Controller) evictionCandidate(group int) *conn {
	if !d.config.EvictFromLargest && group == 0 {
		var oldest *conn
		for _, l := range d.timeouts {
			c := l.head
			for c != nil && c.state == overflow { // these are few
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

// evictOne evicts an idle connection of the unknown (0) or the known clients (1), and reports
// whether there was one.
func (d *Controller) evictOne(group int) bool {
	c := d.evictionCandidate(group)
	if c == nil {
		return false
	}
	d.evict(c, Evicted)
	return true
}

// evict closes an idle connection. It does not count any more: the caller closes it before anything
// else.
func (d *Controller) evict(c *conn, cause Cause) {
	d.counts.Closed[cause]++
	d.emit(Action{Kind: Evict, Conn: c.id, Cause: cause})
	d.uncount(c)
	c.evicted = true
}

// uncount removes a connection from all counts; its ID stays in use until Closed.
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

// handleClosed frees the ID of a connection.
func (d *Controller) handleClosed(c *conn) {
	d.uncount(c)
	c.state = unusedConn
	c.addr, c.net, c.owner = nil, nil, nil
	d.freeIDs = append(d.freeIDs, c.id)
}

// countOpen counts one more open request of a connection or, with -1, one fewer.
func (d *Controller) countOpen(c *conn, delta int) {
	d.open += delta
	c.addr.open += delta
	c.net.open += delta
	if c.owner != c.addr {
		c.owner.open += delta
	}
}

// handleBegan keeps a connection among the idle ones while its request comes: half a request must not
// keep others out. One that is complete is not evicted any more, as the router has read it.
func (d *Controller) handleBegan(c *conn, complete bool) {
	d.setActive(c)
	c.since, c.requestBegun, c.used, c.drainExpired = d.now, true, true, false
	c.requestReady = complete
	if !complete {
		d.setIdle(c)
	}
}

// handleRequest serves or rejects a request that was read. A known identity makes its connection
// one of a known client.
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

// hasTooManyOpen reports whether the client of a connection has as many open requests as it may.
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

// promote makes a connection one of a known client. It returns the code of a rejection, 0 for none.
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

// changeState changes the state and the owner of a connection that is in no list.
func (d *Controller) changeState(c *conn, state connState, owner *client) {
	d.countState(c, -1)
	c.state, c.owner = state, owner
	d.countState(c, 1)
}

// rejectConn rejects a connection's request.
func (d *Controller) rejectConn(c *conn, code int, cause Cause) {
	c.rejected = true
	d.emitRejection(c.id, code, cause)
}

// emitRejection rejects a request. Its advice is spread, so that rejected clients don't come back
// at once.
func (d *Controller) emitRejection(conn int32, code int, cause Cause) {
	d.counts.Rejected[cause]++
	minimum := d.config.MinRetryAfter
	retryAfter := minimum + time.Duration(d.rng.Float64()*float64(minimum))
	d.emit(Action{Kind: Reject, Conn: conn, Code: code, Cause: cause, RetryAfter: retryAfter})
}

// handleDone makes a connection idle again. Its request may have been answered without a decision
// on it, as those for the router itself are.
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

// evictExcess evicts idle connections until the limits hold again.
func (d *Controller) evictExcess() {
	for d.total() > d.config.MaxConnections+d.lent || d.unknown > d.config.MaxConnections-d.config.ReservedForKnown {
		if !d.evictOne(0) && (d.unknown > d.config.MaxConnections-d.config.ReservedForKnown || !d.evictOne(1)) {
			return
		}
	}
}

// firstRequestTime is how long a new connection is left open for its first request by a router that
// is draining: the time to send it across a region, and once more where it is lost.
const firstRequestTime = 300 * time.Millisecond

// expireAll expires all connections that are idle for so long, of known clients as well. One whose
// request has begun has its own timeout, and a new one is given firstRequestTime.
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

// isIdle reports whether a connection is open and nothing of a request has come on it since the
// last answer.
func (c *conn) isIdle() bool {
	return c.state != unusedConn && !c.requestOpen && !c.requestBegun && !c.requestReady && !c.rejected && !c.evicted
}

// minIdleTime returns how long a connection must have been idle to be closed where others must have
// been for idleTime.
func (c *conn) minIdleTime(idleTime time.Duration) time.Duration {
	if c.used {
		return idleTime
	}
	return max(idleTime, firstRequestTime)
}

// updateLevel updates the level. Each ends lower than it begins, so that it does not flap.
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

// expireIdle expires the connections of unknown clients that were idle, or sending a request, for
// too long.
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

// Counts returns the counters and the state.
func (d *Controller) Counts() Counts {
	c := d.counts
	c.Level = d.level
	c.MaxConnections, c.ReservedForKnown, c.Lent = d.config.MaxConnections, d.config.ReservedForKnown, d.lent
	c.Known, c.Unknown, c.AwaitingRequest = d.known, d.unknown, d.awaitingRequests
	c.Overflow, c.Open, c.Addresses = d.overflows, d.open, len(d.table.clients)
	return c
}

// WriteTimeout returns how long a client may take to read what one write sent, 0 for no bound.
func (d *Controller) WriteTimeout() time.Duration { return d.config.WriteTimeout[d.level] }

// Level returns the level.
func (d *Controller) Level() Level { return d.level }

// UsedFraction returns the fraction of MaxConnections that is in use; with lent ones it may be
// above 1.
func (d *Controller) UsedFraction() float64 {
	return float64(d.total()) / float64(max(d.config.MaxConnections, 1))
}

// LargestClients returns the addresses and identities with the most connections. It looks at all of
// them.
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
