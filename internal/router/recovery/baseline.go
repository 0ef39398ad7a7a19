package recovery

import (
	"maps"
	"time"

	"reachspread/balance"
)

// Baseline averages a router's learned values and demand under usual load, for its next process. In
// a fleet of many routers each router sees only a few requests a second, so its counts of the last
// few seconds are off by half. The zero value is ready to use.
type Baseline struct {
	mean      balance.Learned
	demand    map[string]float64 // mean work asked for, by class
	updatedAt time.Duration
	weight    float64 // weight of the mean in seconds, at most baselineWindow
}

const (
	baselineWindow    = 60.0 // seconds over which values are averaged
	maxUpdateInterval = 10.0 // maximum weight of one update in seconds
)

// Restore continues from the means of an earlier process. They weigh as much as half of
// baselineWindow.
func (b *Baseline) Restore(l balance.Learned, demand map[string]float64) {
	if l.CompletedWork > 0 && l.MeanWork > 0 {
		b.mean, b.demand, b.weight = l, maps.Clone(demand), baselineWindow/2
	}
}

// Update adds the values learned so far and the demand seen by a Gate to the averages. Call it only
// while hosts are warm, because demand during a recovery is not the usual demand.
func (b *Baseline) Update(now time.Duration, l balance.Learned, demand map[string]float64) {
	if l.CompletedWork <= 0 || l.MeanWork <= 0 {
		return
	}
	elapsed := min(max((now-b.updatedAt).Seconds(), 0), maxUpdateInterval)
	if b.weight == 0 {
		elapsed = 1
	}
	b.updatedAt = now
	b.weight = min(b.weight+elapsed, baselineWindow)
	fraction := elapsed / b.weight
	b.mean.CompletedWork += (l.CompletedWork - b.mean.CompletedWork) * fraction
	b.mean.MeanWork += (l.MeanWork - b.mean.MeanWork) * fraction
	// Package balance has already averaged these values.
	b.mean.DecodeTimes, b.mean.PrefillByKind, b.mean.Replicas = l.DecodeTimes, l.PrefillByKind, l.Replicas
	if b.demand == nil {
		b.demand = map[string]float64{}
	}
	maps.DeleteFunc(b.demand, func(class string, _ float64) bool { _, exists := demand[class]; return !exists })
	for class, work := range demand {
		b.demand[class] += (work - b.demand[class]) * fraction
	}
}

// Learned returns the mean of the learned values. It returns false before the first Update or
// Restore.
func (b *Baseline) Learned() (balance.Learned, bool) { return b.mean, b.weight > 0 }

// Demand returns the mean work asked for, by class, in the unit of Gate.Demand.
func (b *Baseline) Demand() map[string]float64 { return b.demand }
