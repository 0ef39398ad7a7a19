package hostmodel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// run is a running or waiting request.
type run struct {
	request       Request
	probe         bool
	arrivedAt     time.Duration
	cached        [2]*cachedSequence // the cached sequences of its prefix and of its session that it uses
	cacheHit      int                // number of tokens of these sequences that it uses
	cachedTokens  int                // number of its prompt tokens that were cached when it first ran
	begun         bool
	prefillTokens int  // tokens to prefill: the prompt, and the answer tokens made before a preemption or elsewhere
	prefilled     int  // number of prefillTokens that are prefilled so far, including cacheHit
	answerTokens  int  // tokens of the answer
	memoryTokens  int  // tokens of memory that it uses in addition to the cached sequences
	ignoreCache   bool // it prefills everything, because its cached sequences and its other tokens do not fit the memory together
	ended         bool
}

// stepWorkItem is the work of a step for one request: tokens to prefill and whether to make a token.
type stepWorkItem struct {
	run     *run
	prefill int
	decode  bool
}

// Host is the model of one host. It is not safe for concurrent use.
type Host struct {
	config    Config
	rng       *rand.Rand
	results   []Result
	slowStart slowStartState

	dead, draining bool
	slowFactor     float64
	connections    int
	running        []*run // the oldest first
	waiting        []*run
	byID           map[string]*run
	runningTokens  int // sum of run.memoryTokens of the running requests
	cache          cache

	stepping  bool
	stepEnd   time.Duration // end of the present step
	stepWork  time.Duration // time that a warm, idle host would take for the present step
	stepTime  time.Duration // time that this host takes for the present step
	plan      []stepWorkItem
	extraWork time.Duration // work of handshakes and probes, which lengthens the next step

	meanFirstToken time.Duration // exponentially weighted mean time to the first token
	report         Load
	nextReport     time.Duration // when the report is refreshed next
	probes         int           // number of probes in the second that began at probeSecond
	probeSecond    time.Duration
	stats          Stats
}

// New returns a warm, idle host.
func New(c Config, seed uint64) *Host {
	return &Host{config: c, rng: rand.New(rand.NewPCG(seed, 1)), slowFactor: 1, byID: map[string]*run{}, cache: newCache(),
		slowStart: slowStartState{config: c.SlowStart, alwaysWarm: true}}
}

// Next returns the time at which the present step ends, which is when the owner has to call Step
// again if no event happens before. If no step is running, ok is false.
func (h *Host) Next() (at time.Duration, ok bool) { return h.stepEnd, h.stepping }

// Step advances the host to the time now, applies one event, and returns the results in the order of
// their times. The slice is valid until the next call.
func (h *Host) Step(now time.Duration, e Event) []Result {
	h.results = h.results[:0]
	for h.stepping && h.stepEnd <= now {
		h.refreshReport(h.stepEnd)
		h.finishStep(h.stepEnd)
		h.beginStep(h.stepEnd)
	}
	h.refreshReport(now)
	h.apply(now, e)
	if !h.stepping {
		h.beginStep(now)
	}
	return h.results
}

func (h *Host) emit(r Result) { h.results = append(h.results, r) }

func (h *Host) apply(now time.Duration, e Event) {
	switch e := e.(type) {
	case Arrive:
		h.arrive(now, e.Request, false)
	case Cancel:
		if r := h.byID[e.ID]; r != nil {
			h.cancel(r, now)
		}
	case Connect:
		if h.dead || h.config.MaxConnections > 0 && h.connections >= h.config.MaxConnections {
			h.emit(Result{Kind: TableFull, At: now})
			return
		}
		h.connections++
		h.extraWork += h.config.HandshakeWork
	case Disconnect:
		h.connections = max(h.connections-1, 0)
	case Probe:
		h.probe(now, e)
	case Slow:
		h.slowFactor = max(e.Factor, 0)
	case Drain:
		h.draining = true
	case Crash:
		h.crash(now)
	case Start:
		if h.dead {
			h.dead, h.draining, h.connections = false, false, 0
			h.slowStart = slowStartState{config: h.config.SlowStart, startedAt: now, maxBudgetUsed: h.slowStart.maxBudgetUsed}
		}
	}
}

func (h *Host) probe(now time.Duration, p Probe) {
	if now >= h.probeSecond+time.Second {
		h.probeSecond, h.probes = now-now%time.Second, 0
	}
	h.probes++
	switch {
	case h.dead:
		h.reject(now, p.ID, Dead)
	case h.config.MaxProbesPerSecond > 0 && h.probes > h.config.MaxProbesPerSecond:
		h.reject(now, p.ID, QueueFull)
	case p.Deep:
		h.extraWork += h.config.ProbeWork
		h.arrive(now, Request{ID: p.ID, PromptTokens: 1, AnswerTokens: 1, MaxAnswerTokens: 1}, true)
	default:
		h.extraWork += h.config.ProbeWork
		h.emit(Result{Kind: ProbeAnswered, At: now, ID: p.ID, Load: h.Load(now)})
	}
}

