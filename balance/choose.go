package balance

// The choice of a replica for a request: the cheaper of two sampled replicas with capacity.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"reachspread/internal/outlier"
)

const (
	// affinitySpread is the number of affinity hosts of a prefix relative to the number that it
	// would need if all replicas were alike and evenly loaded.
	affinitySpread = 1.5
	// priorPrompts is the number of prompts of other prefixes that the router assumes to have seen
	// at the start.
	priorPrompts = 10.0
	// reportTTL is the age at which a load report becomes too old to use.
	reportTTL = time.Second
	// probeTimeout is how long a request waits for the answers to load probes.
	probeTimeout = 25 * time.Millisecond
	// exploreInterval is the shortest time between two prompts that are sent to an idle replica
	// although its estimate is too high.
	exploreInterval = time.Second
)

// chooseReplica returns the cheapest of the sampled replicas with capacity, or nil if no replica
// has capacity. It takes samples from all zones, and further samples from the router's own zone
// where crossing zones costs more than a second prefill of the prefix, or where no report says what
// other routers have sent.
func (b *Balancer) chooseReplica(q *request) *replica {
	preferZone := b.preferZone(q)
	candidates, zoneCandidates := b.candidates[:0], b.zoneCandidates[:0]
	for _, r := range b.assigned {
		if !b.hasCapacity(r) || !b.mayAttempt(q, r) {
			continue
		}
		candidates = append(candidates, r)
		if preferZone && r.Zone == b.cfg.Zone {
			zoneCandidates = append(zoneCandidates, r)
		}
	}
	candidates = outlier.WithoutEjected(candidates, outlierState, b.now)
	zoneCandidates = outlier.WithoutEjected(zoneCandidates, outlierState, b.now)
	sharing := cmp.Or(len(zoneCandidates), len(candidates))
	notAdmitted := func(r *replica) bool { return !b.slowStartAdmits(q, r, sharing) }
	candidates = slices.DeleteFunc(candidates, notAdmitted)
	zoneCandidates = slices.DeleteFunc(zoneCandidates, notAdmitted)
	samples := append(b.affinitySamples(q, zoneCandidates), b.affinitySamples(q, candidates)...)
	b.candidates, b.zoneCandidates = candidates, zoneCandidates
	if len(samples) == 0 {
		samples = b.unassignedSamples(q)
	}
	b.probeSamples(q, samples)
	return b.cheapest(q, samples)
}

// preferZone reports whether chooseReplica samples the router's own zone separately for q.
func (b *Balancer) preferZone(q *request) bool {
	if b.crossZoneCost(q) > q.PrefixTokens*defaultPrefillTime {
		return true
	}
	keepsOneHost := b.cfg.SingleAffinityHost && q.Prefix != ""
	return !keepsOneHost && !b.prefillReported
}

// affinitySamples returns samples of pool, which are the same on all routers. The affinity hosts of
// a prefix are the first replicas in its rendezvous order. Their number grows with the fraction of
// all prompts that have the prefix, so that few replicas cache the prefix and none is overloaded by
// it. The samples of a session are two of these hosts; those of a request without a prefix are two
// of pool. If Config.SingleAffinityHost is set, all hosts of a prefix, mostly two, are samples.
func (b *Balancer) affinitySamples(q *request, pool []*replica) []*replica {
	if q.Prefix == "" {
		return firstRanked(q.sessionHash, pool, 2)
	}
	fraction := b.prefixCounts.Share(q.prefixKey, priorPrompts)
	count := int(math.Ceil(affinitySpread * fraction * float64(len(pool))))
	hosts := firstRanked(q.prefixHash, pool, max(count, 2))
	if b.cfg.SingleAffinityHost && len(hosts) > 0 {
		q.affinityHost = hosts[0]
		return hosts
	}
	return firstRanked(q.sessionHash, hosts, 2)
}

// unassignedSamples returns up to two replicas with capacity that are not assigned to this router.
func (b *Balancer) unassignedSamples(q *request) []*replica {
	var pool []*replica
	for _, r := range b.sorted {
		if !r.assigned && b.hasCapacity(r) && b.mayAttempt(q, r) && b.slowStartAdmits(q, r, 0) {
			pool = append(pool, r)
		}
	}
	return firstRanked(q.sessionHash, pool, 2)
}

// cheapest returns the sample with the lowest estimated cost for q, or nil if there are no samples.
func (b *Balancer) cheapest(q *request, samples []*replica) *replica {
	if len(samples) == 0 {
		return nil
	}
	return slices.MinFunc(samples, func(r, other *replica) int {
		return cmp.Compare(b.estimatedCost(q, r), b.estimatedCost(q, other))
	})
}

// probeSamples probes the sampled replicas whose last load report is old, because a router that is
// one of many observes a replica too rarely to compare it with another. The request waits for the
// answers for at most probeTimeout.
func (b *Balancer) probeSamples(q *request, samples []*replica) {
	for _, r := range samples {
		if b.cfg.MayProbe && b.routers.Alone() && !r.probing && b.now >= r.reportedAt+reportTTL {
			r.probing = true
			b.emit(Probe{r.Replica})
		}
		if r.probing && q.probesUntil == 0 {
			q.probesUntil = b.now + probeTimeout
		}
	}
	q.samples = samples
}

// awaitsProbes reports whether q still waits for load probes of its samples.
func (b *Balancer) awaitsProbes(q *request) bool {
	return b.now < q.probesUntil && slices.ContainsFunc(q.samples, func(r *replica) bool { return r.probing })
}

// send starts an attempt of q on r and reports the prompt to the routers that share r.
func (b *Balancer) send(q *request, r *replica) {
	a := &attempt{request: q, replica: r, sentAt: b.now, mayHaveExecuted: true}
	a.prefillTokens = b.prefillTokensOn(q, r)
	a.tokensAhead = b.tokensQueuedOn(r) + a.prefillTokens
	a.expectedFirstToken = b.timeToFirstToken(q, r)
	q.attempts = append(q.attempts, a)
	if r.inFlight == 0 {
		b.delayExploration()
	}
	q.inFlight++
	r.inFlight++
	r.prefilling = append(r.prefilling, a)
	r.credit -= b.workOn(q, r)
	r.prefixCache.Put(q.prefixKey, b.now, q.PrefixTokens)
	r.prefixCache.Put(q.Session, b.now, q.PromptTokens)
	b.emit(Send{ID: q.ID, Replica: r.Replica})
	b.reportPrompt(a)
}

// delayExploration sets exploreAt, the earliest time at which this router may send to an idle
// replica although its estimate is too high. The delay grows with the number of live routers per
// warm replica.
func (b *Balancer) delayExploration() {
	perReplica := maxEjectionTime * time.Duration(b.liveRouters) / time.Duration(max(b.warmReplicas, 1))
	b.exploreAt = b.now + max(exploreInterval, perReplica)
}
