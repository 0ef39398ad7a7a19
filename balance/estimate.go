package balance

// Estimates: how long a request takes on a replica, and how much work it is.

import "math"

const (
	// streamWorkFraction is the fraction of a replica's time that one stream takes.
	streamWorkFraction = 0.006
	// interferenceFraction is the fraction of a stream's time that another one beside it costs:
	// half of it to itself, half to the other.
	interferenceFraction = 0.04
	// crossZoneStreams is the number of streams that crossing zones counts for, so that small
	// differences send no request to another zone.
	crossZoneStreams = 1.5
	// crossZoneFactor is how many times its price in missed latency targets a crossing counts.
	crossZoneFactor = 4.0
	// recomputeFactor is how many times its prefill time a prefix that is computed once more costs
	// others.
	recomputeFactor = 3.0
	// learningRate is the weight of a sample in a moving average.
	learningRate = 0.1
	// defaultPrefillTime is the seconds of prefill for a token before any were observed.
	defaultPrefillTime = 1e-4
	// baseFirstToken is the seconds to a first token with nothing to prefill.
	baseFirstToken = 0.05
	// reportRatio and reportDeviation say which first tokens are reported to other routers: those
	// that took so many times more or less than expected, and were so many seconds off.
	reportRatio     = 2.0
	reportDeviation = 0.2
	// peerStreamLifetime is the seconds after which a stream that another router reported counts
	// for 1/e.
	peerStreamLifetime = 3.0
)

// estimatedCost returns the cost of q on r in seconds: the time to its first token, the streams
// that slow down its decoding, and the price of crossing zones. With a single affinity host,
// leaving it also costs that the prefix is computed once more and cached on two replicas.
func (b *Balancer) estimatedCost(q *request, r *replica) float64 {
	cost := b.timeToFirstToken(q, r)
	streams := float64(r.inFlight) + r.peerStreams
	if r.Zone != b.cfg.Zone {
		cost += b.crossZoneCost(q)
		streams += crossZoneStreams
	}
	fraction := interferenceFraction
	if b.cfg.SingleAffinityHost {
		fraction = streamWorkFraction * b.latencyRatioOf(r)
		cost += recomputeFactor * b.recomputedTokens(q, r) * r.prefill.perToken()
	}
	return cost + q.class.decodeTime*fraction*streams
}

// timeToFirstToken returns the expected seconds to the first token of q on r, or of a request with
// nothing to prefill if q is nil. A replica that accepts requests and never answers looks idle, so
// what is overdue there counts in full.
func (b *Balancer) timeToFirstToken(q *request, r *replica) float64 {
	ratio := b.latencyRatioOf(r)
	fraction := b.capacityFraction(r)
	if r.warmingUp && !b.routers.Alone() {
		ratio = max(ratio, 1/fraction)
	}
	seconds := r.prefill.firstTokenAfter(b.tokensQueuedOn(r)+b.prefillTokensOn(q, r)) * ratio
	if len(r.prefilling) > 0 {
		oldest := r.prefilling[0]
		overdue := (b.now - oldest.sentAt).Seconds() - oldest.expectedFirstToken
		seconds += max(overdue, 0)
	}
	return seconds
}

// prefillTokensOn returns the tokens of q that r would have to prefill, 0 if q is nil.
func (b *Balancer) prefillTokensOn(q *request, r *replica) float64 {
	if q == nil {
		return 0
	}
	ofPrefix := min(r.prefixCache.Get(q.prefixKey, r.cacheLostAt), q.PrefixTokens)
	ofSession := r.prefixCache.Get(q.Session, r.cacheLostAt)
	cached := max(ofPrefix, ofSession)
	if q.affinityHost == r {
		cached = max(cached, q.PrefixTokens)
	}
	return max(q.PromptTokens-cached, 1)
}

// recomputedTokens returns the tokens of q's prefix that r is not known to have cached.
func (b *Balancer) recomputedTokens(q *request, r *replica) float64 {
	return max(b.prefillTokensOn(q, r)-(q.PromptTokens-q.PrefixTokens), 0)
}

// tokensQueuedOn returns the tokens that r has to prefill before those of a new request.
func (b *Balancer) tokensQueuedOn(r *replica) float64 {
	b.decayPeerTokens(r)
	tokens := r.peerTokens
	for _, a := range r.prefilling {
		tokens += a.prefillTokens
	}
	return tokens
}