func (h *Host) reject(now time.Duration, id string, why RejectReason) {
	h.stats.Rejected++
	h.emit(Result{Kind: Rejected, At: now, ID: id, Reason: why})
}

func (h *Host) arrive(now time.Duration, q Request, probe bool) {
	q.AnswerTokens, q.PromptTokens = max(q.AnswerTokens, q.TokensMade+1, 1), max(q.PromptTokens, 1)
	switch {
	case h.dead:
		h.reject(now, q.ID, Dead)
	case h.draining:
		h.reject(now, q.ID, Draining)
	case q.PromptTokens+max(q.AnswerTokens, q.MaxAnswerTokens) > h.config.Memory:
		h.reject(now, q.ID, TooLong)
	case h.byID[q.ID] != nil, len(h.waiting) >= h.config.Queue+max(h.config.Slots-len(h.running), 0):
		h.reject(now, q.ID, QueueFull)
	default:
		r := &run{request: q, probe: probe, arrivedAt: now, prefillTokens: q.PromptTokens + q.TokensMade, answerTokens: q.TokensMade}
		h.byID[q.ID] = r
		h.waiting = append(h.waiting, r)
	}
	// Work and calls sent during the slow start count even if the request was rejected.
	if !h.dead && !q.StartUnknown {
		h.slowStart.countCall(now)
	}
	if !h.dead && h.slowStart.addWork(now, h.slowStart.work(&q)) {
		h.emit(Result{Kind: Overloaded, At: now})
		h.crash(now)
	}
}

// cancel ends a request. The present step still takes as long as planned.
func (h *Host) cancel(r *run, now time.Duration) {
	r.ended = true
	delete(h.byID, r.request.ID)
	if i := slices.Index(h.waiting, r); i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	}
	if i := slices.Index(h.running, r); i >= 0 {
		h.running = slices.Delete(h.running, i, i+1)
		h.releaseMemory(r, now)
	}
}

// releaseMemory releases the memory of a running request.
func (h *Host) releaseMemory(r *run, now time.Duration) {
	h.runningTokens -= r.memoryTokens
	r.memoryTokens = 0
	for i, p := range r.cached {
		if p != nil {
			h.cache.unpin(p, now)
			r.cached[i] = nil
		}
	}
}

func (h *Host) crash(now time.Duration) {
	if h.dead {
		return
	}
	for _, r := range append(h.running, h.waiting...) {
		r.ended = true
		h.emit(Result{Kind: Interrupted, At: now, ID: r.request.ID})
	}
	h.dead, h.stepping, h.connections, h.extraWork, h.meanFirstToken = true, false, 0, 0, 0
	h.running, h.waiting, h.plan, h.runningTokens, h.cache = nil, nil, nil, 0, newCache()
	clear(h.byID)
}

// beginStep admits waiting requests, plans a step, reserves the step's memory and starts the step.
// It starts none if there is no request to work on.
func (h *Host) beginStep(now time.Duration) {
	h.stepping = false
	if h.dead {
		return
	}
	for {
		h.admit(now)
		for h.plan = h.planStep(); len(h.plan) > 0 && !h.reserveMemory(); h.plan = h.planStep() {
			h.preempt(now)
		}
		if len(h.plan) > 0 {
			break
		}
		if len(h.waiting) == 0 {
			return
		}
		h.waiting[0].ignoreCache = true // nothing runs, so this request fits if it uses no cached sequences
	}
	h.stepWork = h.stepLength() + h.extraWork
	h.extraWork = 0
	h.stepTime = max(time.Duration(float64(h.stepWork)*h.slowFactor/h.capacity(now)), 1)
	h.stepping, h.stepEnd = true, now+h.stepTime
}

// admit moves waiting requests to the running ones, in the order of the queue, while there is a slot
// and enough memory for the next one's prompt.
func (h *Host) admit(now time.Duration) {
	for len(h.waiting) > 0 && len(h.running) < h.config.Slots {
		r := h.waiting[0]
		var path [2]*cachedSequence
		found := 0
		if !r.ignoreCache {
			path, found = h.cache.find(&r.request, r.prefillTokens-1, h.config.Block)
		}
		for _, p := range path { // pinned sequences do not count as evictable in the memory check below
			if p != nil {
				h.cache.pin(p)
			}
		}
		if unread := r.prefillTokens - found; h.runningTokens+h.committedTokens()+unread > h.config.Memory-(h.cache.tokens-h.cache.evictableTokens) {
			for _, p := range path {
				if p != nil {
					h.cache.unpin(p, p.lastUsed)
				}
			}
			return
		}
		h.waiting = h.waiting[1:]
		r.cached, r.cacheHit, r.prefilled = path, found, found
		if !r.begun {
			r.begun, r.cachedTokens = true, min(found, r.request.PromptTokens)
			h.stats.CachedTokens += uint64(r.cachedTokens)
		}
		h.running = append(h.running, r)
	}
}

