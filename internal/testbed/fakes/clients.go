package fakes

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/simulator"
)

const (
	maxIdleConnections = 256   // per router
	maxFirstTokenUs    = 600e6 // largest time to first token that the histogram holds, in microseconds
	firstTokenDigits   = 3     // significant digits of the times in the histogram
)

// Tally counts the requests of one class by their outcome. Times are measured from a request's due
// time, not from when it was sent, so they include any delay that other clients cause.
type Tally struct {
	Class                                                   string
	Asked, Good, Late, Refused, Failed, Interrupted, Tokens int
	FirstToken                                              *hdrhistogram.Histogram // microseconds
}

// ClientEvent is an event of a request, without its time. WaitsUntil is how long the client waits for
// an answer. ArrivedAt is when a first event or an answer arrived at the client's kernel, or zero if
// that is unknown.
type ClientEvent struct {
	history.Event
	WaitsUntil, ArrivedAt time.Time
}

// Clients send the requests of a plan to routers and tally the outcomes. The exported fields are
// set before Run.
type Clients struct {
	RouterFor func(p *simulator.Planned) string // returns the router's address for a request, empty for none
	Observe   func(ClientEvent)                 // may be nil; must not block
	Grace     time.Duration                     // how long after its deadline a client still waits for an answer
	Behavior  ClientBehavior
	Retries   bool // retry rejected and failed requests, with the experiment's limits

	spec    *simulator.Spec
	client  *http.Client
	oneShot *http.Client // a new connection for each request
	mu      sync.Mutex
	tallies []Tally
}

// NewClients returns clients of the router at an address.
func NewClients(addr string, spec *simulator.Spec) *Clients {
	c := &Clients{
		RouterFor: func(*simulator.Planned) string { return addr },
		spec:      spec,
		client:    &http.Client{Transport: &http.Transport{DialContext: dialClient, MaxIdleConnsPerHost: maxIdleConnections, DisableCompression: true}},
		oneShot:   &http.Client{Transport: &http.Transport{DialContext: dialClient, DisableKeepAlives: true, DisableCompression: true}},
	}
	for _, class := range spec.Classes {
		firstToken := hdrhistogram.New(1, maxFirstTokenUs, firstTokenDigits)
		c.tallies = append(c.tallies, Tally{Class: class.Class.Name, FirstToken: firstToken})
	}
	return c
}

// Tallies returns a copy of the tallies so far, in the order of the experiment's classes.
func (c *Clients) Tallies() []Tally {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := append([]Tally(nil), c.tallies...)
	for i := range all {
		all[i].FirstToken = hdrhistogram.Import(all[i].FirstToken.Export())
	}
	return all
}

// Run sends each request of a plan at its time, whether or not earlier requests were answered (an
// open loop). It returns once all requests that it sent have ended. After ctx ends, it sends no
// further requests.
func (c *Clients) Run(ctx context.Context, plan []simulator.Planned) {
	defer c.client.CloseIdleConnections()
	var requests sync.WaitGroup
	defer requests.Wait()
	start := time.Now()
	for i := range plan {
		due := start.Add(plan[i].At)
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
		requests.Go(func() { c.runRequest(ctx, &plan[i], due) })
	}
}

// runRequest makes the attempts of one request and tallies the outcome of the last one.
func (c *Clients) runRequest(ctx context.Context, p *simulator.Planned, due time.Time) {
	class := &c.spec.Classes[p.Class].Class
	promptAllowance := time.Duration(float64(p.Prompt) / 1000 * float64(class.LatencyTargetPer1000Tokens))
	until := due.Add(class.Deadline + 2*promptAllowance)
	var outcome attemptOutcome
	for n := 1; ; n++ {
		id := p.ID
		if n > 1 {
			id += "." + strconv.Itoa(n)
		}
		outcome = c.attempt(ctx, p, id, n > 1, due, until)
		wait := max(outcome.retryAfter, c.spec.Retries.After)
		if !c.Retries || !outcome.retryable() || n > c.spec.Retries.Max || time.Until(until) <= wait {
			break
		}
		if !sleep(ctx, wait) {
			break
		}
	}
	c.tally(p.Class, &outcome, class.LatencyTarget+promptAllowance)
}

// sleep waits for a duration and returns false if ctx ends first.
func sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// tally counts the outcome of a request. firstTokenTarget is the time within which its first token
// had to arrive.
func (c *Clients) tally(class int, outcome *attemptOutcome, firstTokenTarget time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &c.tallies[class]
	t.Asked++
	t.Tokens += outcome.tokens
	switch outcome.how {
	case history.Complete:
		t.FirstToken.RecordValue(max(outcome.first.Microseconds(), 1))
		tokenTarget := c.spec.Classes[class].Class.TokenLatencyTarget
		if outcome.first <= firstTokenTarget && (tokenTarget == 0 || outcome.tokenInterval() <= tokenTarget) {
			t.Good++
		} else {
			t.Late++
		}
	case history.Refused:
		t.Refused++
	case history.Broken:
		t.Interrupted++
	default:
		t.Failed++
	}
}

// observe reports an event of a request to Observe, if set.
func (c *Clients) observe(e ClientEvent) {
	if c.Observe != nil {
		c.Observe(e)
	}
}
