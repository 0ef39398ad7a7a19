package hostmodel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// run is a request in work, or waiting.
type run struct {
	req   Request
	probe bool
	came  time.Duration
	path  [2]*cachedSequence // the pieces that it uses: of its beginning, and of its session
	found int                // tokens of them
	kept  int                // of its prompt, when it began for the first time
	begun bool
	need  int  // tokens to be read before it makes any: prompt, and what of the answer was made elsewhere or before
	read  int  // of them, the ones found among them
	made  int  // tokens of the answer
	own   int  // tokens of memory that are its own
	bare  bool // what it would find kept, and all else, does not fit beside it: it reads everything
	gone  bool
}

// doing is what a step does for one request.
type doing struct {
	run  *run
	read int
	make bool
}

// Host is one host.
type Host struct {
	c    Config
	rng  *rand.Rand
	out  []Result
	warm warmth

	dead, draining bool
	slow           float64
	conns          int
	running        []*run // the oldest first
	waiting        []*run
	byID           map[string]*run
	own            int // tokens of all running requests' own
	cache          cache

	stepping bool
	ends     time.Duration // the step at hand
	work     time.Duration // of it, as a warm, idle host counts it
	took     time.Duration
	plan     []doing
	extra    time.Duration // work of handshakes and probes, for the next step

	first     time.Duration // to the first token, a decayed mean
	report    Load
	refreshed time.Duration // when the report is refreshed next
	probes    int           // in the second at hand
	second    time.Duration
	stats     Stats
}

// New returns a warm, idle host.
func New(c Config, seed uint64) *Host {
	return &Host{c: c, rng: rand.New(rand.NewPCG(seed, 1)), slow: 1, byID: map[string]*run{}, cache: newCache(),
		warm: warmth{c: c.SlowStart, never: true}}
}

// Next returns when the host has something to tell unless something happens before; ok is false if
// it never has.
func (h *Host) Next() (at time.Duration, ok bool) { return h.ends, h.stepping }

// Step takes in the time and one event, and returns what came of the host's work by then, in order.
// The slice is used again by the next call.
func (h *Host) Step(now time.Duration, e Event) []Result {
	h.out = h.out[:0]
	for h.stepping && h.ends <= now {
		h.refresh(h.ends)
		h.finish(h.ends)
		h.begin(h.ends)
	}
	h.refresh(now)
	h.take(now, e)
	if !h.stepping {
		h.begin(now)
	}
	return h.out
}

func (h *Host) emit(r Result) { h.out = append(h.out, r) }

func (h *Host) take(now time.Duration, e Event) {
	switch e := e.(type) {
	case Arrive:
		h.arrive(now, e.Request, false)
	case Cancel:
		if r := h.byID[e.ID]; r != nil {
			h.leave(r, now)
		}
	case Connect:
		if h.dead || h.c.Conns > 0 && h.conns >= h.c.Conns {
			h.emit(Result{Kind: TableFull, At: now})
			return
		}
		h.conns++
		h.extra += h.c.Handshake
	case Disconnect:
		h.conns = max(h.conns-1, 0)
	case Probe:
		h.probed(now, e)
	case Slow:
		h.slow = max(e.Factor, 0)
	case Drain:
		h.draining = true
	case Die:
		h.die(now)
	case Start:
		if h.dead {
			h.dead, h.draining, h.conns = false, false, 0
			h.warm = warmth{c: h.c.SlowStart, born: now, worst: h.warm.worst}
		}
	}
}

func (h *Host) probed(now time.Duration, p Probe) {
	if now >= h.second+time.Second {
		h.second, h.probes = now-now%time.Second, 0
	}
	h.probes++
	switch {
	case h.dead:
		h.turnAway(now, p.ID, Dead)
	case h.c.ProbesMax > 0 && h.probes > h.c.ProbesMax:
		h.turnAway(now, p.ID, QueueFull)
	case p.Deep:
		h.extra += h.c.Probe
		h.arrive(now, Request{ID: p.ID, Prompt: 1, Out: 1, MaxOut: 1}, true)
	default:
		h.extra += h.c.Probe
		h.emit(Result{Kind: Answered, At: now, ID: p.ID, Load: h.Load(now)})
	}
}