// committedTokens returns the number of tokens that running requests have yet to prefill.
func (h *Host) committedTokens() (n int) {
	for _, r := range h.running {
		n += r.prefillTokens - r.prefilled
	}
	return n
}

// planStep plans a step. It prefills up to Chunk tokens, the oldest request first, and makes a token
// for each request whose prompt is completely prefilled at the end of the step.
func (h *Host) planStep() []stepWorkItem {
	plan, left := h.plan[:0], h.config.Chunk
	for _, r := range h.running {
		d := stepWorkItem{run: r, prefill: min(r.prefillTokens-r.prefilled, left)}
		left -= d.prefill
		d.decode = r.prefilled+d.prefill == r.prefillTokens
		if d.prefill > 0 || d.decode {
			plan = append(plan, d)
		}
	}
	return plan
}

// reserveMemory evicts cached sequences until the planned step fits the memory. It reports whether
// the step fits.
func (h *Host) reserveMemory() bool {
	more := 0
	for _, d := range h.plan {
		if more += d.prefill; d.decode {
			more++
		}
	}
	over := h.runningTokens + h.cache.tokens + more - h.config.Memory
	if over > h.cache.evictableTokens {
		return false
	}
	before := h.cache.evicted
	h.cache.evict(over)
	h.stats.Evicted += h.cache.evicted - before
	return true
}

// preempt moves the newest running request to the head of the queue. When the request runs again,
// it prefills its prompt and the answer tokens that it has made.
func (h *Host) preempt(now time.Duration) {
	r := h.running[len(h.running)-1]
	h.running = h.running[:len(h.running)-1]
	h.releaseMemory(r, now)
	r.prefillTokens, r.prefilled, r.cacheHit = r.request.PromptTokens+r.answerTokens, 0, 0
	h.waiting = slices.Insert(h.waiting, 0, r)
	h.stats.Preempted++
	h.emit(Result{Kind: Preempted, At: now, ID: r.request.ID})
}

// stepLength returns how long the planned step takes on a warm, idle host that is not slowed down.
func (h *Host) stepLength() time.Duration {
	contexts, read, pairs := 0, 0, 0.0
	for _, r := range h.running {
		contexts += r.prefilled + r.answerTokens - min(r.answerTokens, r.prefillTokens-r.request.PromptTokens)
	}
	for _, d := range h.plan {
		read += d.prefill
		pairs += float64(d.prefill) * (float64(d.run.prefilled) + float64(d.prefill)/2)
	}
	length := h.config.Base + time.Duration(len(h.running))*h.config.PerSeq + time.Duration(float64(contexts)/1000*float64(h.config.ContextPerK)) +
		time.Duration(pairs/1e6*float64(h.config.PairsPerM))
	if h.config.ReadPerS > 0 {
		length += time.Duration(float64(read) / h.config.ReadPerS * float64(time.Second))
	}
	return length
}

// capacity returns the host's speed as a fraction of the speed of a warm, idle host.
func (h *Host) capacity(now time.Duration) float64 {
	share := h.slowStart.capacity(now)
	if h.config.MaxConnections > 0 {
		share *= 1 - h.config.TableCost*float64(h.connections)/float64(h.config.MaxConnections)
	}
	return max(share, 0.01)
}

// finishStep completes the present step: it counts the prefilled tokens, emits the tokens made and
// completes requests.
func (h *Host) finishStep(now time.Duration) {
	h.stats.Steps++
	h.stats.Busy += h.stepTime
	h.slowStart.workDone += h.stepWork
	for _, d := range h.plan {
		r := d.run
		if r.ended {
			continue
		}
		r.prefilled += d.prefill
		r.memoryTokens += d.prefill
		h.runningTokens += d.prefill
		h.stats.PrefillTokens += uint64(d.prefill)
		h.cachePrefix(r, now)
		if !d.decode {
			continue
		}
		r.answerTokens++
		r.memoryTokens++
		h.runningTokens++
		h.stats.Tokens++
		if r.answerTokens == r.request.TokensMade+1 {
			if took := now - r.arrivedAt; h.meanFirstToken == 0 {
				h.meanFirstToken = took
			} else {
				h.meanFirstToken += (took - h.meanFirstToken) / 8
			}
		}
		if !r.probe {
			h.emit(Result{Kind: Token, At: now, ID: r.request.ID, CachedTokens: r.cachedTokens})
		}
		if r.answerTokens >= r.request.AnswerTokens {
			h.completeRequest(r, now)
		}
	}
	h.plan = h.plan[:0]
}

