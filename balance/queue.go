package balance

// The queue of requests: which requests are admitted, which leaves next, and which are rejected.

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"reachspread/internal/rendezvous"
)

const (
	// targetFraction is the largest fraction of the time left until a latency target that the wait
	// for a first token may be expected to take. The rest is reserved for decoding.
	targetFraction = 0.6
	// yieldFraction is the wait, as a fraction of the latency target of a class of higher value,
	// above which a request yields to that class.
	yieldFraction = 0.4
	// yieldFractionGrowth is added to yieldFraction when a request has been queued for as long as
	// its own latency target. For shorter and longer times it is added in proportion.
	yieldFractionGrowth = 0.25
	// retryAfterFraction is the fraction of the time left until its latency target that a rejected
	// client is told to wait before it retries. After a longer wait, the client would miss the
	// target.
	retryAfterFraction = 0.2
	// minRetryAfter is the shortest time that a rejected client is told to wait, unless
	// MaxRetryAfter is shorter.
	minRetryAfter = 50 * time.Millisecond
	// undelayedQueueLength is the number of queued requests up to which each Step tries to send
	// every request.
	undelayedQueueLength = 5
	// rescheduleDelay is the time after which a request that found no replica is tried again, for
	// each queued request beyond undelayedQueueLength.
	rescheduleDelay = 3 * time.Millisecond
)

// handleArrival queues a new request. It rejects a request of an unknown class, which is safe
// because nothing has executed yet, and ignores a request whose ID is in use.
func (b *Balancer) handleArrival(ev Arrival) {
	if b.requests[ev.ID] != nil {
		return
	}
	c := b.classes[ev.Class]
	if c == nil {
		b.emit(Reject{ID: ev.ID, RetryAfter: b.cfg.MaxRetryAfter})
		return
	}
	workTarget := time.Duration(c.LatencyTargetWorkFactor * float64(ev.WorkEstimate))
	q := &request{
		Arrival:       ev,
		class:         c,
		arrivedAt:     b.now,
		deadline:      b.now + ev.TimeLeft,
		draw:          b.rng.Float64(),
		latencyTarget: c.latencyTargetFor(ev.PromptTokens) + workTarget,
		prefixHash:    rendezvous.Hash(ev.Prefix),
		sessionHash:   rendezvous.Hash(cmp.Or(ev.Session, ev.ID)),
	}
	q.prefixKey = prefixKey(q.prefixTag())
	b.requests[ev.ID] = q
	b.cfg.RetryBudget.RecordRequest(ev.Resumed)
	b.prefixCounts.Add(q.prefixKey)
	b.enqueue(q)
}

// enqueue adds a new request, or one that is to be retried, to the queue.
func (b *Balancer) enqueue(q *request) {
	b.decayWork()
	b.queue = append(b.queue, q)
	b.offeredWork += b.workOf(q)
}

// dispatch sends queued requests in order of their response ratio, the highest first, and answers
// those that have expired or would miss their latency target. A request of the highest value that
// would miss its target stays queued, because other requests yield to it and the capacity that they
// leave must not stay idle.
func (b *Balancer) dispatch() {
	b.sortQueue()
	waiting := b.queue[:0]
	shortest := b.shortestWait()
	for _, q := range b.queue {
		r, late := b.schedule(q, shortest)
		mayRejectLate := q.class.Value < b.maxValue || b.maxValue == b.minValue
		switch {
		case q.closed:
		case b.now >= b.expiresAt(q) || late && mayRejectLate:
			b.answerUnserved(q)
		case r != nil:
			b.send(q, r)
		default:
			waiting = append(waiting, q)
		}
	}
	clear(b.queue[len(waiting):]) // release answered requests to the garbage collector
	b.queue = waiting
}

// sortQueue sorts the queue by response ratio, 1 + wait / estimated run time, the highest first.
func (b *Balancer) sortQueue() {
	ratio := make(map[*request]float64, len(b.queue))
	for _, q := range b.queue {
		runTime := (q.PromptTokens-q.PrefixTokens)*defaultPrefillTime + q.class.decodeTime
		ratio[q] = 1 + (b.now-q.arrivedAt).Seconds()/runTime
	}
	sort.SliceStable(b.queue, func(i, j int) bool { return ratio[b.queue[i]] > ratio[b.queue[j]] })
}

