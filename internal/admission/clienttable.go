package admission

import (
	"cmp"
	"net/netip"
	"time"
)

// client is the unit that limits apply to: an address, a network or an identity.
type client struct {
	key           netip.Prefix  // zero for an identity
	name          string        // of an identity, otherwise empty
	conns         int           // number of connections
	open          int           // number of connections with an open request
	nextArrivalAt time.Duration // state of the rate limit: when the next connection is due
	trustedUntil  time.Duration // until when the address counts as one of known clients
	known         bool          // selects the list of unused clients that the client belongs to
	inUse         bool          // the event that is being handled refers to the client
	idle          list[conn]    // its connections without an open request, the longest idle first

	rankLinks   links[client] // in its bucket of the ranking
	unusedLinks links[client] // in the list of unused clients
	nextFree    *client       // in the list of free entries
}

// links connects an element to its neighbours in one list.
type links[T any] struct {
	prev, next *T
	in         bool // the element is in the list
}

// list is an intrusive doubly linked list: each element stores its own links, so that list
// operations allocate nothing.
type list[T any] struct {
	of         func(*T) *links[T] // returns the links of an element in this list
	head, tail *T
	n          int
}

// push adds an element at the end.
func (l *list[T]) push(x *T) {
	at := l.of(x)
	*at = links[T]{prev: l.tail, in: true}
	if l.tail != nil {
		l.of(l.tail).next = x
	} else {
		l.head = x
	}
	l.tail = x
	l.n++
}

// remove removes an element if it is in the list.
func (l *list[T]) remove(x *T) {
	at := l.of(x)
	if !at.in {
		return
	}
	if at.prev != nil {
		l.of(at.prev).next = at.next
	} else {
		l.head = at.next
	}
	if at.next != nil {
		l.of(at.next).prev = at.prev
	} else {
		l.tail = at.prev
	}
	*at = links[T]{}
	l.n--
}

// The following functions return the links of an element in each list that the element may be in.
func connIdleLinks(c *conn) *links[conn]         { return &c.idleLinks }
func connTimeoutLinks(c *conn) *links[conn]      { return &c.timeoutLinks }
func clientRankLinks(h *client) *links[client]   { return &h.rankLinks }
func clientUnusedLinks(h *client) *links[client] { return &h.unusedLinks }

// ranking groups clients by their number of idle connections, so that the client with the most is
// found in constant time.
type ranking struct {
	buckets []list[client] // indexed by number of idle connections
	largest int            // every bucket above this index is empty
}

// add adds a client with n idle connections.
func (r *ranking) add(h *client, n int) {
	if n == 0 {
		return
	}
	for len(r.buckets) <= n {
		r.buckets = append(r.buckets, list[client]{of: clientRankLinks})
	}
	r.buckets[n].push(h)
	r.largest = max(r.largest, n)
}

// remove removes a client with n idle connections.
func (r *ranking) remove(h *client, n int) {
	if n == 0 {
		return
	}
	r.buckets[n].remove(h)
	for r.largest > 0 && r.buckets[r.largest].head == nil {
		r.largest--
	}
}

// top returns the client with the most idle connections, or nil if no client has one. Among equals
// it returns the client that reached that number first.
func (r *ranking) top() *client {
	if r.largest == 0 {
		return nil
	}
	return r.buckets[r.largest].head
}

// clientTable has the addresses and networks that have a connection, and the most recently used of
// those without one. Known and unknown clients without a connection have separate bounds, so that
// no number of unknown clients evicts a known client from the table.
type clientTable struct {
	clients   map[netip.Prefix]*client
	unused    [2]list[client] // clients without a connection, unknown and known; see index
	free      *client         // list of entries for reuse
	maxUnused int             // bound of each list in unused
}

// newTable returns an empty client table.
func newTable() clientTable {
	return clientTable{clients: map[netip.Prefix]*client{}, unused: [2]list[client]{{of: clientUnusedLinks}, {of: clientUnusedLinks}}}
}

// index returns the index for a condition in a pair of lists: 1 if the condition is true, otherwise
// 0. The pairs distinguish known from unknown clients, or begun requests from none.
func index(known bool) int {
	if known {
		return 1
	}
	return 0
}

// acquire returns the client of a key, and adds the client to the table if it is missing. The table
// does not drop the client before the caller passes it to release.
func (t *clientTable) acquire(key netip.Prefix) *client {
	h := t.clients[key]
	if h == nil {
		if h = t.free; h != nil {
			t.free = h.nextFree
		} else {
			h = new(client)
		}
		*h = client{key: key, idle: list[conn]{of: connIdleLinks}}
		t.clients[key] = h
	} else {
		t.unused[index(h.known)].remove(h)
	}
	return h
}

// release adds a client without a connection to the unused clients. If there are more than
// maxUnused, release drops the client that has been unused for the longest time.
func (t *clientTable) release(h *client) {
	if h.conns > 0 || h.inUse || h.unusedLinks.in || t.clients[h.key] != h {
		return
	}
	l := &t.unused[index(h.known)]
	l.push(h)
	for l.n > t.maxUnused {
		old := l.head
		l.remove(old)
		delete(t.clients, old.key)
		old.nextFree, t.free = t.free, old
	}
}

// withDefaults returns a copy of l with defaults in place of zero fields.
func (l PrefixLengths) withDefaults() PrefixLengths {
	return PrefixLengths{cmp.Or(l.Address4, 32), cmp.Or(l.Network4, 24), cmp.Or(l.Address6, 64), cmp.Or(l.Network6, 48)}
}

// keys returns the client table's keys of an IP address and of its network.
func (l PrefixLengths) keys(a netip.Addr) (address, net netip.Prefix) {
	a = a.Unmap()
	addressBits, networkBits := l.Address4, l.Network4
	if a.Is6() {
		addressBits, networkBits = l.Address6, l.Network6
	}
	address, _ = a.WithZone("").Prefix(addressBits) // no error: the number of bits is in the valid range
	net, _ = a.WithZone("").Prefix(networkBits)
	return address, net
}