// cachePrefix adds the prefix of a prompt to the cache once the prefix is prefilled, for use by
// requests of other sessions.
func (h *Host) cachePrefix(r *run, now time.Duration) {
	shared := alignToBlock(min(r.request.PrefixTokens, r.request.PromptTokens), h.config.Block)
	key := sequenceKey{name: r.request.Prefix}
	if r.request.Prefix == "" || shared == 0 || r.cached[0] != nil || r.cached[1] != nil || r.prefilled < shared || h.cache.sequences[key] != nil {
		return
	}
	r.cached[0] = h.cache.add(key, nil, shared, now)
	r.memoryTokens -= shared
	h.runningTokens -= shared
}

// completeRequest ends a request after its last token, and caches its tokens for the next request of
// the session.
func (h *Host) completeRequest(r *run, now time.Duration) {
	delete(h.byID, r.request.ID)
	h.running = slices.DeleteFunc(h.running, func(x *run) bool { return x == r })
	if r.probe {
		h.releaseMemory(r, now)
		h.emit(Result{Kind: ProbeAnswered, At: now, ID: r.request.ID, Load: h.Load(now)})
		return
	}
	h.cacheSession(r, now)
	h.releaseMemory(r, now)
	h.emit(Result{Kind: LastToken, At: now, ID: r.request.ID, CachedTokens: r.cachedTokens})
}

func (h *Host) cacheSession(r *run, now time.Duration) {
	if r.request.Session == "" {
		return
	}
	length := r.request.PromptTokens
	if h.config.CachesAnswers {
		length += r.answerTokens
	}
	var base int
	prefix := r.cached[0]
	if prefix != nil {
		base = prefix.tokens
	}
	key := sequenceKey{r.request.Session, true}
	more := alignToBlock(length, h.config.Block) - base
	old := h.cache.sequences[key]
	if old != nil && (old.parent != prefix || old.tokens < more) {
		selfUses := 0
		if r.cached[1] == old {
			selfUses = 1
		}
		if old.users > selfUses { // another request of the session still uses it
			return
		}
		if selfUses == 1 {
			r.memoryTokens += old.tokens // the tokens of the dropped sequence now count as the request's own
			h.runningTokens += old.tokens
			h.cache.unpin(old, now)
			r.cached[1] = nil
		}
		h.cache.drop(old)
		old = nil
	}
	if old != nil || more <= 0 || more > r.memoryTokens {
		return
	}
	r.cached[1] = h.cache.add(key, prefix, more, now)
	r.memoryTokens -= more
	h.runningTokens -= more
}

// refreshReport refreshes the load report from the present state, if a refresh is due.
func (h *Host) refreshReport(now time.Duration) {
	if h.config.ReportInterval > 0 && now >= h.nextReport {
		h.report = h.addNoise(h.exactLoad())
		h.nextReport = now - now%h.config.ReportInterval + h.config.ReportInterval
	}
}

func (h *Host) exactLoad() Load {
	l := Load{Running: len(h.running), Waiting: len(h.waiting), Utilization: float64(len(h.running)) / float64(max(h.config.Slots, 1)), FirstTokenTime: h.meanFirstToken,
		Memory: float64(h.pinnedTokens()) / float64(max(h.config.Memory, 1))}
	for _, r := range h.running {
		l.PrefillThousands += float64(r.prefillTokens-r.prefilled) / 1000
	}
	for _, r := range h.waiting {
		l.PrefillThousands += float64(r.prefillTokens) / 1000
	}
	return l
}

func (h *Host) pinnedTokens() int { return h.runningTokens + h.cache.tokens - h.cache.evictableTokens }

func (h *Host) addNoise(l Load) Load {
	if h.config.ReportNoise > 0 {
		factor := func() float64 { return max(1+h.config.ReportNoise*h.rng.NormFloat64(), 0) }
		l.Utilization *= factor()
		l.Memory *= factor()
		l.PrefillThousands *= factor()
		l.FirstTokenTime = time.Duration(float64(l.FirstTokenTime) * factor())
	}
	return l
}

// Load returns the current load report, which includes noise if ReportNoise is set.
func (h *Host) Load(now time.Duration) Load {
	if h.config.ReportInterval <= 0 {
		return h.addNoise(h.exactLoad())
	}
	h.refreshReport(now)
	return h.report
}

// Stats returns the counters and the exact state.
func (h *Host) Stats(now time.Duration) Stats {
	s := h.stats
	s.Running, s.Waiting, s.UsedTokens, s.RunningTokens, s.Connections = len(h.running), len(h.waiting), h.runningTokens+h.cache.tokens, h.pinnedTokens(), h.connections
	s.Capacity, s.Alive, s.SlowStartBudgetUsed = h.capacity(now), !h.dead, h.slowStart.maxBudgetUsed
	return s
}
