package simulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ending is how a request, or an attempt, came out.
type ending string

const (
	served     ending = "served"
	refused    ending = "refused"
	failed     ending = "failed"
	brokenOff  ending = "broken off"
	routerDied ending = "router gone"
	noRouter   ending = "no router"
)

// Result is what came of a world.
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

// ClassResult is one class's part. Counts are of requests, over all their attempts.
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

// Share is a part of something: of a value, or of a number.
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
	for len(w.res.Seconds) <= n {
		w.res.Seconds = append(w.res.Seconds, Second{Begun: make([]Share, len(w.s.Classes))})
	}
	return &w.res.Seconds[n]
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
		r.keeps()
	}
	w.res.MostOpen = max(w.res.MostOpen, w.open)
	w.res.MostQueued = max(w.res.MostQueued, len(w.queue.heap))
	if n := int(w.now/time.Second) - 1; n >= 0 && w.now <= w.s.Length+time.Second {
		w.res.Seconds[n].Able = w.able()
	}
	if w.now < w.s.Length || w.open > 0 {
		w.at(w.now+time.Second, event{kind: sampled})
	}
}

// over ends a request. Began and ended are those of its stream.
func (w *World) over(f *request, how ending, began, ended time.Duration, made int) {
	w.open--
	c := &f.session.load.c.Class
	r := &w.res.Classes[f.session.load.n]
	s := w.second()
	w.res.Asked += c.Value
	value := 0.0
	switch how {
	case served:
		first := began - f.began
		r.First.RecordValue(max(first.Microseconds(), 1))
		more := time.Duration(float64(f.prompt) / 1000 * float64(c.LatencyTargetPer1000Tokens))
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
	case brokenOff:
		r.BrokenOff++
	default:
		r.Lost++
	}
	r.Value += value
	begun := &w.res.Seconds[f.began/time.Second].Begun[f.session.load.n]
	begun.Of, begun.Got = begun.Of+c.Value, begun.Got+value
	w.res.Value += value
	if value == c.Value && how == served {
		s.Good++
	} else {
		s.Other++
	}
}

// G is the worth answered over the worth asked for.
func (r *Result) G() float64 {
	if r.Asked == 0 {
		return 0
	}
	return r.Value / r.Asked
}

// end does what is left to do when nothing more is played.
func (w *World) end() { w.res.MostOpen = max(w.res.MostOpen, w.open) }
