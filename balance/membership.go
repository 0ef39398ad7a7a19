package balance

// The list of replicas that discovery reports.

import (
	"cmp"
	"maps"
	"slices"
	"sort"
	"time"

	"reachspread/internal/decayed"
	"reachspread/internal/rendezvous"
)

const (
	// initialLimit is the concurrency limit of a warm replica that is new to this router.
	initialLimit = 8.0
	// maxCachedPrefixes is the most prefixes and sessions that are remembered for a replica.
	maxCachedPrefixes = 4096
	// prefixCacheTTL is the time after which an unused prefix or session may be forgotten.
	prefixCacheTTL = time.Minute
	// latencyRatioHalfLife is the time in which the deviation of a replica's latency ratio from 1
	// decays by half.
	latencyRatioHalfLife = 5 * time.Second
	// subscribeRetryInterval is the mean time until this router subscribes again after discovery
	// failed.
	subscribeRetryInterval = time.Second
)

// handleMembers applies an update of the list of replicas. It ignores an update that is older than
// the last one. After a failure it schedules another subscription.
func (b *Balancer) handleMembers(ev Members) {
	if len(b.sorted) == 0 {
		b.sendReports(b.routers.AllOtherMembers()) // an empty message that tells the others this router's zone
	}
	if ev.Failed {
		jitter := time.Duration(b.rng.Float64() * float64(subscribeRetryInterval))
		b.subscribeAt = b.now + subscribeRetryInterval/2 + jitter
		return
	}
	if ev.Version < b.membersVersion {
		return
	}
	b.membersVersion = ev.Version
	b.warmCountValid = false
	b.routers.Invalidate()
	if ev.Complete {
		for _, r := range b.sorted {
			r.State = Removed
		}
	}
	for _, m := range ev.Members {
		b.handleMember(m)
	}
	b.removeReplicas()
	b.indexTags()
}

// handleMember adds or updates a replica. A replica that has started within SlowStartWindow begins
// slow start.
func (b *Balancer) handleMember(m Member) {
	r := b.replicas[m.Replica]
	if r == nil {
		r = b.addReplica(m.Replica)
	}
	b.prefillByKind[m.Kind] = cmp.Or(b.prefillByKind[m.Kind], &prefillModel{})
	started := m.StartedAt > r.StartedAt && b.now-m.StartedAt < b.cfg.SlowStartWindow
	r.Member = m
	r.prefill = b.prefillByKind[m.Kind]
	if started {
		b.beginSlowStart(r, m.StartedAt)
		r.failures = 0
		r.crashed = false
		r.ejectedUntil = 0
	}
}

// addReplica adds a replica of which only the name is known.
func (b *Balancer) addReplica(name string) *replica {
	r := &replica{
		hash:         rendezvous.Hash(name),
		limit:        initialLimit,
		latencyRatio: decayed.Estimate{HalfLife: latencyRatioHalfLife},
		prefixCache:  decayed.Memory{Limit: maxCachedPrefixes, TTL: prefixCacheTTL},
	}
	b.replicas[name] = r
	i := sort.Search(len(b.sorted), func(i int) bool { return b.sorted[i].Replica > name })
	b.sorted = slices.Insert(b.sorted, i, r)
	return r
}

// removeReplicas removes the replicas that are no longer listed and have nothing in flight.
func (b *Balancer) removeReplicas() {
	maps.DeleteFunc(b.replicas, func(_ string, r *replica) bool {
		return r.State == Removed && r.inFlight == 0
	})
	b.sorted = slices.DeleteFunc(b.sorted, func(r *replica) bool {
		return b.replicas[r.Replica] == nil
	})
}

// indexTags indexes replicas by the tags that name them in peer reports. If two replicas have the
// same tag, it stands for the first one by name.
func (b *Balancer) indexTags() {
	clear(b.byTag)
	for _, r := range slices.Backward(b.sorted) {
		b.byTag[replicaTag(r)] = r
	}
}
