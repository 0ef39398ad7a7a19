package balance

// Slow start: what may be sent to a replica that has recently started and is warming up.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slowStartLimit is the concurrency limit of a replica that has just started. The slow-start
	// budget is usually the tighter bound.
	slowStartLimit = 4.0
	// slowStartMargin is the fraction of the slow-start budget that is used, because only the
	// average of the work of warm replicas is known.
	slowStartMargin = 0.7
	// maxRelativeWork is the most work that a request to a replica in slow start may have, as a
	// multiple of the mean work of a request.
	maxRelativeWork = 3.0
	// workWindow is the time, in seconds, over which work is averaged.
	workWindow = 5.0
	// sharedBudgetFactor bounds the budget that all routers share for a replica in slow start. It
	// is a multiple of the work that a warm replica completes, scaled by the fraction of its
	// capacity that the starting replica has by now.
	sharedBudgetFactor = 1.3
)

// beginSlowStart marks r as started at startedAt. Its prefix cache counts as empty, and few
// requests are sent to it.
func (b *Balancer) beginSlowStart(r *replica, startedAt time.Duration) {
	r.warmingUp = true
	r.startedAt = startedAt
	r.cacheLostAt = b.now
	r.credit = 0
	r.creditAt = b.now
	r.limit = slowStartLimit
	r.peerTokens = 0
	r.latencyRatio.Reset()
	b.warmCountValid = false
}

// countWarmReplicas counts the replicas that serve at full capacity, if their number may have
// changed. While a replica is warming up, the number can change by the passage of time alone.
func (b *Balancer) countWarmReplicas() {
	if b.warmCountValid {
		return
	}
	b.warmReplicas = 0
	b.warmCountValid = true
	for _, r := range b.sorted {
		if r.State == Serving && r.ejectedUntil == 0 && b.capacityFraction(r) == 1 {
			b.warmReplicas++
		}
		if r.warmingUp {
			b.warmCountValid = false
		}
	}
}

// slowStartAdmits reports whether slow start, if r is in it, allows q to be sent to r. A credit
// keeps the work that all routers together send to r below a multiple of its capacity; unused
// credit is not saved. Routers that report prompts to each other share one credit, and the two
// sides of a network partition have one each. A router without such reports has its own credit, in
// proportion to the work that a warm replica completes for it alone. If this credit is far below
// one request, it determines the probability that a request is admitted, which is lower the more
// work is offered and higher the more replicas share it.
func (b *Balancer) slowStartAdmits(q *request, r *replica, sharing int) bool {
	if b.capacityFraction(r) == 1 {
		return true
	}
	work := b.workOf(q)
	if b.needsBootstrap() {
		return b.mayBootstrap(r) && work <= maxRelativeWork*cmp.Or(b.meanWork, work)
	}
	budget := b.spendCredit(r, 0)
	admitted := false
	if b.routers.Alone() {
		const samples = 2 // number of samples, of which one is chosen
		chance := budget * float64(sharing) / (samples * b.offeredWork) * work / b.workOn(q, r)
		admitted = q.draw < chance
	} else {
		admitted = slices.Contains(r.liveAssignees, b.cfg.Self)
	}
	return admitted && r.credit >= 0 && work <= maxRelativeWork*b.meanWork
}

// needsBootstrap reports whether no replica has completed work yet, so that nothing is known of the
// capacity of one. It is always false for a router without reports by number, which has its own
// budget from the start.
func (b *Balancer) needsBootstrap() bool {
	seen := b.bootstrapWork.At(b.now)*float64(len(b.sorted)) > b.meanWork
	return !seen && b.warmReplicas == 0 && b.completedWork == 0 && !b.routers.Alone()
}

// mayBootstrap reports whether it is this router's turn to send a request to r while no replica has
// completed work. The routers that share r take turns, one per overload window. One request in a
// window cannot overload r, and the work that r completes determines how many more requests are
// sent.
func (b *Balancer) mayBootstrap(r *replica) bool {
	window := max(b.cfg.OverloadWindow, time.Second)
	turn := slices.Index(r.liveAssignees, b.cfg.Self)
	if turn < 0 || int(b.now/window)%len(r.liveAssignees) != turn {
		return false
	}
	return r.credit == 0 || b.now >= r.creditAt+window
}

// spendCredit subtracts work, in seconds, from the slow-start credit of r. It returns the budget:
// the work by which the credit grows in workWindow seconds.
func (b *Balancer) spendCredit(r *replica, work float64) float64 {
	b.decayWork()
	var budget float64
	if b.routers.Alone() {
		budget = slowStartMargin * b.cfg.OverloadFactor * b.capacityFraction(r) * b.completedWork
	} else {
		factor := min(sharedBudgetFactor, b.cfg.OverloadFactor/2)
		warmWork := cmp.Or(b.completedWork, b.bootstrapWork.At(b.now))
		budget = factor * b.capacityFraction(r) * warmWork * b.liveRouters
	}
	r.credit = min(r.credit+budget/workWindow*(b.now-r.creditAt).Seconds(), 0) - work
	r.creditAt = b.now
	return budget
}

// capacityFraction returns a lower bound of the fraction of its full capacity that r has now, 1 if
// it has warmed up. It ends the slow start of a replica when SlowStartWindow has passed.
func (b *Balancer) capacityFraction(r *replica) float64 {
	r.warmingUp = r.warmingUp && b.now-r.startedAt < b.cfg.SlowStartWindow
	if !r.warmingUp {
		return 1
	}
	start := b.cfg.SlowStartMinCapacity
	return start + (1-start)*float64(b.now-r.startedAt)/float64(b.cfg.SlowStartWindow)
}

// decayWork decays the sums of offered and completed work by the time that has passed. While no
// replica is warm, completedWork does not decay, so that the last measure of a warm replica
// remains.
func (b *Balancer) decayWork() {
	left := math.Exp(-(b.now - b.workDecayedAt).Seconds() / workWindow)
	b.workDecayedAt = b.now
	b.offeredWork *= left
	if b.warmReplicas > 0 {
		b.completedWork *= left
	}
}

// recordWork counts the work of a request that r has completed. Work that was only sent is not
// counted, because it says nothing of a replica's capacity: many failing attempts would raise the
// budgets of replicas in slow start far too high.
func (b *Balancer) recordWork(q *request, r *replica) {
	work := b.workOf(q)
	b.meanWork = cmp.Or(b.meanWork, work)
	b.meanWork += (work - b.meanWork) * learningRate
	if b.warmReplicas == 0 && b.completedWork == 0 {
		b.bootstrapWork.Add(b.now, work/b.capacityFraction(r)/float64(len(b.sorted)))
	}
	if !r.warmingUp {
		b.decayWork()
		b.completedWork += work / max(b.warmReplicas, 1)
	}
}