func (h *Host) turnAway(now time.Duration, id string, why Why) {
	h.stats.TurnedAway++
	h.emit(Result{Kind: TurnedAway, At: now, ID: id, Why: why})
}

func (h *Host) arrive(now time.Duration, q Request, probe bool) {
	q.Out, q.Prompt = max(q.Out, q.Made+1, 1), max(q.Prompt, 1)
	switch {
	case h.dead:
		h.turnAway(now, q.ID, Dead)
	case h.draining:
		h.turnAway(now, q.ID, Draining)
	case q.Prompt+max(q.Out, q.MaxOut) > h.c.Memory:
		h.turnAway(now, q.ID, TooLong)
	case h.byID[q.ID] != nil, len(h.waiting) >= h.c.Queue+max(h.c.Slots-len(h.running), 0):
		h.turnAway(now, q.ID, QueueFull)
	default:
		r := &run{req: q, probe: probe, came: now, need: q.Prompt + q.Made, made: q.Made}
		h.byID[q.ID] = r
		h.waiting = append(h.waiting, r)
	}
	// What is sent to a cold host counts, whatever it does with it.
	if !h.dead && !q.Untold {
		h.warm.count(now)
	}
	if !h.dead && h.warm.topples(now, h.warm.work(&q)) {
		h.emit(Result{Kind: Fell, At: now})
		h.die(now)
	}
}

// leave ends a request that nobody waits for. The step at hand takes as long as it would have.
func (h *Host) leave(r *run, now time.Duration) {
	r.gone = true
	delete(h.byID, r.req.ID)
	if i := slices.Index(h.waiting, r); i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	}
	if i := slices.Index(h.running, r); i >= 0 {
		h.running = slices.Delete(h.running, i, i+1)
		h.free(r, now)
	}
}

// free gives a running request's memory back.
func (h *Host) free(r *run, now time.Duration) {
	h.own -= r.own
	r.own = 0
	for i, p := range r.path {
		if p != nil {
			h.cache.unpin(p, now)
			r.path[i] = nil
		}
	}
}

func (h *Host) die(now time.Duration) {
	if h.dead {
		return
	}
	for _, r := range append(h.running, h.waiting...) {
		r.gone = true
		h.emit(Result{Kind: Broken, At: now, ID: r.req.ID})
	}
	h.dead, h.stepping, h.conns, h.extra, h.first = true, false, 0, 0, 0
	h.running, h.waiting, h.plan, h.own, h.cache = nil, nil, nil, 0, newCache()
	clear(h.byID)
}

// begin starts a step if there is anything to do: it takes in who waits, divides what is to be
// read, and finds the memory for it.
func (h *Host) begin(now time.Duration) {
	h.stepping = false
	if h.dead {
		return
	}
	for {
		h.admit(now)
		for h.plan = h.divide(); len(h.plan) > 0 && !h.fits(); h.plan = h.divide() {
			h.preempt(now)
		}
		if len(h.plan) > 0 {
			break
		}
		if len(h.waiting) == 0 {
			return
		}
		h.waiting[0].bare = true // nothing runs, so this one fits
	}
	h.work = h.length() + h.extra
	h.extra = 0
	h.took = max(time.Duration(float64(h.work)*h.slow/h.capacity(now)), 1)
	h.stepping, h.ends = true, now+h.took
}

// admit takes in who waits, first come first, while there are slots and memory for the prompt.
func (h *Host) admit(now time.Duration) {
	for len(h.waiting) > 0 && len(h.running) < h.c.Slots {
		r := h.waiting[0]
		var path [2]*cachedSequence
		found := 0
		if !r.bare {
			path, found = h.cache.find(&r.req, r.need-1, h.c.Block)
		}
		for _, p := range path { // pinned, they don't count as memory to be had
			if p != nil {
				h.cache.pin(p)
			}
		}
		if unread := r.need - found; h.own+h.committedTokens()+unread > h.c.Memory-(h.cache.tokens-h.cache.loose) {
			for _, p := range path {
				if p != nil {
					h.cache.unpin(p, p.last)
				}
			}
			return
		}
		h.waiting = h.waiting[1:]
		r.path, r.found, r.read = path, found, found
		if !r.begun {
			r.begun, r.kept = true, min(found, r.req.Prompt)
			h.stats.Kept += uint64(r.kept)
		}
		h.running = append(h.running, r)
	}
}

