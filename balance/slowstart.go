package balance

// Slow start: what may be sent to a replica that started a short while ago and is warming up.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slowStartLimit is the concurrency limit of a replica that has just started. Its budget is the
	// tighter bound.
	slowStartLimit = 4.0
	// slowStartMargin is the part of the slow-start budget that is used, as the work of warm
	// replicas is known by its average only.
	slowStartMargin = 0.7
	// maxRelativeWork is how many times the mean work a request may have that is sent to a replica
	// in slow start.
	maxRelativeWork = 3.0
	// workWindow is the time, in seconds, over which work is averaged.
	workWindow = 5.0
	// sharedBudgetFactor bounds what all routers together send, as a multiple of the work of a warm
	// replica and in proportion to the capacity that is there by now.
	sharedBudgetFactor = 1.3
)

// beginSlowStart treats r as started at a time: its prefix cache is empty, and it gets few
// requests.
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

// countWarmReplicas counts the replicas that serve at full capacity, if the number may have
// changed. A replica that is warming up changes it by time alone.
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

// slowStartAdmits reports whether q may be sent to r, which may be in slow start. It keeps what all
// routers together send such a replica below a multiple of its capacity, by a credit that is not
// saved up. Routers that report to each other spend from one credit, the two sides of a network
// partition from one each, and any other router from a fraction of its own. Where that is far below
// one request it is the chance that one may go: lower the more work is offered, higher the more
// replicas share it.
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
		const samples = 2 // of which one is chosen
		chance := budget * float64(sharing) / (samples * b.offeredWork) * work / b.workOn(q, r)
		admitted = q.draw < chance
	} else {
		admitted = slices.Contains(r.liveAssignees, b.cfg.Self)
	}
	return admitted && r.credit >= 0 && work <= maxRelativeWork*b.meanWork
}

// needsBootstrap reports whether no replica was seen at work yet, so that nothing is known of what
// one can do. A router that is alone has its own budget from the start.
func (b *Balancer) needsBootstrap() bool {
	seen := b.bootstrapWork.At(b.now)*float64(len(b.sorted)) > b.meanWork
	return !seen && b.warmReplicas == 0 && b.completedWork == 0 && !b.routers.Alone()
}

// mayBootstrap reports whether it is this router's turn to try r while no replica was seen at work.
// One request in each overload window, by turns of the routers that share r, can't overload it;
// what comes of it is the measure of further ones.
func (b *Balancer) mayBootstrap(r *replica) bool {
	window := max(b.cfg.OverloadWindow, time.Second)
	turn := slices.Index(r.liveAssignees, b.cfg.Self)
	if turn < 0 || int(b.now/window)%len(r.liveAssignees) != turn {
		return false
	}
	return r.credit == 0 || b.now >= r.creditAt+window
}

// spendCredit takes work, in seconds, from the slow-start credit of r. It returns the budget: the
// work by which the credit grows in a workWindow.
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

// capacityFraction returns the fraction of its capacity that r has by now at least, 1 once it has
// warmed up. It ends the slow start of a replica whose time is over.
func (b *Balancer) capacityFraction(r *replica) float64 {
	r.warmingUp = r.warmingUp && b.now-r.startedAt < b.cfg.SlowStartWindow
	if !r.warmingUp {
		return 1
	}
	start := b.cfg.SlowStartMinCapacity
	return start + (1-start)*float64(b.now-r.startedAt)/float64(b.cfg.SlowStartWindow)
}

// decayWork lowers the sums of work by the time that has passed. Without a warm replica, what one
// did stays the measure.
func (b *Balancer) decayWork() {
	left := math.Exp(-(b.now - b.workDecayedAt).Seconds() / workWindow)
	b.workDecayedAt = b.now
	b.offeredWork *= left
	if b.warmReplicas > 0 {
		b.completedWork *= left
	}
}

// recordWork counts work that r has completed. Work that was only sent says nothing of what a
// replica can do: in a storm of failing attempts it would open replicas in slow start wide.
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
