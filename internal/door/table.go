package door

import (
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
	silent list          // its connections without an open request, the longest silent first

	// Places in a bucket of all that hold as many silent ones, and in the list of the idle.
	bPrev, bNext *holder
	iPrev, iNext *holder
	idle         bool
}

// list is a list of connections; each is in one at most.
type list struct {
	head, tail *conn
	n          int
}

func (l *list) push(c *conn) {
	c.prev, c.next = l.tail, nil
	if l.tail != nil {
		l.tail.next = c
	} else {
		l.head = c
	}
	l.tail = c
	l.n++
}

func (l *list) remove(c *conn) {
	if c.prev != nil {
		c.prev.next = c.next
	} else {
		l.head = c.next
	}
	if c.next != nil {
		c.next.prev = c.prev
	} else {
		l.tail = c.prev
	}
	c.prev, c.next = nil, nil
	l.n--
}

// ranks orders holders by how many silent connections they have, so that who has the most is found at once.
type ranks struct {
	buckets []struct{ head, tail *holder }
	most    int // no bucket above has any
}

func (r *ranks) add(h *holder, n int) {
	if n == 0 {
		return
	}
	for len(r.buckets) <= n {
		r.buckets = append(r.buckets, struct{ head, tail *holder }{})
	}
	b := &r.buckets[n]
	h.bPrev, h.bNext = b.tail, nil
	if b.tail != nil {
		b.tail.bNext = h
	} else {
		b.head = h
	}
	b.tail = h
	r.most = max(r.most, n)
}

func (r *ranks) remove(h *holder, n int) {
	if n == 0 {
		return
	}
	b := &r.buckets[n]
	if h.bPrev != nil {
		h.bPrev.bNext = h.bNext
	} else {
		b.head = h.bNext
	}
	if h.bNext != nil {
		h.bNext.bPrev = h.bPrev
	} else {
		b.tail = h.bPrev
	}
	h.bPrev, h.bNext = nil, nil
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
	idle    [2]struct { // by known
		head, tail *holder
		n          int
	}
	free *holder // to be used again, by bNext
	most int
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
			t.free = h.bNext
			*h = holder{}
		} else {
			h = new(holder)
		}
		h.key = key
		t.holders[key] = h
	} else {
		t.unidle(h)
	}
	return h
}

func (t *table) unidle(h *holder) {
	if !h.idle {
		return
	}
	l := &t.idle[index(h.known)]
	if h.iPrev != nil {
		h.iPrev.iNext = h.iNext
	} else {
		l.head = h.iNext
	}
	if h.iNext != nil {
		h.iNext.iPrev = h.iPrev
	} else {
		l.tail = h.iPrev
	}
	h.iPrev, h.iNext, h.idle = nil, nil, false
	l.n--
}

// put remembers a holder that has no connection any more, and forgets the one idle for longest if there are too many.
func (t *table) put(h *holder) {
	if h.conns > 0 || h.pinned || h.idle || t.holders[h.key] != h {
		return
	}
	l := &t.idle[index(h.known)]
	h.iPrev, h.iNext, h.idle = l.tail, nil, true
	if l.tail != nil {
		l.tail.iNext = h
	} else {
		l.head = h
	}
	l.tail = h
	l.n++
	for l.n > t.most {
		old := l.head
		t.unidle(old)
		delete(t.holders, old.key)
		old.bNext, t.free = t.free, old
	}
}

// keys returns the keys of an address and its net.
func keys(a netip.Addr) (address, net netip.Prefix) {
	a = a.Unmap()
	own, around := 32, 24
	if a.Is6() {
		own, around = 64, 48
	}
	address, _ = a.WithZone("").Prefix(own) // within their lengths, they can't fail
	net, _ = a.WithZone("").Prefix(around)
	return address, net
}
