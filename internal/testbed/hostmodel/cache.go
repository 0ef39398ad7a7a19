package hostmodel

import "time"

// cachedSequence is a piece of prompt in memory: a beginning that sessions share, or what a session
// has beyond it.
type cachedSequence struct {
	key      sequenceKey
	parent   *cachedSequence // of a session's piece: the beginning that it goes on from, nil for none
	tokens   int
	users    int // running requests
	children int // sessions' pieces that go on from it
	last     time.Duration

	in         bool // in the list of those that may be evicted
	prev, next *cachedSequence
}

type sequenceKey struct {
	name    string
	session bool
}

// cache has all pieces. What nobody uses and nothing goes on from may be evicted, the longest
// unused first.
type cache struct {
	all            map[sequenceKey]*cachedSequence
	oldest, newest *cachedSequence
	tokens         int // of all
	loose          int // of those that may go, now or once what goes on from them has gone
	evicted        uint64
}

func newCache() cache { return cache{all: map[sequenceKey]*cachedSequence{}} }

// find returns the pieces that a prompt begins with and how many of its first most tokens they
// hold.
func (c *cache) find(r *Request, most, block int) (path [2]*cachedSequence, found int) {
	if p := c.all[sequenceKey{name: r.Prefix}]; r.Prefix != "" && p != nil {
		if found = down(min(p.tokens, r.Shared, most), block); found > 0 {
			path[0] = p
		}
	}
	s := c.all[sequenceKey{r.Session, true}]
	if r.Session == "" || s == nil {
		return path, found
	}
	if s.parent == nil { // it has its beginning in itself
		if aligned := down(min(s.tokens, most), block); aligned > found {
			return [2]*cachedSequence{nil, s}, aligned
		}
		return path, found
	}
	if s.parent != path[0] || found < s.parent.tokens {
		return path, found
	}
	if more := down(min(s.tokens, most-found), block); more > 0 {
		path[1] = s
		found += more
	}
	return path, found
}

func down(n, block int) int { return n - n%max(block, 1) }

// pin keeps a piece from being evicted.
func (c *cache) pin(p *cachedSequence) {
	if p.users++; p.users == 1 {
		c.loosen(p, -1)
	}
	c.list(p)
}

func (c *cache) unpin(p *cachedSequence, now time.Duration) {
	p.last = now
	if p.users--; p.users == 0 {
		c.loosen(p, 1)
	}
	c.list(p)
}

// loosen counts the tokens of a piece among those that may go, or takes them out.
func (c *cache) loosen(p *cachedSequence, by int) { c.loose += by * p.tokens }

// list has a piece in the list if, and only if, it may be evicted. The list is in the order of last
// use.
func (c *cache) list(p *cachedSequence) {
	may := p.users == 0 && p.children == 0
	switch {
	case may == p.in:
		return
	case !may:
		c.unlist(p)
		return
	}
	after := c.newest
	for after != nil && after.last > p.last {
		after = after.prev
	}
	p.in, p.prev = true, after
	if after != nil {
		p.next, after.next = after.next, p
	} else {
		p.next, c.oldest = c.oldest, p
	}
	if p.next != nil {
		p.next.prev = p
	} else {
		c.newest = p
	}
}

func (c *cache) unlist(p *cachedSequence) {
	if p.prev != nil {
		p.prev.next = p.next
	} else {
		c.oldest = p.next
	}
	if p.next != nil {
		p.next.prev = p.prev
	} else {
		c.newest = p.prev
	}
	p.in, p.prev, p.next = false, nil, nil
}

// add puts in a piece that somebody uses.
func (c *cache) add(key sequenceKey, parent *cachedSequence, tokens int, now time.Duration) *cachedSequence {
	p := &cachedSequence{key: key, parent: parent, tokens: tokens, users: 1, last: now}
	c.all[key] = p
	c.tokens += tokens
	if parent != nil {
		parent.children++
		c.list(parent)
	}
	return p
}

// drop takes out a piece that nobody uses and nothing goes on from.
func (c *cache) drop(p *cachedSequence) {
	if p.in {
		c.unlist(p)
	}
	c.loosen(p, -1)
	delete(c.all, p.key)
	c.tokens -= p.tokens
	if p.parent != nil {
		p.parent.children--
		c.list(p.parent)
	}
}

// evict drops pieces until so many tokens are free of them, or none may go.
func (c *cache) evict(tokens int) {
	for tokens > 0 && c.oldest != nil {
		tokens -= c.oldest.tokens
		c.evicted++
		c.drop(c.oldest)
	}
}