// schedule returns a replica on which q meets its latency target without using much of the latency
// target of a class of higher value. It returns nil if q stays queued, and late if q would miss its
// target. If even the shortest wait of all replicas is too long, it chooses no replica. A request
// that found no replica is tried again after a delay that grows with the length of the queue.
func (b *Balancer) schedule(q *request, shortest float64) (r *replica, late bool) {
	if q.closed || b.now < q.rescheduleAt || math.IsInf(shortest, 1) {
		return nil, false
	}
	if b.missesTarget(q, shortest) {
		return nil, true
	}
	if b.yieldsToHigherValue(q, shortest) {
		return nil, false
	}
	r = b.chooseReplica(q)
	if r == nil || b.awaitsProbes(q) {
		return nil, false
	}
	for range 2 { // first the best sample, then the best of all candidates
		wait := b.effectiveWait(q, r)
		late = b.missesTarget(q, wait)
		if !late && !b.yieldsToHigherValue(q, wait) {
			return r, false
		}
		r = b.cheapest(q, append(b.candidates, b.unassignedSamples(q)...))
	}
	delayed := max(len(b.queue)-undelayedQueueLength, 0)
	q.rescheduleAt = b.now + time.Duration(delayed)*rescheduleDelay
	return nil, late
}

// expiresAt returns when a queued request expires: shortly before its client gives up, or at its
// latency target if a late answer has no value.
func (b *Balancer) expiresAt(q *request) time.Duration {
	end := q.deadline - 2*b.cfg.StepInterval
	if q.class.LateValueFraction == 0 {
		end = min(end, q.arrivedAt+q.latencyTarget)
	}
	return end
}

// missesTarget reports whether q, with wait seconds until its first token, would miss its latency
// target and thereby lose all of its value. It returns false if q may not be rejected.
func (b *Balancer) missesTarget(q *request, wait float64) bool {
	left := (q.arrivedAt + q.latencyTarget - b.now).Seconds()
	return q.class.LateValueFraction == 0 && q.mayReject() && q.inFlight == 0 && wait > targetFraction*left
}

// yieldsToHigherValue reports whether q, with wait seconds until its first token, would use much of
// the latency target of a class of higher value. Without this rule, requests of low value with long
// latency targets would fill the replicas' queues and take any capacity that becomes free.
func (b *Balancer) yieldsToHigherValue(q *request, wait float64) bool {
	waited, target := float64(b.now-q.arrivedAt), float64(max(q.latencyTarget, 1))
	fraction := yieldFraction + yieldFractionGrowth*waited/target
	return slices.ContainsFunc(b.cfg.Classes, func(c Class) bool {
		return c.Value > q.class.Value && wait > fraction*c.latencyTargetFor(q.PromptTokens).Seconds()
	})
}

// answerUnserved gives the final answer to a request that no replica has served.
func (b *Balancer) answerUnserved(q *request) {
	if q.mayReject() {
		b.emit(Reject{ID: q.ID, RetryAfter: b.retryAfter(q)})
	} else {
		b.emit(Fail{ID: q.ID})
	}
	b.closeRequest(q)
}

// retryAfter returns how long a rejected client should wait before it retries. By then queues are
// expected to be shorter, and the client can still meet its latency target.
func (b *Balancer) retryAfter(q *request) time.Duration {
	left := q.arrivedAt + q.latencyTarget - b.now
	advice := max(time.Duration(retryAfterFraction*float64(left)), minRetryAfter)
	return min(advice, b.cfg.MaxRetryAfter)
}

// closeRequest marks a request whose client is owed no further answer. It deletes the request if no
// attempt is in flight.
func (b *Balancer) closeRequest(q *request) {
	q.closed = true
	if q.inFlight == 0 {
		delete(b.requests, q.ID)
	}
}
