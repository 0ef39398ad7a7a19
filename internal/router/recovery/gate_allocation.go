package recovery

import (
	"math"
	"time"

	"reachspread/balance"
)

// Warmth returns the fraction of its warm capacity that a host has at time now if it started at
// startedAt. A startedAt of 0 means that the host started long ago and is warm.
func Warmth(config *balance.Config, startedAt, now time.Duration) float64 {
	age := now - startedAt
	if startedAt <= 0 || age >= config.SlowStartWindow {
		return 1
	}
	atStart := config.SlowStartMinCapacity
	return atStart + (1-atStart)*float64(max(age, 0))/float64(config.SlowStartWindow)
}

// WarmFraction returns the fraction of their warm capacity that the listed hosts have. It is 1 if no
// host is listed.
func (g *Gate) WarmFraction(now time.Duration) float64 {
	if len(g.hosts) == 0 {
		return 1
	}
	sum := 0.0
	for _, m := range g.hosts {
		sum += Warmth(&g.config, m.StartedAt, now)
	}
	return sum / float64(len(g.hosts))
}

// Warm reports whether the hosts are warm enough for the Gate to reject no requests.
func (g *Gate) Warm(now time.Duration) bool { return g.WarmFraction(now) >= NearlyWarm }

// allocate divides the hosts' current capacity among the classes, the highest value first. It does
// so at most once per allocateInterval.
func (g *Gate) allocate(now time.Duration) {
	if g.allocatedAt != 0 && now < g.allocatedAt+allocateInterval {
		return
	}
	g.adjust(now)
	decay := math.Exp(-max(now-g.decayedAt, 0).Seconds() / demandWindow.Seconds())
	g.decayedAt, g.allocatedAt, g.warmFraction = now, now, g.WarmFraction(now)
	total := 0.0
	for _, d := range g.classes {
		d.work *= decay
		total += d.work
	}
	capacity := g.grantedCapacity(total)
	for i, d := range g.classes {
		d.admitted = 1
		if i > 0 && d.class.Value < g.classes[0].class.Value && d.work > 0 {
			d.admitted = min(max(capacity/d.work, 0), 1)
		}
		capacity = max(capacity-d.work, 0)
	}
}

// grantedCapacity returns how much of the work asked for is granted. It is unlimited while hosts are
// nearly warm; the granted fraction is then reset to initialFraction for the next outage.
func (g *Gate) grantedCapacity(totalWork float64) float64 {
	if g.warmFraction >= NearlyWarm || totalWork == 0 {
		g.grantedFraction = initialFraction
		return math.Inf(1)
	}
	fraction := max(g.grantedFraction, 1-(NearlyWarm-g.warmFraction)/partialOutageMargin)
	return g.warmFraction * fraction * totalWork
}

// recordOutcome counts a pending request as in time or late when its answer begins or it ends.
func (g *Gate) recordOutcome(now time.Duration, id string) {
	latest, pending := g.pending[id]
	if !pending {
		return
	}
	delete(g.pending, id)
	if now <= latest {
		g.inTime++
	} else {
		g.late++
	}
}

// adjust grows or shrinks the granted fraction, depending on how many requests of the highest value
// are late. Pending requests past their time count as late.
func (g *Gate) adjust(now time.Duration) {
	if now < g.adjustedAt+adjustInterval {
		return
	}
	for id, latest := range g.pending {
		if now > latest {
			delete(g.pending, id)
			g.late++
		}
	}
	switch outcomes := g.inTime + g.late; {
	case outcomes < minOutcomes:
	case g.late > maxLateFraction*outcomes:
		g.grantedFraction = max(g.grantedFraction*shrinkFactor, minFraction)
	default:
		g.grantedFraction = min(g.grantedFraction+growStep, 1)
	}
	decay := math.Exp(-min(now-g.adjustedAt, time.Minute).Seconds() / outcomeWindow.Seconds())
	g.inTime, g.late, g.adjustedAt = g.inTime*decay, g.late*decay, now
}
