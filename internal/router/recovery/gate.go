package recovery

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"reachspread/balance"
)

// Gate limits admission while most hosts of a fleet are warming up at once. It admits classes in the
// order of their value, as far as the hosts' current capacity allows. It precedes package balance and
// gets the same events; package balance never sees a request that the Gate rejects. Each router
// computes its fractions from the list of hosts that all routers have. The routers therefore need no
// messages for it, and its cost does not grow with their number.
//
// Of the classes with the highest value, a Gate rejects only stale retries. Package balance decides
// which other requests of these classes can be served in time.
type Gate struct {
	config      balance.Config
	rng         *rand.Rand
	hosts       map[string]balance.Member // listed hosts that serve, by ID
	listVersion int64
	classes     []*demand // sorted by value, highest first
	byName      map[string]*demand

	warmFraction float64       // fraction of their warm capacity that the hosts had at allocatedAt
	allocatedAt  time.Duration // time of the last allocation; 0 forces one at the next arrival
	decayedAt    time.Duration // time up to which the demand has decayed

	// grantedFraction is the fraction of the hosts' current capacity that is granted. It grows while
	// requests of the highest value are served in time and shrinks otherwise.
	grantedFraction float64
	// pending has the unanswered requests of the highest value and the time by which each must be
	// answered to be in time. It has at most maxPending entries.
	pending      map[string]time.Duration
	inTime, late float64 // decayed counts of requests that left pending
	adjustedAt   time.Duration

	Rejected uint64 // number of rejected requests
}

// demand is the recent demand for a class and the fraction of it that is admitted.
type demand struct {
	class    balance.Class
	work     float64 // decayed sum of work asked for, in prompt tokens
	admitted float64 // fraction of requests that is admitted
	credit   float64 // each whole unit admits one request
	// maxLeftFraction is the largest fraction of its total time that a request still had left at its
	// arrival. It shrinks by the factor maxLeftDecay with each request.
	maxLeftFraction float64
}

// NearlyWarm is the fraction of the hosts' warm capacity from which a Gate rejects no requests.
const NearlyWarm = 0.95

const (
	demandWindow          = 5 * time.Second       // time constant of the decay of the demand
	allocateInterval      = 50 * time.Millisecond // minimum time between two allocations
	requestOverheadTokens = 500.0                 // cost of a request in addition to its prompt, in prompt tokens

	// initialFraction is the fraction of the hosts' capacity that is granted before any outcome is
	// known. A power loss empties the caches, so that hosts process each prompt in full, and package
	// balance leaves a margin for errors in the work it grants to hosts that are warming up.
	initialFraction = 0.3
	// partialOutageMargin is how far the warm fraction must be below NearlyWarm for the granted
	// fraction alone to limit admission. Closer to NearlyWarm more is granted: during a release few
	// hosts warm up at a time, and requests of the highest value may be late for other reasons.
	partialOutageMargin = 0.2

	adjustInterval  = 250 * time.Millisecond // minimum time between two changes of the granted fraction
	outcomeWindow   = time.Second            // time constant of the decay of outcomes
	minOutcomes     = 2.0                    // with fewer outcomes the granted fraction stays as it is
	maxLateFraction = 0.1                    // fraction of late outcomes above which the granted fraction shrinks; otherwise it grows
	growStep        = 0.05
	shrinkFactor    = 0.7
	minFraction     = 0.05

	maxPending = 4096
	gateStream = 7 // number of the random stream that the Gate derives from its seed
)

const (
	// maxLeftDecay is the factor by which maxLeftFraction shrinks with each request, so that it
	// follows a change in the clients' behavior.
	maxLeftDecay = 0.9999
	// firstAttemptFraction is the fraction of maxLeftFraction that a first attempt has left at least.
	firstAttemptFraction = 0.97
	// maxPlausibleFraction is the largest fraction of its total time that a request can have left if
	// its client follows the settings.
	maxPlausibleFraction = 1.05
)

// NewGate returns a Gate for one router. The argument baselineDemand is the usual demand for each
// class, which Baseline.Demand returned in an earlier process; it may be nil.
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

// reconfigure applies a configuration. Classes that exist in both configurations keep their demand
// and admitted fraction.
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

// Step processes events. It returns the events to pass to package balance, and a rejection for each
// arrival that it does not admit.
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
		case balance.Aborted: // the client gave up, so the request counts neither as in time nor as late
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

// updateHosts applies a change of the list: which hosts serve and when each started.
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

// admit reports whether a request is passed to package balance.
func (g *Gate) admit(now time.Duration, a *balance.Arrival) bool {
	d := g.byName[a.Class]
	if d == nil {
		return true // package balance rejects requests of unknown classes
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

// spendCredit reports whether the next request of the class is admitted. It spreads the admitted
// fraction evenly over the requests.
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

// extraTime returns the part of a request's latency target that depends on the length of its prompt.
func (d *demand) extraTime(a *balance.Arrival) time.Duration {
	return time.Duration(a.PromptTokens / 1000 * float64(d.class.LatencyTargetPer1000Tokens))
}

// isStaleRetry reports whether a request is a client's retry whose latency target has passed. An
// answer to it has no value any more, and serving it would take capacity from new requests. A first
// attempt has about the largest fraction of its time left that any request of its class has had; a
// retry has only the rest of its deadline left.
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

// retryAfter returns how long a rejected client must wait before it retries. The time is random, so
// that clients do not all retry at once.
func (g *Gate) retryAfter() time.Duration {
	return time.Duration((0.5 + 0.5*g.rng.Float64()) * float64(g.config.MaxRetryAfter))
}

// Demand returns the recent demand by class: a decayed sum of work in prompt tokens.
func (g *Gate) Demand() map[string]float64 {
	all := map[string]float64{}
	for _, d := range g.classes {
		all[d.class.Name] = d.work
	}
	return all
}

// AdmittedFractions returns the fraction of requests that the Gate admits, by class.
func (g *Gate) AdmittedFractions() map[string]float64 {
	all := map[string]float64{}
	for _, d := range g.classes {
		all[d.class.Name] = d.admitted
	}
	return all
}
