package admission

import (
	"cmp"
	"net/netip"
	"time"
)

// client is what has connections: an address, a network or an identity.
type client struct {
	key           netip.Prefix // zero for an identity
	name          string       // of an identity
	conns         int
	open          int
	nextArrivalAt time.Duration // of the rate limit: when its next connection would be due
	trustedUntil  time.Duration // as an address of known clients
	known         bool          // in which list of unused clients it belongs
	inUse         bool          // by the event that is being handled
	idle          list[conn]    // its connections without an open request, the longest idle first

	rankLinks   links[client] // in its bucket of the ranking
	unusedLinks links[client] // in the list of unused clients
	nextFree    *client       // in the list of free entries
}

// links link an element to its neighbours in one list.
type links[T any] struct {
	prev, next *T
	in         bool
}

// list is an intrusive list: its elements have their own links, so that it allocates nothing. Of
// returns the links of an element in this list.
type list[T any] struct {
	of         func(*T) *links[T]
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

// remove removes an element, if it is in the list.
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

// The links of elements in the lists that they may be in.
func connIdleLinks(c *conn) *links[conn]         { return &c.idleLinks }
func connTimeoutLinks(c *conn) *links[conn]      { return &c.timeoutLinks }
func clientRankLinks(h *client) *links[client]   { return &h.rankLinks }
func clientUnusedLinks(h *client) *links[client] { return &h.unusedLinks }

// ranking orders clients by how many idle connections they have, so that the largest is found at
// once.
type ranking struct {
	buckets []list[client]
	largest int // no bucket above has a client
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

// top returns the client with the most, and of these the one that had as many first.
func (r *ranking) top() *client {
	if r.largest == 0 {
		return nil
	}
	return r.buckets[r.largest].head
}

// clientTable has the addresses and networks: all with a connection, and of the others the last
// ones seen, known and unknown ones each with a bound of its own, so that no crowd of unknown
// clients evicts a known one.
type clientTable struct {
	clients   map[netip.Prefix]*client
	unused    [2]list[client] // unknown and known; see index
	free      *client         // entries to be used again
	maxUnused int
}

// newTable returns an empty table.
func newTable() clientTable {
	return clientTable{clients: map[netip.Prefix]*client{}, unused: [2]list[client]{{of: clientUnusedLinks}, {of: clientUnusedLinks}}}
}

// index returns the index of lists by whether clients are known, or requests have begun.
func index(known bool) int {
	if known {
		return 1
	}
	return 0
}

// acquire returns the client of a key, a new one if need be. It stays in use until release.
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

// release remembers a client without a connection as unused, and forgets the one that is unused for
// longest if there are too many.
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

// withDefaults returns the lengths with defaults for zero fields.
func (l PrefixLengths) withDefaults() PrefixLengths {
	return PrefixLengths{cmp.Or(l.Address4, 32), cmp.Or(l.Network4, 24), cmp.Or(l.Address6, 64), cmp.Or(l.Network6, 48)}
}

// keys returns the keys of an address and its network.
func (l PrefixLengths) keys(a netip.Addr) (address, net netip.Prefix) {
	a = a.Unmap()
	addressBits, networkBits := l.Address4, l.Network4
	if a.Is6() {
		addressBits, networkBits = l.Address6, l.Network6
	}
	address, _ = a.WithZone("").Prefix(addressBits) // within their lengths these can't fail
	net, _ = a.WithZone("").Prefix(networkBits)
	return address, net
}
