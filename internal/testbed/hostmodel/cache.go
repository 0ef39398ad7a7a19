package hostmodel

import "time"

// cachedSequence is a sequence of cached tokens: either a prefix that sessions share, or the part of
// one session that follows its prefix.
type cachedSequence struct {
	key      sequenceKey
	parent   *cachedSequence // the prefix that a session's sequence extends, nil for none
	tokens   int
	users    int // number of running requests that use it
	children int // number of sessions' sequences that extend it
	lastUsed time.Duration

	evictable  bool // it is in the list of evictable sequences
	prev, next *cachedSequence
}

type sequenceKey struct {
	name    string
	session bool
}

// cache holds the cached sequences. A sequence is evictable if no request uses it and no other
// sequence extends it. The least recently used sequence is evicted first.
type cache struct {
	sequences       map[sequenceKey]*cachedSequence
	oldest, newest  *cachedSequence // ends of the list of evictable sequences
	tokens          int             // tokens of all sequences
	evictableTokens int             // tokens of the sequences without users, even if others extend them: those are evicted first
	evicted         uint64
}

func newCache() cache { return cache{sequences: map[sequenceKey]*cachedSequence{}} }

// find returns the cached sequences with which a prompt begins, and how many of the prompt's first
// tokens they hold, at most limit.
func (c *cache) find(r *Request, limit, block int) (path [2]*cachedSequence, found int) {
	if p := c.sequences[sequenceKey{name: r.Prefix}]; r.Prefix != "" && p != nil {
		if found = alignToBlock(min(p.tokens, r.PrefixTokens, limit), block); found > 0 {
			path[0] = p
		}
	}
	s := c.sequences[sequenceKey{r.Session, true}]
	if r.Session == "" || s == nil {
		return path, found
	}
	if s.parent == nil { // the session's sequence includes its prefix
		if aligned := alignToBlock(min(s.tokens, limit), block); aligned > found {
			return [2]*cachedSequence{nil, s}, aligned
		}
		return path, found
	}
	if s.parent != path[0] || found < s.parent.tokens {
		return path, found
	}
	if more := alignToBlock(min(s.tokens, limit-found), block); more > 0 {
		path[1] = s
		found += more
	}
	return path, found
}

func alignToBlock(n, block int) int { return n - n%max(block, 1) }

// pin adds a user to a sequence, which protects it from eviction until unpin.
func (c *cache) pin(p *cachedSequence) {
	if p.users++; p.users == 1 {
		c.countEvictable(p, -1)
	}
	c.updateEvictable(p)
}

func (c *cache) unpin(p *cachedSequence, now time.Duration) {
	p.lastUsed = now
	if p.users--; p.users == 0 {
		c.countEvictable(p, 1)
	}
	c.updateEvictable(p)
}

// countEvictable adds the tokens of a sequence to evictableTokens, or subtracts them if by is -1.
func (c *cache) countEvictable(p *cachedSequence, by int) { c.evictableTokens += by * p.tokens }

// updateEvictable adds a sequence to the list of evictable sequences or removes it, as its users and
// children require. The list is ordered by last use.
func (c *cache) updateEvictable(p *cachedSequence) {
	may := p.users == 0 && p.children == 0
	switch {
	case may == p.evictable:
		return
	case !may:
		c.removeEvictable(p)
		return
	}
	after := c.newest
	for after != nil && after.lastUsed > p.lastUsed {
		after = after.prev
	}
	p.evictable, p.prev = true, after
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

func (c *cache) removeEvictable(p *cachedSequence) {
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
	p.evictable, p.prev, p.next = false, nil, nil
}

// add adds a sequence with one user to the cache.
func (c *cache) add(key sequenceKey, parent *cachedSequence, tokens int, now time.Duration) *cachedSequence {
	p := &cachedSequence{key: key, parent: parent, tokens: tokens, users: 1, lastUsed: now}
	c.sequences[key] = p
	c.tokens += tokens
	if parent != nil {
		parent.children++
		c.updateEvictable(parent)
	}
	return p
}

// drop removes a sequence that has no users and no children.
func (c *cache) drop(p *cachedSequence) {
	if p.evictable {
		c.removeEvictable(p)
	}
	c.countEvictable(p, -1)
	delete(c.sequences, p.key)
	c.tokens -= p.tokens
	if p.parent != nil {
		p.parent.children--
		c.updateEvictable(p.parent)
	}
}

// evict drops evictable sequences until they have freed the given number of tokens, or until no
// sequence is evictable.
func (c *cache) evict(tokens int) {
	for tokens > 0 && c.oldest != nil {
		tokens -= c.oldest.tokens
		c.evicted++
		c.drop(c.oldest)
	}
}
