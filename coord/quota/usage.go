package quota

import "time"

// usageBuckets is the number of buckets into which a window is divided. A unit counts for the
// duration of the window and at most one bucket longer.
const usageBuckets = 32

// Usage counts units in a sliding window. The caller must set Window before use.
type Usage struct {
	Window time.Duration

	buckets    [usageBuckets + 1]float64
	lastBucket int64 // number of the newest bucket; bucket 0 begins at time 0
}

// advance makes the bucket of the given time the newest one, and clears the buckets that have left
// the window.
func (u *Usage) advance(now time.Duration) {
	bucket := int64(now / max(u.Window/usageBuckets, 1))
	if bucket <= u.lastBucket {
		return
	}
	for n := min(bucket-u.lastBucket, int64(len(u.buckets))); n > 0; n-- {
		u.buckets[(bucket-n+1)%int64(len(u.buckets))] = 0
	}
	u.lastBucket = bucket
}

// Add counts units that are granted or used now.
func (u *Usage) Add(now time.Duration, units float64) {
	u.advance(now)
	u.buckets[u.lastBucket%int64(len(u.buckets))] += units
}

// Sum returns the units of the last window.
func (u *Usage) Sum(now time.Duration) float64 {
	u.advance(now)
	sum := 0.0
	for _, units := range u.buckets {
		sum += units
	}
	return sum
}

// Merge returns the sum of this usage and another one with the same window. The other one may be
// nil.
func (u *Usage) Merge(now time.Duration, other *Usage) *Usage {
	sum := *u
	sum.advance(now)
	if other == nil {
		return &sum
	}
	other.advance(now)
	for i, units := range other.buckets {
		sum.buckets[i] += units
	}
	return &sum
}

// Buckets returns the counts of the last window in a form that can be persisted, newest last.
func (u *Usage) Buckets(now time.Duration) []float64 {
	u.advance(now)
	out := make([]float64, 0, len(u.buckets))
	for n := int64(len(u.buckets)) - 1; n >= 0; n-- {
		at := u.lastBucket - n
		if at < 0 {
			out = append(out, 0)
			continue
		}
		out = append(out, u.buckets[at%int64(len(u.buckets))])
	}
	return out
}

// UsageFromBuckets returns a usage with the counts that Buckets returned, as if Buckets had been
// called now. Now must be greater than window.
func UsageFromBuckets(window, now time.Duration, buckets []float64) *Usage {
	u := &Usage{Window: window}
	length := max(window/usageBuckets, 1)
	for i, units := range buckets {
		u.Add(now-time.Duration(len(buckets)-1-i)*length, units)
	}
	return u
}
