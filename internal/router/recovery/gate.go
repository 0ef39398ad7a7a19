package recovery

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"reachspread/balance"
)

// Gate admits classes in the order of their value, as far as the hosts' present capacity goes,
// while most hosts of a fleet are warming up at once. It stands before package balance and takes
// the same events: a request that it rejects is never seen there, as if it had not been sent. Each
// router works its fractions out by itself from the list that all of them have, so routers need no
// messages for it, and its cost does not grow with them.
//
// Classes of the highest value are not rejected here, but for stale retries: which of them can be
// served in time is for package balance to decide.
type Gate struct {
	config      balance.Config
	rng         *rand.Rand
	hosts       map[string]balance.Member
	listVersion int64
	classes     []*demand // the highest value first
	byName      map[string]*demand

	warmFraction float64       // of their warm capacity that the hosts have, as of allocatedAt
	allocatedAt  time.Duration // 0 has the next arrival allocate
	decayedAt    time.Duration // of the demand

	// How the highest value is served decides which fraction of warmFraction is granted.
	grantedFraction float64
	// Pending are requests of the highest value, with their latest answer; maxPending at most.
	pending      map[string]time.Duration
	inTime, late float64 // of those that ended, decayed
	adjustedAt   time.Duration

	Rejected uint64 // requests
}

// demand is what is asked for of a class.
type demand struct {
	class    balance.Class
	work     float64 // decayed sum, in prompt tokens
	admitted float64 // the fraction of requests that is admitted
	credit   float64 // one request is admitted for each whole unit
	// maxLeftFraction is the largest fraction of its whole time that a request has had left.
	maxLeftFraction float64
}

// NearlyWarm is the fraction of the hosts' warm capacity from which on nothing is rejected.
const NearlyWarm = 0.95

const (
	demandWindow          = 5 * time.Second // over which demand is averaged
	allocateInterval      = 50 * time.Millisecond
	requestOverheadTokens = 500.0 // what a request costs beside its prompt, in prompt tokens

	// initialFraction of the hosts' capacity is granted before anything has been observed: caches
	// are lost with the power, each prompt is read completely, and what package balance grants to
	// hosts that are warming up leaves it room to be wrong.
	initialFraction = 0.3
	// partialOutageMargin is how far below NearlyWarm the warm fraction may be until the granted
	// fraction counts alone: a release has few hosts warm up at a time, and the highest value may
	// be late for other reasons.
	partialOutageMargin = 0.2

	adjustInterval  = 250 * time.Millisecond
	outcomeWindow   = time.Second // over which outcomes are counted
	minOutcomes     = 2.0         // fewer say nothing
	maxLateFraction = 0.1         // beyond it the granted fraction shrinks, otherwise it grows
	growStep        = 0.05
	shrinkFactor    = 0.7
	minFraction     = 0.05

	maxPending = 4096
	gateStream = 7 // of the seed
)

const (
	// maxLeftDecay is by how much maxLeftFraction shrinks with each request, so that it follows
	// clients.
	maxLeftDecay = 0.9999
	// firstAttemptFraction of maxLeftFraction is what a first attempt has left at the least.
	firstAttemptFraction = 0.97
	// maxPlausibleFraction of the whole time is what a client that follows the settings can have
	// left.
	maxPlausibleFraction = 1.05
)

// NewGate returns a Gate for one router. Usual is the work of each class on a usual day, as
// Baseline.Demand has it from an earlier process; it may be nil.
func NewGate(config balance.Config, baselineDemand map[string]float64, seed uint64) *Gate {
	g := &Gate{rng: rand.New(rand.NewPCG(seed, gateStream)), hosts: map[string]balance.Member{}, byName: map[string]*demand{},
		warmFraction: 1, grantedFraction: initialFraction, pending: map[string]time.Duration{}}
	g.reconfigure(config)
	for name, work := range baselineDemand {
		if d := g.byName[name]; d != nil && work > 0 && !math.IsInf(work, 1) {
			d.work = work
		}
	}
	return g
}

// reconfigure takes over a configuration. Classes that stay keep what is known of them.
func (g *Gate) reconfigure(config balance.Config) {
	g.config = config
	known := g.byName
	g.classes, g.byName = nil, map[string]*demand{}
	for _, c := range config.Classes {
		d := &demand{class: c, admitted: 1, credit: g.rng.Float64()}
		if k := known[c.Name]; k != nil {
			d.work, d.admitted, d.credit = k.work, k.admitted, k.credit
		}
		g.classes = append(g.classes, d)
		g.byName[c.Name] = d
	}
	slices.SortStableFunc(g.classes, func(a, b *demand) int { return cmp.Compare(b.class.Value, a.class.Value) })
	g.allocatedAt = 0
}

