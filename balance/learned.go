package balance

import (
	"cmp"
	"math"
	"time"

	"reachspread/internal/decayed"
)

// Learned is what a router has learned of its replicas, so that another process can go on with it.
// A router that starts before replicas which are all in slow start has no measure of what a warm
// one can do, and without this sends them nothing until they are warm by their age. Its JSON form
// is stored.
type Learned struct {
	CompletedWork float64                `json:"Work"` // by a warm replica, decayed, in seconds
	MeanWork      float64                // of a request, in seconds
	DecodeTimes   map[string]float64     `json:"Decode"` // by class, seconds from the first token to the end
	PrefillByKind map[string]PrefillLine `json:"Kinds"`  // by kind of machine
	Replicas      []LearnedReplica       // maxRestoredReplicas at most
}

// PrefillLine is a decayed least-squares line of the seconds to a first token by the tokens to
// prefill: the sums of squares and of products.
type PrefillLine struct{ XX, XY float64 }

// LearnedReplica is what a router has learned of one replica. It is of use until that starts again.
type LearnedReplica struct {
	Replica          string
	StartedAt        time.Duration `json:"Born"` // as listed
	ConcurrencyLimit float64       `json:"Cap"`
	LatencyRatio     float64       `json:"Slow"` // observed over expected time to the first token
}

// Bounds of what is believed of a stored state.
const (
	maxRestoredReplicas = 4096
	maxRestoredLimit    = 1000 // of concurrent requests
	maxRestoredSeconds  = 1000 // of any time
)

// Learned returns what has been learned by now.
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

// Restore restores what an earlier process of this router has learned, or another router, as far as
// nothing better is known yet. What is out of bounds is ignored. Of replicas that are not listed
// yet it is kept for RestoreReplicas.
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

// restorePrefill restores the prefill model of a kind of machine unless something was observed.
func (b *Balancer) restorePrefill(kind string, line PrefillLine) {
	model := cmp.Or(b.prefillByKind[kind], &prefillModel{})
	b.prefillByKind[kind] = model
	sound := line.XX > 0 && !math.IsInf(line.XX, 1) && math.Abs(line.XY) <= maxRestoredSeconds*line.XX
	if model.XX == 0 && sound {
		model.Line = decayed.Line(line)
	}
}

// inBounds reports whether a number of seconds may be believed.
func inBounds(seconds float64) bool {
	return seconds > 0 && seconds <= maxRestoredSeconds && !math.IsNaN(seconds)
}

// RestoreReplicas restores what Restore was given of replicas that are listed by now, if they have
// not started since. The caller calls it after a Step.
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

// prefillModel estimates the seconds of prefill by the number of tokens.
type prefillModel struct{ decayed.Line }

// perToken returns the seconds of prefill for a token.
func (m *prefillModel) perToken() float64 { return m.Slope(defaultPrefillTime) }

// firstTokenAfter returns the seconds to a first token with so many tokens to prefill.
func (m *prefillModel) firstTokenAfter(tokens float64) float64 {
	return baseFirstToken + tokens*m.perToken()
}

// recordDecode takes up how long an answer took from its first token to its end. A single long one
// counts as five times the mean at most.
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