// committedTokens returns the tokens that running requests have yet to read.
func (h *Host) committedTokens() (n int) {
	for _, r := range h.running {
		n += r.need - r.read
	}
	return n
}

// divide shares out a step: up to Chunk prompt tokens, first come first, and a token for each
// request whose prompt is read by its end.
func (h *Host) divide() []doing {
	plan, left := h.plan[:0], h.c.Chunk
	for _, r := range h.running {
		d := doing{run: r, read: min(r.need-r.read, left)}
		left -= d.read
		d.make = r.read+d.read == r.need
		if d.read > 0 || d.make {
			plan = append(plan, d)
		}
	}
	return plan
}

// fits tells whether there is memory for the step, and evicts what is in the way.
func (h *Host) fits() bool {
	more := 0
	for _, d := range h.plan {
		if more += d.read; d.make {
			more++
		}
	}
	over := h.own + h.cache.tokens + more - h.c.Memory
	if over > h.cache.loose {
		return false
	}
	before := h.cache.evicted
	h.cache.evict(over)
	h.stats.Evicted += h.cache.evicted - before
	return true
}

// preempt puts the newest running request back at the head of the queue. What it has made is read
// again.
func (h *Host) preempt(now time.Duration) {
	r := h.running[len(h.running)-1]
	h.running = h.running[:len(h.running)-1]
	h.free(r, now)
	r.need, r.read, r.found = r.req.Prompt+r.made, 0, 0
	h.waiting = slices.Insert(h.waiting, 0, r)
	h.stats.Preempted++
	h.emit(Result{Kind: Preempted, At: now, ID: r.req.ID})
}

// length is how long the step takes on a warm, idle host that is not slowed.
func (h *Host) length() time.Duration {
	contexts, read, pairs := 0, 0, 0.0
	for _, r := range h.running {
		contexts += r.read + r.made - min(r.made, r.need-r.req.Prompt)
	}
	for _, d := range h.plan {
		read += d.read
		pairs += float64(d.read) * (float64(d.run.read) + float64(d.read)/2)
	}
	length := h.c.Base + time.Duration(len(h.running))*h.c.PerSeq + time.Duration(float64(contexts)/1000*float64(h.c.ContextPerK)) +
		time.Duration(pairs/1e6*float64(h.c.PairsPerM))
	if h.c.ReadPerS > 0 {
		length += time.Duration(float64(read) / h.c.ReadPerS * float64(time.Second))
	}
	return length
}

// capacity is the share of a warm, idle host's speed that this one has.
func (h *Host) capacity(now time.Duration) float64 {
	share := h.warm.share(now)
	if h.c.Conns > 0 {
		share *= 1 - h.c.TableCost*float64(h.conns)/float64(h.c.Conns)
	}
	return max(share, 0.01)
}

// finish ends the step at hand.
func (h *Host) finish(now time.Duration) {
	h.stats.Steps++
	h.stats.Busy += h.took
	h.warm.done += h.work
	for _, d := range h.plan {
		r := d.run
		if r.gone {
			continue
		}
		r.read += d.read
		r.own += d.read
		h.own += d.read
		h.stats.Read += uint64(d.read)
		h.shareBeginning(r, now)
		if !d.make {
			continue
		}
		r.made++
		r.own++
		h.own++
		h.stats.Tokens++
		if r.made == r.req.Made+1 {
			if took := now - r.came; h.first == 0 {
				h.first = took
			} else {
				h.first += (took - h.first) / 8
			}
		}
		if !r.probe {
			h.emit(Result{Kind: Token, At: now, ID: r.req.ID, CachedTokens: r.kept})
		}
		if r.made >= r.req.Out {
			h.complete(r, now)
		}
	}
	h.plan = h.plan[:0]
}

