package balance

import (
	"cmp"
	"math"
	"time"

	"reachspread/internal/decayed"
)

// Learned is what a router has learned of its replicas, in a form that another process can restore.
// It matters when a router starts while all replicas are in slow start: it has no measure of the
// work of a warm replica, and without the restored one it would send the replicas nothing until
// they are old enough to count as warm. The JSON form is stored.
type Learned struct {
	CompletedWork float64                `json:"Work"` // work that a warm replica completed, a decayed sum in seconds
	MeanWork      float64                // mean work of a request, in seconds
	DecodeTimes   map[string]float64     `json:"Decode"` // by class, mean seconds from the first token to the end of an answer
	PrefillByKind map[string]PrefillLine `json:"Kinds"`  // by kind of machine
	Replicas      []LearnedReplica       // at most maxRestoredReplicas
}

// PrefillLine holds the decayed sums of a least-squares fit of the seconds of prefill (y) against
// the tokens to prefill (x): the sum of x*x and the sum of x*y.
type PrefillLine struct{ XX, XY float64 }

// LearnedReplica is what a router has learned of one replica. It is valid until the replica
// restarts.
type LearnedReplica struct {
	Replica          string
	StartedAt        time.Duration `json:"Born"` // as discovery lists it
	ConcurrencyLimit float64       `json:"Cap"`
	LatencyRatio     float64       `json:"Slow"` // observed over expected time to the first token
}

// Bounds of the values that are accepted from a stored state.
const (
	maxRestoredReplicas = 4096
	maxRestoredLimit    = 1000 // of concurrent requests
	maxRestoredSeconds  = 1000 // of any time
)

// Learned returns what the router has learned so far.
func (b *Balancer) Learned() Learned {
	learned := Learned{
		CompletedWork: b.completedWork,
		MeanWork:      b.meanWork,
		DecodeTimes:   map[string]float64{},
		PrefillByKind: map[string]PrefillLine{},
	}
	for kind, model := range b.prefillByKind {
		if model.XX > 0 {
			learned.PrefillByKind[kind] = PrefillLine(model.Line)
		}
	}
	for _, r := range b.sorted {
		healthy := r.State == Serving && r.ejectedUntil == 0
		if !healthy || r.StartedAt <= 0 || b.capacityFraction(r) != 1 || len(learned.Replicas) >= maxRestoredReplicas {
			continue
		}
		learned.Replicas = append(learned.Replicas, LearnedReplica{
			Replica:          r.Replica,
			StartedAt:        r.StartedAt,
			ConcurrencyLimit: r.limit,
			LatencyRatio:     b.latencyRatioOf(r),
		})
	}
	for name, class := range b.classes {
		if class.decodeSamples > 0 {
			learned.DecodeTimes[name] = class.decodeTime
		}
	}
	return learned
}

// Restore restores what an earlier process of this router, or another router, has learned, except
// where this process has already observed something itself. It ignores values that are out of
// bounds. It keeps the state of replicas until RestoreReplicas applies it, because they may not be
// listed yet.
func (b *Balancer) Restore(learned Learned) {
	if inBounds(learned.CompletedWork) && inBounds(learned.MeanWork) && b.completedWork == 0 {
		b.completedWork = learned.CompletedWork
		b.meanWork = learned.MeanWork
	}
	for kind, line := range learned.PrefillByKind {
		b.restorePrefill(kind, line)
	}
	for _, known := range learned.Replicas[:min(len(learned.Replicas), maxRestoredReplicas)] {
		if b.restored == nil {
			b.restored = map[string]LearnedReplica{}
		}
		b.restored[known.Replica] = known
	}
	for name, decode := range learned.DecodeTimes {
		if class := b.classes[name]; class != nil && inBounds(decode) {
			class.decodeTime = decode
			class.decodeSamples = 1
		}
	}
}

// restorePrefill restores the prefill model of a kind of machine, unless the model already has
// observations.
func (b *Balancer) restorePrefill(kind string, line PrefillLine) {
	model := cmp.Or(b.prefillByKind[kind], &prefillModel{})
	b.prefillByKind[kind] = model
	valid := line.XX > 0 && !math.IsInf(line.XX, 1) && math.Abs(line.XY) <= maxRestoredSeconds*line.XX
	if model.XX == 0 && valid {
		model.Line = decayed.Line(line)
	}
}

// inBounds reports whether a stored number of seconds is acceptable.
func inBounds(seconds float64) bool {
	return seconds > 0 && seconds <= maxRestoredSeconds && !math.IsNaN(seconds)
}

// RestoreReplicas applies what Restore has kept to the replicas that are listed now and have not
// restarted since. The caller calls it after a Step.
func (b *Balancer) RestoreReplicas() {
	if len(b.restored) == 0 {
		return
	}
	for _, r := range b.sorted {
		known, ok := b.restored[r.Replica]
		delete(b.restored, r.Replica)
		restarted := known.StartedAt != r.StartedAt || known.StartedAt <= 0
		if !ok || restarted || b.capacityFraction(r) < 1 || r.prefixCache.Len() > 0 {
			continue
		}
		if known.ConcurrencyLimit >= 1 && known.ConcurrencyLimit <= maxRestoredLimit {
			r.limit = known.ConcurrencyLimit
		}
		if known.LatencyRatio >= minLatencyRatio && known.LatencyRatio <= maxLatencyRatio {
			r.latencyRatio.Observe(b.now, known.LatencyRatio, 1)
		}
	}
}

// prefillModel estimates the prefill time from the number of tokens.
type prefillModel struct{ decayed.Line }

// perToken returns the prefill time of one token, in seconds.
func (m *prefillModel) perToken() float64 { return m.Slope(defaultPrefillTime) }

// firstTokenAfter returns the seconds until a first token with a number of tokens to prefill before
// it.
func (m *prefillModel) firstTokenAfter(tokens float64) float64 {
	return baseFirstToken + tokens*m.perToken()
}

// recordDecode updates the mean decode time with the time that an answer took from its first token
// to its end. A single answer counts as at most five times the mean.
func (c *class) recordDecode(took time.Duration) {
	const maxRatio = 5
	seconds := min(took.Seconds(), maxRatio*c.decodeTime)
	if seconds <= 0 {
		return
	}
	c.decodeSamples++
	weight := max(learningRate/4, 1/c.decodeSamples)
	c.decodeTime += (seconds - c.decodeTime) * weight
}
