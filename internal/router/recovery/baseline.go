package recovery

import (
	"maps"
	"time"

	"reachspread/balance"
)

// Baseline averages what a router has learned of a usual day, for its next process: of a fleet of
// many routers each sees a few requests a second, and what it has counted over the last seconds is
// off by half. Its zero value is ready.
type Baseline struct {
	mean      balance.Learned
	demand    map[string]float64 // by class
	updatedAt time.Duration
	weight    float64 // of the mean, in seconds; baselineWindow at most
}

const (
	baselineWindow    = 60.0 // seconds over which it is averaged
	maxUpdateInterval = 10.0 // seconds that one update counts for at most
)

// Restore goes on from the mean of an earlier process. It counts for half of the window.
func (b *Baseline) Restore(l balance.Learned, demand map[string]float64) {
	if l.CompletedWork > 0 && l.MeanWork > 0 {
		b.mean, b.demand, b.weight = l, maps.Clone(demand), baselineWindow/2
	}
}

// Update takes in what was learned by now, and the demand that a Gate has seen. The caller calls it
// only while hosts are warm: what is asked for during a recovery is no usual day's.
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
	// These are averages already.
	b.mean.DecodeTimes, b.mean.PrefillByKind, b.mean.Replicas = l.DecodeTimes, l.PrefillByKind, l.Replicas
	if b.demand == nil {
		b.demand = map[string]float64{}
	}
	maps.DeleteFunc(b.demand, func(class string, _ float64) bool { _, exists := demand[class]; return !exists })
	for class, work := range demand {
		b.demand[class] += (work - b.demand[class]) * fraction
	}
}

// Learned returns the mean, false before the first Update or Restore.
func (b *Baseline) Learned() (balance.Learned, bool) { return b.mean, b.weight > 0 }

// Demand returns the mean work asked for, by class.
func (b *Baseline) Demand() map[string]float64 { return b.demand }