// shareBeginning makes the beginning of a prompt that was just read a piece of its own, for others
// to begin with.
func (h *Host) shareBeginning(r *run, now time.Duration) {
	shared := down(min(r.req.Shared, r.req.Prompt), h.c.Block)
	key := sequenceKey{name: r.req.Prefix}
	if r.req.Prefix == "" || shared == 0 || r.path[0] != nil || r.path[1] != nil || r.read < shared || h.cache.all[key] != nil {
		return
	}
	r.path[0] = h.cache.add(key, nil, shared, now)
	r.own -= shared
	h.own -= shared
}

// complete ends a request with its last token, and keeps what its session may go on from.
func (h *Host) complete(r *run, now time.Duration) {
	delete(h.byID, r.req.ID)
	h.running = slices.DeleteFunc(h.running, func(x *run) bool { return x == r })
	if r.probe {
		h.free(r, now)
		h.emit(Result{Kind: Answered, At: now, ID: r.req.ID, Load: h.Load(now)})
		return
	}
	h.keep(r, now)
	h.free(r, now)
	h.emit(Result{Kind: LastToken, At: now, ID: r.req.ID, CachedTokens: r.kept})
}

func (h *Host) keep(r *run, now time.Duration) {
	if r.req.Session == "" {
		return
	}
	length := r.req.Prompt
	if h.c.KeepsMade {
		length += r.made
	}
	var base int
	beginning := r.path[0]
	if beginning != nil {
		base = beginning.tokens
	}
	key := sequenceKey{r.req.Session, true}
	more := down(length, h.c.Block) - base
	old := h.cache.all[key]
	if old != nil && (old.parent != beginning || old.tokens < more) {
		mine := 0
		if r.path[1] == old {
			mine = 1
		}
		if old.users > mine { // another request of the session goes on from it still
			return
		}
		if mine == 1 {
			r.own += old.tokens // what it used of the piece is its own from here on
			h.own += old.tokens
			h.cache.unpin(old, now)
			r.path[1] = nil
		}
		h.cache.drop(old)
		old = nil
	}
	if old != nil || more <= 0 || more > r.own {
		return
	}
	r.path[1] = h.cache.add(key, beginning, more, now)
	r.own -= more
	h.own -= more
}

// refresh takes the report anew if it is due by a time, from what was true until then.
func (h *Host) refresh(now time.Duration) {
	if h.c.ReportEvery > 0 && now >= h.refreshed {
		h.report = h.noisy(h.exact())
		h.refreshed = now - now%h.c.ReportEvery + h.c.ReportEvery
	}
}

func (h *Host) exact() Load {
	l := Load{Running: len(h.running), Waiting: len(h.waiting), Util: float64(len(h.running)) / float64(max(h.c.Slots, 1)), First: h.first,
		Memory: float64(h.pinnedTokens()) / float64(max(h.c.Memory, 1))}
	for _, r := range h.running {
		l.Unread += float64(r.need-r.read) / 1000
	}
	for _, r := range h.waiting {
		l.Unread += float64(r.need) / 1000
	}
	return l
}

func (h *Host) pinnedTokens() int { return h.own + h.cache.tokens - h.cache.loose }

func (h *Host) noisy(l Load) Load {
	if h.c.ReportNoise > 0 {
		factor := func() float64 { return max(1+h.c.ReportNoise*h.rng.NormFloat64(), 0) }
		l.Util *= factor()
		l.Memory *= factor()
		l.Unread *= factor()
		l.First = time.Duration(float64(l.First) * factor())
	}
	return l
}

// Load returns what the host reports by now: what was true when the report was refreshed last, and
// a little noise.
func (h *Host) Load(now time.Duration) Load {
	if h.c.ReportEvery <= 0 {
		return h.noisy(h.exact())
	}
	h.refresh(now)
	return h.report
}

// Stats returns the counters and the exact state.
func (h *Host) Stats(now time.Duration) Stats {
	s := h.stats
	s.Running, s.Waiting, s.UsedTokens, s.RunningTokens, s.Conns = len(h.running), len(h.waiting), h.own+h.cache.tokens, h.pinnedTokens(), h.conns
	s.Capacity, s.Alive, s.SlowStartBudgetUsed = h.capacity(now), !h.dead, h.warm.worst
	return s
}