// decayPeerTokens takes off what r has prefilled, since the last call, of the prompts that other
// routers reported. They are taken to be prefilled steadily.
func (b *Balancer) decayPeerTokens(r *replica) {
	passed := (b.now - r.peerTokensAt).Seconds()
	if passed <= 0 || b.routers.Alone() && !b.cfg.Broadcast {
		return
	}
	r.peerTokens = max(r.peerTokens-passed/(r.prefill.perToken()*b.latencyRatioOf(r)), 0)
	r.peerStreams *= math.Exp(-passed / peerStreamLifetime)
	r.peerTokensAt = b.now
}

// effectiveWait returns the seconds to the first token of q on r as far as they count. An idle
// replica is worth an attempt, so that a wrong estimate does not last. But to one of many routers
// most replicas are idle: there the wait counts as far as the replicas with reports are behind,
// except for rare attempts.
func (b *Balancer) effectiveWait(q *request, r *replica) float64 {
	switch {
	case r.inFlight > 0:
		return b.timeToFirstToken(q, r)
	case b.backlogRatio == 0 || b.now >= b.exploreAt:
		return 0
	}
	return b.backlogRatio * b.timeToFirstToken(q, r)
}

// shortestWait returns a lower bound of the effective wait on any replica with capacity, or
// infinity if none has any. It updates the backlog ratio that effectiveWait needs.
func (b *Balancer) shortestWait() float64 {
	b.updateBacklogRatio()
	shortest := math.Inf(1)
	for _, r := range b.sorted {
		if shortest <= 0 {
			break
		}
		switch {
		case !b.hasCapacity(r):
		case r.assigned || r.inFlight > 0:
			shortest = min(shortest, b.effectiveWait(nil, r))
		default: // not assigned to this router, so nothing is known of its load
			shortest = min(shortest, b.backlogRatio*baseFirstToken)
		}
	}
	return shortest
}

// updateBacklogRatio works out how far the assigned replicas are behind: the mean wait before the
// prefill of a new request, as a fraction of the shortest latency target, from 0 to 1.
func (b *Balancer) updateBacklogRatio() {
	sum, count := 0.0, 0.0
	for _, r := range b.assigned {
		known := !b.routers.Alone() || b.now < r.reportedAt+reportTTL
		if r.State != Serving || r.ejectedUntil != 0 || !known {
			continue
		}
		sum = sum + b.timeToFirstToken(nil, r) - baseFirstToken
		count++
	}
	mean := sum / max(count, 1)
	b.backlogRatio = min(max(mean/b.shortestTarget, 0), 1)
}

// crossZoneCost returns the price of crossing zones in seconds of q's latency target.
func (b *Balancer) crossZoneCost(q *request) float64 {
	return b.cfg.CrossZonePenalty * crossZoneFactor * q.latencyTarget.Seconds()
}

// workOf returns the work of a request in seconds of a replica's time.
func (b *Balancer) workOf(q *request) float64 {
	if q.WorkEstimate > 0 {
		return q.WorkEstimate.Seconds()
	}
	return q.PromptTokens*defaultPrefillTime + q.class.decodeTime*streamWorkFraction
}

// workOn returns the work of a request on r: with the prefill of a prefix that r is not known to
// have cached. A replica that has just started seldom has.
func (b *Balancer) workOn(q *request, r *replica) float64 {
	return b.workOf(q) + b.recomputedTokens(q, r)*r.prefill.perToken()
}

// recordFirstToken records that a first token took so many seconds where so many were expected from
// the prefill alone, and reports it to other routers if it is a surprise to this one.
func (b *Balancer) recordFirstToken(r *replica, took, expected float64) {
	believed := b.latencyRatioOf(r) * expected
	ratio := took / expected
	deviation := reportDeviation
	if b.cfg.Broadcast {
		deviation = smallPromptFraction * b.shortestTarget
	}
	surprising := took > reportRatio*believed || took*reportRatio < believed
	if surprising && math.Abs(took-believed) > deviation {
		b.sendReports(r.liveAssignees, PeerReport{ReplicaTag: replicaTag(r), LatencyRatio: ratio})
	}
	r.latencyRatio.Observe(b.now, clampLatencyRatio(ratio), 2*learningRate)
}

// latencyRatioOf returns the observed over the expected time to a first token on r, which fades to
// 1. Other routers' reports count the more, the older this router's own observations are.
func (b *Balancer) latencyRatioOf(r *replica) float64 { return r.latencyRatio.At(b.now) }