// Step takes in events, and returns those that package balance is to see, with rejections of the
// others.
func (g *Gate) Step(now time.Duration, events []balance.Event) (pass []balance.Event, out []balance.Action) {
	pass = events[:0:0]
	for _, e := range events {
		switch e := e.(type) {
		case balance.Members:
			g.updateHosts(e)
		case balance.ConfigChange:
			g.reconfigure(e.Config)
		case balance.FirstToken:
			g.recordOutcome(now, e.ID)
		case balance.Outcome:
			if e.Final {
				g.recordOutcome(now, e.ID)
			}
		case balance.Aborted: // by its client: says nothing of how it was served
			delete(g.pending, e.ID)
		case balance.Arrival:
			if !g.admit(now, &e) {
				g.Rejected++
				out = append(out, balance.Reject{ID: e.ID, RetryAfter: g.retryAfter()})
				continue
			}
		}
		pass = append(pass, e)
	}
	return pass, out
}

// updateHosts takes in who is listed and when each started.
func (g *Gate) updateHosts(e balance.Members) {
	if e.Failed || e.Version < g.listVersion {
		return
	}
	g.listVersion, g.allocatedAt = e.Version, 0
	if e.Complete {
		clear(g.hosts)
	}
	for _, m := range e.Members {
		if m.State == balance.Serving {
			g.hosts[m.Replica] = m
		} else {
			delete(g.hosts, m.Replica)
		}
	}
}

// admit decides whether a request goes on to package balance.
func (g *Gate) admit(now time.Duration, a *balance.Arrival) bool {
	d := g.byName[a.Class]
	if d == nil {
		return true // package balance rejects what has no class
	}
	g.allocate(now)
	warmingUp := g.warmFraction < NearlyWarm
	if warmingUp && d.isStaleRetry(a) {
		return false
	}
	d.work += a.PromptTokens + requestOverheadTokens
	if warmingUp && d.class.Value == g.classes[0].class.Value && len(g.pending) < maxPending {
		g.pending[a.ID] = now + d.class.LatencyTarget + d.extraTime(a)
	}
	return d.spendCredit()
}

// spendCredit admits the class's fraction of requests, evenly spread.
func (d *demand) spendCredit() bool {
	if d.admitted >= 1 {
		return true
	}
	d.credit += d.admitted
	if d.credit < 1 {
		return false
	}
	d.credit--
	return true
}

// extraTime is what a request's latency target has for the length of its prompt.
func (d *demand) extraTime(a *balance.Arrival) time.Duration {
	return time.Duration(a.PromptTokens / 1000 * float64(d.class.LatencyTargetPer1000Tokens))
}

// isStaleRetry reports whether a request is a client's later attempt whose latency target has
// passed: whatever it gets now is of no value, and takes the place of a request that has just come.
// A first attempt has the most time left that any of its class has shown; a later one has what is
// left of its deadline.
func (d *demand) isStaleRetry(a *balance.Arrival) bool {
	extra := d.extraTime(a)
	totalTime := d.class.Deadline + 2*extra
	if totalTime <= 0 || d.class.LateValueFraction > 0 {
		return false
	}
	leftFraction := float64(a.TimeLeft) / float64(totalTime)
	if leftFraction > maxPlausibleFraction {
		return false
	}
	d.maxLeftFraction = max(d.maxLeftFraction*maxLeftDecay, leftFraction)
	if leftFraction > firstAttemptFraction*d.maxLeftFraction {
		return false
	}
	return totalTime-a.TimeLeft > d.class.LatencyTarget+extra
}

// retryAfter is how long a rejected client is to stay away: spread, so that not all come back at
// once.
func (g *Gate) retryAfter() time.Duration {
	return time.Duration((0.5 + 0.5*g.rng.Float64()) * float64(g.config.MaxRetryAfter))
}

// Demand returns the work asked for of late, by class.
func (g *Gate) Demand() map[string]float64 {
	all := map[string]float64{}
	for _, d := range g.classes {
		all[d.class.Name] = d.work
	}
	return all
}

// AdmittedFractions returns the fraction of requests that is admitted, by class.
func (g *Gate) AdmittedFractions() map[string]float64 {
	all := map[string]float64{}
	for _, d := range g.classes {
		all[d.class.Name] = d.admitted
	}
	return all
}
