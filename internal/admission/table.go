package admission

import (
	"cmp"
	"net/netip"
	"time"
)

// holder is whoever holds connections: an address, a net or an identity.
type holder struct {
	key    netip.Prefix // zero for an identity
	name   string       // of an identity
	conns  int
	open   int
	tat    time.Duration // of the rate: when its next connection would be due
	vouch  time.Duration // until when it counts as an address of known clients
	known  bool          // which of the two lists of the idle it belongs to
	pinned bool          // in use by the event at hand
	silent list[conn]    // its connections without an open request, the longest silent first

	bucketing links[holder] // among all that hold as many silent ones
	idling    links[holder] // among those without a connection
	spare     *holder       // the next to be used again
}

// links are an element's places in one list.
type links[T any] struct {
	prev, next *T
	in         bool
}

// list is a list whose elements hold their own links, so that it allocates nothing. Of tells which of an element's
// links are this list's.
type list[T any] struct {
	of         func(*T) *links[T]
	head, tail *T
	n          int
}

// push puts an element at the end.
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

// remove takes an element out, if it is in.
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

func silence(c *conn) *links[conn]       { return &c.silence }
func waiting(c *conn) *links[conn]       { return &c.waiting }
func bucketing(h *holder) *links[holder] { return &h.bucketing }
func idling(h *holder) *links[holder]    { return &h.idling }

// ranks orders holders by how many silent connections they have, so that who has the most is found at once.
type ranks struct {
	buckets []list[holder]
	most    int // no bucket above has any
}

func (r *ranks) add(h *holder, n int) {
	if n == 0 {
		return
	}
	for len(r.buckets) <= n {
		r.buckets = append(r.buckets, list[holder]{of: bucketing})
	}
	r.buckets[n].push(h)
	r.most = max(r.most, n)
}

func (r *ranks) remove(h *holder, n int) {
	if n == 0 {
		return
	}
	r.buckets[n].remove(h)
	for r.most > 0 && r.buckets[r.most].head == nil {
		r.most--
	}
}

// top returns who has the most, and among these whoever came to have as many first.
func (r *ranks) top() *holder {
	if r.most == 0 {
		return nil
	}
	return r.buckets[r.most].head
}

// table has the addresses and nets: all that hold a connection, and of the others the last ones seen, known and
// unknown each with a bound of its own, so that no crowd of unknown ones pushes out a known one.
type table struct {
	holders map[netip.Prefix]*holder
	idle    [2]list[holder] // by known
	free    *holder         // to be used again
	most    int
}

func newTable() table {
	return table{holders: map[netip.Prefix]*holder{}, idle: [2]list[holder]{{of: idling}, {of: idling}}}
}

func index(known bool) int {
	if known {
		return 1
	}
	return 0
}

// get returns the holder of a key, a new one if need be. It is not idle until put.
func (t *table) get(key netip.Prefix) *holder {
	h := t.holders[key]
	if h == nil {
		if h = t.free; h != nil {
			t.free = h.spare
		} else {
			h = new(holder)
		}
		*h = holder{key: key, silent: list[conn]{of: silence}}
		t.holders[key] = h
	} else {
		t.idle[index(h.known)].remove(h)
	}
	return h
}

// put remembers a holder that has no connection any more, and forgets the one idle for longest if there are too many.
func (t *table) put(h *holder) {
	if h.conns > 0 || h.pinned || h.idling.in || t.holders[h.key] != h {
		return
	}
	l := &t.idle[index(h.known)]
	l.push(h)
	for l.n > t.most {
		old := l.head
		l.remove(old)
		delete(t.holders, old.key)
		old.spare, t.free = t.free, old
	}
}

// orUsual fills in the usual lengths.
func (l Lengths) orUsual() Lengths {
	return Lengths{cmp.Or(l.Address4, 32), cmp.Or(l.Net4, 24), cmp.Or(l.Address6, 64), cmp.Or(l.Net6, 48)}
}

// keys returns the keys of an address and its net.
func (l Lengths) keys(a netip.Addr) (address, net netip.Prefix) {
	a = a.Unmap()
	own, around := l.Address4, l.Net4
	if a.Is6() {
		own, around = l.Address6, l.Net6
	}
	address, _ = a.WithZone("").Prefix(own) // within their lengths, they can't fail
	net, _ = a.WithZone("").Prefix(around)
	return address, net
}
