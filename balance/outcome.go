package balance

// The results of attempts: first tokens, outcomes and load reports.

import "slices"

// assumedSlots is the assumed number of slots of a replica that reports only the fraction of its
// slots in use.
const assumedSlots = 6.0

// handleFirstToken records that an answer has begun. From then on the client receives the answer,
// so the request is not retried.
func (b *Balancer) handleFirstToken(a *attempt) {
	q, r := a.request, a.replica
	a.firstTokenAt = b.now
	r.endPrefill(a)
	b.closeRequest(q)
	b.recordHealthy(r)
	took := (b.now - a.sentAt).Seconds()
	b.recordFirstToken(r, took, r.prefill.firstTokenAfter(a.tokensAhead))
	// Only the time per token is fitted, not the base time: tokens that other routers reported late
	// would raise the base time.
	r.prefill.Add(a.tokensAhead, took-baseFirstToken)
	if q.class.Streamed {
		b.adjustLimit(a)
	}
}

// endPrefill removes an attempt from those that wait for their first token.
func (r *replica) endPrefill(a *attempt) {
	r.prefilling = slices.DeleteFunc(r.prefilling, func(o *attempt) bool { return o == a })
}

// handleOutcome ends an attempt. It updates what is known of the replica, then retries or answers
// the request if the client is still owed an answer.
func (b *Balancer) handleOutcome(a *attempt, ev Outcome) {
	q, r := a.request, a.replica
	a.ended = true
	a.delivered = ev.Result != NoConnection && ev.Result != NotSent
	a.mayHaveExecuted = a.delivered && ev.Result != Full
	q.inFlight--
	r.inFlight--
	r.endPrefill(a)
	b.recordLoad(r, ev.Load)
	b.recordResult(a, ev.Result)
	if !a.mayHaveExecuted {
		r.prefixCache.Drop(q.prefixKey, q.Session)
	}
	switch {
	case ev.Final || q.closed:
		b.closeRequest(q)
	case q.inFlight > 0:
	case b.now < b.expiresAt(q) && b.mayAttemptAnywhere(q) && b.takeRetry(q):
		b.enqueue(q)
	default:
		b.answerUnserved(q)
	}
}

// recordResult updates the health and the concurrency limit of a replica after an attempt on it.
func (b *Balancer) recordResult(a *attempt, result Result) {
	r := a.replica
	switch result {
	case OK:
		b.recordHealthy(r)
		b.recordSuccess(a)
	case Full:
		b.reduceLimit(a, 1)
	case NoConnection, Reset, TimedOut, Error:
		b.reduceLimit(a, 1)
		if result == TimedOut && a.firstTokenAt == 0 && !b.routers.Alone() {
			expected := r.prefill.firstTokenAfter(a.tokensAhead)
			took := (b.now - a.sentAt).Seconds()
			b.recordFirstToken(r, max(took, expected), expected)
		}
		b.recordFailure(r, result)
	}
}

// recordSuccess counts the work of a complete answer and records how long the answer took to
// decode.
func (b *Balancer) recordSuccess(a *attempt) {
	class := a.request.class
	b.recordWork(a.request, a.replica)
	if !class.Streamed {
		b.adjustLimit(a)
	}
	class.recordDecode(b.now - max(a.firstTokenAt, a.sentAt))
}

// recordLoad records a load report of r. Streams that this router did not send are those of other
// routers. The reported number of prefill tokens is not used: it is old, so all routers would send
// to the same replica.
func (b *Balancer) recordLoad(r *replica, l *Load) {
	if l == nil {
		return
	}
	r.reportedAt = b.now
	switch {
	case l.InFlight >= 0:
		r.peerStreams = max(l.InFlight-float64(r.inFlight), 0)
	case l.Utilization >= 0:
		r.peerStreams = max(l.Utilization*assumedSlots-float64(r.inFlight), 0)
	}
	if l.PrefillTokens >= 0 {
		b.prefillReported = true
	}
}

// handleProbeResult records the result of a load probe: the load of r, or a failure.
func (b *Balancer) handleProbeResult(r *replica, ev ProbeResult) {
	r.probing = false
	r.reportedAt = b.now
	b.recordLoad(r, ev.Load)
	if ev.Result == NoConnection || ev.Result == TimedOut {
		b.recordFailure(r, ev.Result)
	}
}
