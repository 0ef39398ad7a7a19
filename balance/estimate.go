package balance

// Estimates of the time that a request takes on a replica, and of its work.

import "math"

const (
	// streamWorkFraction is the fraction of a replica's time that one stream takes.
	streamWorkFraction = 0.006
	// interferenceFraction is the cost of another stream on the same replica, as a fraction of a
	// request's decode time. Half of it is the delay of the request, half the delay of the other
	// stream.
	interferenceFraction = 0.04
	// crossZoneStreams is the number of streams that is added to the count of a replica in another
	// zone, so that small differences send no request across zones.
	crossZoneStreams = 1.5
	// crossZoneFactor multiplies the price of crossing zones, which CrossZonePenalty gives in
	// missed latency targets.
	crossZoneFactor = 4.0
	// recomputeFactor is the cost to other requests of computing a prefix once more, as a multiple
	// of the prefix's prefill time.
	recomputeFactor = 3.0
	// learningRate is the weight of a new sample in a moving average.
	learningRate = 0.1
	// defaultPrefillTime is the assumed prefill time of a token, in seconds, until one is observed.
	defaultPrefillTime = 1e-4
	// baseFirstToken is the time to the first token, in seconds, with no tokens to prefill.
	baseFirstToken = 0.05
	// A first token is reported to other routers if its time differs from the expected one by more
	// than the factor reportRatio and by more than reportDeviation, in seconds.
	reportRatio     = 2.0
	reportDeviation = 0.2
	// peerStreamLifetime is the time, in seconds, in which the weight of a stream that another
	// router reported falls to 1/e.
	peerStreamLifetime = 3.0
)

// estimatedCost returns the cost of q on r in seconds: the time to its first token, the delay by
// other streams on r while it decodes, and the price of crossing zones. If
// Config.SingleAffinityHost is set, it also includes what it costs others that r computes prefix
// tokens again which it has not cached, so that two replicas have them cached.
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

// timeToFirstToken returns the expected seconds to the first token of q on r, or of a request
// without tokens to prefill if q is nil. The time by which the oldest attempt without a first token
// is overdue is added in full: a replica that accepts requests but never answers would look idle
// otherwise.
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

// prefillTokensOn returns the number of tokens of q that r would have to prefill, or 0 if q is nil.
func (b *Balancer) prefillTokensOn(q *request, r *replica) float64 {
	if q == nil {
		return 0
	}
	cachedPrefix := min(r.prefixCache.Get(q.prefixKey, r.cacheLostAt), q.PrefixTokens)
	cachedSession := r.prefixCache.Get(q.Session, r.cacheLostAt)
	cached := max(cachedPrefix, cachedSession)
	if q.affinityHost == r {
		cached = max(cached, q.PrefixTokens)
	}
	return max(q.PromptTokens-cached, 1)
}

// recomputedTokens returns the number of tokens of q's prefix that r is not known to have cached.
func (b *Balancer) recomputedTokens(q *request, r *replica) float64 {
	return max(b.prefillTokensOn(q, r)-(q.PromptTokens-q.PrefixTokens), 0)
}

// tokensQueuedOn returns the number of tokens that r has to prefill before those of a new request.
func (b *Balancer) tokensQueuedOn(r *replica) float64 {
	b.decayPeerTokens(r)
	tokens := r.peerTokens
	for _, a := range r.prefilling {
		tokens += a.prefillTokens
	}
	return tokens
}

// decayPeerTokens subtracts from the prompts that other routers reported what r has prefilled since
// the last call, at an assumed constant rate. It also lowers the number of reported streams. It
// does nothing if this router gets no reports from others.
func (b *Balancer) decayPeerTokens(r *replica) {
	elapsed := (b.now - r.peerTokensAt).Seconds()
	if elapsed <= 0 || b.routers.Alone() && !b.cfg.Broadcast {
		return
	}
	r.peerTokens = max(r.peerTokens-elapsed/(r.prefill.perToken()*b.latencyRatioOf(r)), 0)
	r.peerStreams *= math.Exp(-elapsed / peerStreamLifetime)
	r.peerTokensAt = b.now
}

// effectiveWait returns the expected time to the first token of q on r, in seconds, as it is
// compared with latency targets. If this router has no attempt on r, the wait counts as 0, so that
// a request is sent there and corrects a wrong estimate. But one of many routers has no attempt on
// most replicas. Its estimate for these is scaled by the backlog ratio of the assigned replicas
// instead, except for a rare attempt once exploreAt is reached.
func (b *Balancer) effectiveWait(q *request, r *replica) float64 {
	switch {
	case r.inFlight > 0:
		return b.timeToFirstToken(q, r)
	case b.backlogRatio == 0 || b.now >= b.exploreAt:
		return 0
	}
	return b.backlogRatio * b.timeToFirstToken(q, r)
}

// shortestWait returns a lower bound of effectiveWait over all replicas with capacity, or infinity
// if no replica has capacity. It also updates the backlog ratio that effectiveWait uses.
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
		default: // not assigned to this router, so its load is unknown
			shortest = min(shortest, b.backlogRatio*baseFirstToken)
		}
	}
	return shortest
}

// updateBacklogRatio sets the backlog ratio: the mean wait on the assigned replicas before the
// prefill of a new request, as a fraction of the shortest latency target, from 0 to 1. Replicas
// without a recent load report are left out if this router exchanges no reports by number with
// others.
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

// crossZoneCost returns the price of crossing zones in seconds. It is proportional to q's latency
// target.
func (b *Balancer) crossZoneCost(q *request) float64 {
	return b.cfg.CrossZonePenalty * crossZoneFactor * q.latencyTarget.Seconds()
}

// workOf returns the work of a request: the seconds of a replica's time that it is expected to
// take.
func (b *Balancer) workOf(q *request) float64 {
	if q.WorkEstimate > 0 {
		return q.WorkEstimate.Seconds()
	}
	return q.PromptTokens*defaultPrefillTime + q.class.decodeTime*streamWorkFraction
}

// workOn returns the work of a request on r, including the prefill of the prefix tokens that r is
// not known to have cached. A replica that has just started rarely has the prefix cached.
func (b *Balancer) workOn(q *request, r *replica) float64 {
	return b.workOf(q) + b.recomputedTokens(q, r)*r.prefill.perToken()
}

// recordFirstToken records that a first token took some seconds, where another number was expected
// from the prefill alone. If the time differs much from this router's estimate for r, the ratio is
// reported to the routers that share r.
func (b *Balancer) recordFirstToken(r *replica, took, expected float64) {
	predicted := b.latencyRatioOf(r) * expected
	ratio := took / expected
	deviation := reportDeviation
	if b.cfg.Broadcast {
		deviation = smallPromptFraction * b.shortestTarget
	}
	surprising := took > reportRatio*predicted || took*reportRatio < predicted
	if surprising && math.Abs(took-predicted) > deviation {
		b.sendReports(r.liveAssignees, PeerReport{ReplicaTag: replicaTag(r), LatencyRatio: ratio})
	}
	r.latencyRatio.Observe(b.now, clampLatencyRatio(ratio), 2*learningRate)
}

// latencyRatioOf returns the observed over the expected time to a first token on r. Without new
// observations it decays to 1. The older this router's own observations are, the more weight
// reports of other routers have.
func (b *Balancer) latencyRatioOf(r *replica) float64 { return r.latencyRatio.At(b.now) }
