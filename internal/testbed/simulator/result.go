package simulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is how a request, or an attempt, came out.
type outcome string

const (
	served       outcome = "served"
	refused      outcome = "refused"
	failed       outcome = "failed"
	interrupted  outcome = "broken off"
	lostToRouter outcome = "router gone"
	noRouter     outcome = "no router"
)

// Result is the figures of a world.
type Result struct {
	Classes     []ClassResult
	Seconds     []Second
	Disruptions []DisruptionResult `json:"Troubles"`

	Events, Steps             uint64 // of the world, of routers' modules
	Attempts, Retries, Probes uint64
	Heard                     uint64 // reports of other routers that came
	Lines                     uint64 // of lists that came to routers
	Crossed, Handshakes       uint64
	TurnedAway, Preempted     uint64
	Tokens                    uint64 // that hosts made
	Wasted                    uint64 // of them, for nobody
	CachedTokens              uint64 `json:"Kept"` // prompt tokens found in the prefix cache
	MostOpen, MostQueued      int
	Value                     float64 `json:"Worth"` // of requests answered in time
	Asked                     float64 // the value of all requests
}

// ClassResult is the figures of one class. Counts are of requests, over all their attempts.
type ClassResult struct {
	Name                             string
	Asked, Good, Late, Slow          uint64                  // Slow are served too late, or at too slow a pace, for any value
	Refused, Failed, BrokenOff, Lost uint64                  // Lost to a router that died, or to none at all
	Value                            float64                 `json:"Worth"`
	First                            *hdrhistogram.Histogram `json:"-"` // microseconds from the first attempt to the first token
}

// Second is one second of a world.
type Second struct {
	Asked, Good, Other uint64
	Running, Waiting   int
	Alive              int
	Capacity           float64 // of all hosts, in warm ones

	Begun []Share   // value by class: of what was asked for in this second, whenever it was answered
	Able  []float64 // of that, the most that hosts could have given in time: bound.go
}

// Share is what was got of a value.
type Share struct{ Of, Got float64 }

// DisruptionResult is a disruption that came, and how many it hit.
type DisruptionResult struct {
	Kind DisruptionKind
	At   time.Duration
	Hit  int
}

func newClassResult(name string) ClassResult {
	return ClassResult{Name: name, First: hdrhistogram.New(1, 600e6, 3)}
}

// second returns the present one.
func (w *World) second() *Second {
	n := int(w.now / time.Second)
	for len(w.result.Seconds) <= n {
		w.result.Seconds = append(w.result.Seconds, Second{Begun: make([]Share, len(w.spec.Classes))})
	}
	return &w.result.Seconds[n]
}

// sample takes the state of all hosts, once a second until all is over.
func (w *World) sample() {
	s := w.second()
	for _, h := range w.hosts {
		x := h.model.Stats(w.now)
		s.Running += x.Running
		s.Waiting += x.Waiting
		if h.alive {
			s.Alive++
			s.Capacity += x.Capacity
		}
	}
	for _, r := range w.routers {
		r.saveBaseline()
	}
	w.result.MostOpen = max(w.result.MostOpen, w.openRequests)
	w.result.MostQueued = max(w.result.MostQueued, len(w.queue.heap))
	if n := int(w.now/time.Second) - 1; n >= 0 && w.now <= w.spec.Length+time.Second {
		w.result.Seconds[n].Able = w.servableValue()
	}
	if w.now < w.spec.Length || w.openRequests > 0 {
		w.schedule(w.now+time.Second, event{kind: sampleDue})
	}
}

// endRequest ends a request. Began and ended are those of its stream.
func (w *World) endRequest(f *request, how outcome, began, ended time.Duration, made int) {
	w.openRequests--
	c := &f.session.load.config.Class
	r := &w.result.Classes[f.session.load.class]
	s := w.second()
	w.result.Asked += c.Value
	value := 0.0
	switch how {
	case served:
		first := began - f.startedAt
		r.First.RecordValue(max(first.Microseconds(), 1))
		more := time.Duration(float64(f.promptTokens) / 1000 * float64(c.LatencyTargetPer1000Tokens))
		pace := time.Duration(0)
		if made > 1 {
			pace = (ended - began) / time.Duration(made-1)
		}
		switch {
		case first <= c.LatencyTarget+more && (c.TokenLatencyTarget == 0 || pace <= c.TokenLatencyTarget):
			r.Good++
			value = c.Value
		case first <= c.Deadline+2*more && (c.TokenLatencyTarget == 0 || pace <= 2*c.TokenLatencyTarget):
			r.Late++
			value = c.Value * c.LateValueFraction
		default:
			r.Slow++
		}
	case refused:
		r.Refused++
	case failed:
		r.Failed++
	case interrupted:
		r.BrokenOff++
	default:
		r.Lost++
	}
	r.Value += value
	begun := &w.result.Seconds[f.startedAt/time.Second].Begun[f.session.load.class]
	begun.Of, begun.Got = begun.Of+c.Value, begun.Got+value
	w.result.Value += value
	if value == c.Value && how == served {
		s.Good++
	} else {
		s.Other++
	}
}

// G is the value of the requests answered in time as a fraction of the value of all.
func (r *Result) G() float64 {
	if r.Asked == 0 {
		return 0
	}
	return r.Value / r.Asked
}

// finish completes the Result.
func (w *World) finish() { w.result.MostOpen = max(w.result.MostOpen, w.openRequests) }
