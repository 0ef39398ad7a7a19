package recovery

import (
	"maps"
	"time"

	"reachspread/balance"
)

// Usual averages what a module has learned, for the next life: of a fleet of many routers each sees a few requests a second, and what it has counted over the
// last seconds is off by half. Its zero value is ready.
type Baseline struct {
	mean   balance.Learned
	demand map[string]float64
	at     time.Duration
	weight float64 // of the mean, in seconds, usualFor at most
}

// MeasureOf is the part of what a module has learned that routers tell each other.
func MeasureOf(l balance.Learned) Measure {
	return Measure{seconds(l.CompletedWork), seconds(l.MeanWork)}
}

// seconds is a time that the module counts in seconds.
func seconds(x float64) time.Duration {
	if !(x > 0 && x < 1e6) {
		return 0
	}
	return time.Duration(x * float64(time.Second))
}

const baselineWindow = 60.0 // seconds over which it is averaged

// Restore goes on from another life's mean.
func (u *Baseline) Restore(l balance.Learned, demand map[string]float64) {
	if l.CompletedWork > 0 && l.MeanWork > 0 {
		u.mean, u.demand, u.weight = l, maps.Clone(demand), baselineWindow/2
	}
}

// Take takes in what a module has learned by now, and what a Gate has seen asked for. Its owner calls it while hosts are warm: what is asked for in a return is
// no usual day's.
func (u *Baseline) Update(now time.Duration, l balance.Learned, demand map[string]float64) {
	if l.CompletedWork <= 0 || l.MeanWork <= 0 {
		return
	}
	passed := min(max((now-u.at).Seconds(), 0), 10)
	if u.weight == 0 {
		passed = 1
	}
	u.at = now
	u.weight = min(u.weight+passed, baselineWindow)
	part := passed / u.weight
	u.mean.CompletedWork += (l.CompletedWork - u.mean.CompletedWork) * part
	u.mean.MeanWork += (l.MeanWork - u.mean.MeanWork) * part
	u.mean.DecodeTimes, u.mean.PrefillByKind, u.mean.Replicas = l.DecodeTimes, l.PrefillByKind, l.Replicas // averages already
	if u.demand == nil {
		u.demand = map[string]float64{}
	}
	maps.DeleteFunc(u.demand, func(name string, _ float64) bool { _, is := demand[name]; return !is })
	for name, work := range demand {
		u.demand[name] += (work - u.demand[name]) * part
	}
}

// Learned returns the mean, false before anything was taken in.
func (u *Baseline) Learned() (balance.Learned, bool) { return u.mean, u.weight > 0 }

// Demand returns the mean work asked for, by class.
func (u *Baseline) Demand() map[string]float64 { return u.demand }
