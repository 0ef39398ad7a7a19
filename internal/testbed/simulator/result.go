package simulator

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is the final result of a request or of one attempt.
type outcome string

const (
	served       outcome = "served"
	refused      outcome = "refused"
	failed       outcome = "failed"
	interrupted  outcome = "broken off"
	lostToRouter outcome = "router gone"
	noRouter     outcome = "no router"
)

// Result holds the counts and measurements of one simulation.
type Result struct {
	Classes     []ClassResult
	Seconds     []Second
	Disruptions []DisruptionResult `json:"Troubles"`

	Events, Steps             uint64 // events of the simulation, steps of the routers' deciders
	Attempts, Retries, Probes uint64
	Heard                     uint64 // peer reports that routers received
	Lines                     uint64 // list entries that routers received
	Crossed, Handshakes       uint64 // attempts at hosts in another zone, new connections
	TurnedAway, Preempted     uint64
	Tokens                    uint64  // answer tokens that hosts made
	Wasted                    uint64  // answer tokens of attempts that were canceled or interrupted
	CachedTokens              uint64  `json:"Kept"` // prompt tokens found in the prefix cache
	MostOpen, MostQueued      int     // peak numbers of open requests and of scheduled events
	Value                     float64 `json:"Worth"` // value of the served requests; a late answer counts in part
	Asked                     float64 // the value of all requests
}

// ClassResult holds the results of one class. It counts requests, not attempts.
type ClassResult struct {
	Name                             string
	Asked, Good, Late, Slow          uint64                  // Slow requests are served too late or too slowly to have any value
	Refused, Failed, BrokenOff, Lost uint64                  // Lost requests ended because their router died or the front had none
	Value                            float64                 `json:"Worth"`
	First                            *hdrhistogram.Histogram `json:"-"` // microseconds from the first attempt to the first token
}

// Second holds the figures of one second of a simulation.
type Second struct {
	Asked, Good, Other uint64
	Running, Waiting   int
	Alive              int
	Capacity           float64 // total of all live hosts; a warm host counts as 1

	Begun []Share   // value by class of the requests made in this second, whenever they were answered
	Able  []float64 // highest part of that value, by class, that hosts could have served in time; see bound.go
}

// Share is a value that was requested (Of) and the part of it that was obtained (Got).
type Share struct{ Of, Got float64 }

// DisruptionResult is a disruption that occurred, with the number of its targets.
type DisruptionResult struct {
	Kind DisruptionKind
	At   time.Duration
	Hit  int
}

func newClassResult(name string) ClassResult {
	return ClassResult{Name: name, First: hdrhistogram.New(1, 600e6, 3)}
}

// second returns the record of the present second.
func (w *World) second() *Second {
	n := int(w.now / time.Second)
	for len(w.result.Seconds) <= n {
		w.result.Seconds = append(w.result.Seconds, Second{Begun: make([]Share, len(w.spec.Classes))})
	}
	return &w.result.Seconds[n]
}

// sample records the state of all hosts and routers. It repeats once a second until the simulation
// has reached its length and no request is open.
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

// endRequest counts the outcome of a request. For a served request, began and ended are the times of
// the first token and of the end of the stream, and made is the number of tokens.
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

// G returns the value obtained from served requests as a fraction of the value of all requests.
func (r *Result) G() float64 {
	if r.Asked == 0 {
		return 0
	}
	return r.Value / r.Asked
}

// finish completes the Result at the end of the simulation.
func (w *World) finish() { w.result.MostOpen = max(w.result.MostOpen, w.openRequests) }
