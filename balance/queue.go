package balance

// The queue of requests: which are admitted, which leaves next, which are rejected.

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"

	"reachspread/internal/rendezvous"
)

const (
	// targetFraction is the largest part of the time left to a latency target that a first token
	// may be expected to take. The rest is left to decoding.
	targetFraction = 0.6
	// yieldFraction is the wait from which on a request yields to a class of higher value, as a
	// part of that class's latency target.
	yieldFraction = 0.4
	// yieldFractionGrowth is added to yieldFraction once a request was queued for as long as its
	// own latency target, and in proportion before and after.
	yieldFractionGrowth = 0.25
	// retryAfterFraction is the part of the time left to its latency target for which a rejected
	// client is told to stay away. Longer would cost it the target.
	retryAfterFraction = 0.2
	// minRetryAfter is the shortest advice to a rejected client.
	minRetryAfter = 50 * time.Millisecond
	// undelayedQueueLength is the number of queued requests up to which each is tried at each Step.
	undelayedQueueLength = 5
	// rescheduleDelay is added, for each request beyond undelayedQueueLength, to the time until a
	// request that found no replica is tried again.
	rescheduleDelay = 3 * time.Millisecond
)

// handleArrival queues a new request. One of an unknown class is rejected, which is safe as nothing
// has executed yet; one whose ID is in use is ignored.
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

// enqueue adds a request to the queue: a new one, or one that is to be retried.
func (b *Balancer) enqueue(q *request) {
	b.decayWork()
	b.queue = append(b.queue, q)
	b.offeredWork += b.workOf(q)
}

// dispatch sends queued requests, the highest response ratio first, and answers those that expired
// or would miss their latency target. A late request of the highest value stays queued: others
// yield to it, and the capacity that they leave must not stay idle.
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
	clear(b.queue[len(waiting):]) // so that answered requests can be collected
	b.queue = waiting
}

// sortQueue orders the queue by response ratio, 1 + wait / estimated run time, the highest first.
func (b *Balancer) sortQueue() {
	ratio := make(map[*request]float64, len(b.queue))
	for _, q := range b.queue {
		runTime := (q.PromptTokens-q.PrefixTokens)*defaultPrefillTime + q.class.decodeTime
		ratio[q] = 1 + (b.now-q.arrivedAt).Seconds()/runTime
	}
	sort.SliceStable(b.queue, func(i, j int) bool { return ratio[b.queue[i]] > ratio[b.queue[j]] })
}

// schedule finds a replica on which q meets its latency target and takes no time from a class of
// higher value. It returns nil if q stays queued, and late if q would miss its target. No replica
// is chosen where even the shortest wait of all is too long. The longer the queue, the later a
// request that found none is tried again.
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
	for range 2 { // the best of the samples, then the best of all candidates
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

// expiresAt returns when it is of no use to keep a request queued any longer: shortly before its
// client gives up, or at its latency target where a late answer has no value.
func (b *Balancer) expiresAt(q *request) time.Duration {
	end := q.deadline - 2*b.cfg.StepInterval
	if q.class.LateValueFraction == 0 {
		end = min(end, q.arrivedAt+q.latencyTarget)
	}
	return end
}

// missesTarget reports whether q, with so many seconds until its first token, would miss its
// latency target and so lose all of its value. That counts only where q may be rejected instead.
func (b *Balancer) missesTarget(q *request, wait float64) bool {
	left := (q.arrivedAt + q.latencyTarget - b.now).Seconds()
	return q.class.LateValueFraction == 0 && q.mayReject() && q.inFlight == 0 && wait > targetFraction*left
}

// yieldsToHigherValue reports whether q, with so many seconds until its first token, would take
// much of the time that a class of higher value has. Without it, patient requests of low value
// would fill the replicas' queues and be first wherever capacity becomes free.
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

// retryAfter returns how long a rejected client should wait before it comes back: queues are
// shorter then, and its latency target is still in reach.
func (b *Balancer) retryAfter(q *request) time.Duration {
	left := q.arrivedAt + q.latencyTarget - b.now
	advice := max(time.Duration(retryAfterFraction*float64(left)), minRetryAfter)
	return min(advice, b.cfg.MaxRetryAfter)
}

// closeRequest notes that nothing is owed to a client any more. The request is forgotten with its
// last attempt.
func (b *Balancer) closeRequest(q *request) {
	q.closed = true
	if q.inFlight == 0 {
		delete(b.requests, q.ID)
	}
}
