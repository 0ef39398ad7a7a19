package balance

// Cold replicas: what may be sent to one that has just started.

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	coldCap    = 4.0 // streams a cold replica is trusted with, whose budget is the tighter bound
	coldMargin = 0.7 // of the cold budget, as the work of warm replicas is known by average only
	heavy      = 3.0 // times the mean work: heavier prompts are kept from cold replicas
	workSpan   = 5.0 // seconds over which sent work is averaged
	coldFleet  = 1.3 // times the work of a warm replica, by warmth, from all gateways
)

// makeCold treats r as started at born: it keeps no prefix yet and is trusted with few streams.
func (b *Balancer) makeCold(r *replica, born time.Duration) {
	r.cold, r.born, r.lost, r.credit, r.creditAt, b.counted = true, born, b.now, 0, b.now, false
	r.cap, r.told = coldCap, 0
	r.slow.Forget()
}

// countWarm counts the replicas that serve and are warm, where that may have changed.
func (b *Balancer) countWarm() {
	if b.counted {
		return
	}
	b.warm, b.counted = 0, true
	for _, r := range b.order {
		if r.State == Serving && r.ejected == 0 && b.warmth(r) == 1 {
			b.warm++
		}
		b.counted = b.counted && !r.cold // one that is cold gets warm by time alone
	}
}

// coldRoom keeps what all gateways together send a cold replica under the multiple of what it can do, by a
// credit that is not saved up. Those that hear of each other spend from one, two halves that do not from one
// each, any other its own part. One far below a prompt is a chance that one may go: lower the more is asked,
// higher the more replicas share it.
func (b *Balancer) coldRoom(q *request, r *replica, sharing int) bool {
	if b.warmth(r) == 1 {
		return true
	}
	seen := b.begun.At(b.now)*float64(len(b.order)) > b.meanWork
	if !seen && b.warm == 0 && b.done == 0 && !b.fleet.Alone() {
		return b.begins(r) && b.workOf(q) <= heavy*cmp.Or(b.meanWork, b.workOf(q))
	}
	part := b.spend(r, 0)
	chance := part * float64(sharing) / (2 * b.asked) * b.workOf(q) / b.workOn(q, r) // one of two samples wins
	may := q.dice < chance
	if !b.fleet.Alone() {
		may = slices.Contains(r.hearers, b.cfg.Me)
	}
	return may && r.credit >= 0 && b.workOf(q) <= heavy*b.meanWork
}

// begins tells that it is this gateway's turn to try r while none was ever seen at work: one prompt in each
// window of the settings, by turns of those that share r, can't push it over. What comes of it is the measure
// of more.
func (b *Balancer) begins(r *replica) bool {
	window := max(b.cfg.OverloadWindow, time.Second)
	at := slices.Index(r.hearers, b.cfg.Me)
	mine := at >= 0 && int(b.now/window)%len(r.hearers) == at
	return mine && (r.credit == 0 || b.now >= r.creditAt+window)
}

// spend takes work from the credit of a replica and returns what it grows by in a span.
func (b *Balancer) spend(r *replica, work float64) float64 {
	b.fade()
	part := coldMargin * b.cfg.OverloadFactor * b.warmth(r) * b.done
	if !b.fleet.Alone() {
		part = min(coldFleet, b.cfg.OverloadFactor/2) * b.warmth(r) * cmp.Or(b.done, b.begun.At(b.now)) * b.living
	}
	r.credit = min(r.credit+part/workSpan*(b.now-r.creditAt).Seconds(), 0) - work
	r.creditAt = b.now
	return part
}

// warmth is the share of its capacity that a replica has by now, at least.
func (b *Balancer) warmth(r *replica) float64 {
	if r.cold = r.cold && b.now-r.born < b.cfg.ColdTime; !r.cold {
		return 1
	}
	return b.cfg.StartCapacity + (1-b.cfg.StartCapacity)*float64(b.now-r.born)/float64(b.cfg.ColdTime)
}

// fade takes from the work counted what is long ago. With no warm replica, what one did stays the measure.
func (b *Balancer) fade() {
	left := math.Exp(-(b.now - b.workAt).Seconds() / workSpan)
	if b.asked, b.workAt = b.asked*left, b.now; b.warm > 0 {
		b.done *= left
	}
}

// countWork takes in work that was done. What is only sent tells nothing of what a replica can do: in a storm
// of failing attempts it would open cold replicas wide.
func (b *Balancer) countWork(q *request, r *replica) {
	b.meanWork = cmp.Or(b.meanWork, b.workOf(q))
	b.meanWork += (b.workOf(q) - b.meanWork) * learn
	if b.warm == 0 && b.done == 0 {
		b.begun.Add(b.now, b.workOf(q)/b.warmth(r)/float64(len(b.order)))
	}
	if !r.cold {
		b.fade()
		b.done += b.workOf(q) / max(b.warm, 1)
	}
}
