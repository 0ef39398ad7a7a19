package recovery

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"reachspread/balance"
)

// Gate admits classes in the order of their worth, as far as the hosts' present capacity goes, while most of a fleet's hosts are cold at once. It stands
// before the module and takes the same events: what it turns away the module never sees, as it was never sent. Each router works
// it out by itself from the list that all of them have, so routers need no word of each other for it, and what it costs does not grow with them.
//
// Classes of the highest worth are never turned away here: which of them can be served in time is the module's to say.
type Gate struct {
	config          balance.Config
	rng             *rand.Rand
	hosts           map[string]balance.Member
	version         int64
	classes         []*demand // the highest worth first
	byName          map[string]*demand
	decayedAt       time.Duration // of the last fading
	warmFraction    float64       // of warm capacity that the list's hosts have by now
	allocatedAt     time.Duration
	grantedFraction float64                  // of that share which is given out
	pending         map[string]time.Duration // requests of the highest worth: when each is late
	inTime          float64                  // of them, decayed: in time,
	late            float64                  // and not
	judgeAt         time.Duration
	Rejected        uint64 // requests
}

// demand is what is asked for of a class.
type demand struct {
	class           balance.Class
	work            float64 // decayed sum, in tokens to be read
	admitted        float64 // that is admitted
	credit          float64 // of one request
	maxLeftFraction float64 // share of its whole time that a request has had left
}

// NearlyWarm is the share of the hosts' warm capacity from which on nothing is turned away.
const NearlyWarm = 0.95

const (
	demandWindow          = 5 * time.Second // over which what is asked for is averaged
	allocateInterval      = 50 * time.Millisecond
	requestOverheadTokens = 500.0 // tokens' worth of work that a request is beside its prompt's
	// firstPart is how much of the present share of a usual day's work is given out before anything has been seen: caches are lost with the power, each
	// prompt is read whole, and the module's budgets of cold hosts leave it room to be wrong.
	initialFraction = 0.3
	// mildly is how far below NearlyWarm the share may be until nothing but what is seen counts: a release makes few hosts cold at a time, and the highest worth may
	// be late for other reasons.
	observedOnlyMargin = 0.2
	minFraction        = 0.05
	growStep           = 0.05 // of it, each judgeEvery in which the highest worth is served in time
	shrinkFactor       = 0.7  // what is left of it where over missMost of that is late
	maxLateFraction    = 0.1
	minJudged          = 2.0 // requests that say anything
	judgeInterval      = 250 * time.Millisecond
	judgeWindow        = time.Second // over which they are counted
	maxLeftDecay       = 0.9999
	maxPending         = 4096
)

// NewGate returns a Gate for one router. Usual has the work of each class on a usual day, as Usual.Demand has it from another life; it may be nil.
func NewGate(cfg balance.Config, usual map[string]float64, seed uint64) *Gate {
	g := &Gate{rng: rand.New(rand.NewPCG(seed, 7)), hosts: map[string]balance.Member{}, byName: map[string]*demand{}, warmFraction: 1, grantedFraction: initialFraction, pending: map[string]time.Duration{}}
	g.retune(cfg)
	for name, work := range usual {
		if d := g.byName[name]; d != nil && work > 0 && !math.IsInf(work, 1) {
			d.work = work
		}
	}
	return g
}

// Demand is the work asked for of late, by class.
func (g *Gate) Demand() map[string]float64 {
	all := map[string]float64{}
	for _, d := range g.classes {
		all[d.class.Name] = d.work
	}
	return all
}

// tune takes up settings. Classes that stay keep what is known of them.
func (g *Gate) retune(cfg balance.Config) {
	g.config = cfg
	old := g.byName
	g.classes, g.byName = nil, map[string]*demand{}
	for _, c := range cfg.Classes {
		d := &demand{class: c, admitted: 1, credit: g.rng.Float64()}
		if was := old[c.Name]; was != nil {
			d.work, d.admitted, d.credit = was.work, was.admitted, was.credit
		}
		g.classes, g.byName[c.Name] = append(g.classes, d), d
	}
	slices.SortStableFunc(g.classes, func(a, b *demand) int { return cmp.Compare(b.class.Value, a.class.Value) })
	g.allocatedAt = 0
}

// Step takes events, and returns those that the module is to see, with the answers to the others.
func (g *Gate) Step(now time.Duration, events []balance.Event) (pass []balance.Event, out []balance.Action) {
	pass = events[:0:0]
	for _, e := range events {
		switch e := e.(type) {
		case balance.Members:
			g.updateHosts(e)
		case balance.ConfigChange:
			g.retune(e.Config)
		case balance.FirstToken:
			g.recordOutcome(now, e.ID)
		case balance.Outcome:
			if e.Final {
				g.recordOutcome(now, e.ID)
			}
		case balance.Aborted: // its client's doing
			delete(g.pending, e.ID)
		case balance.Arrival:
			if !g.admit(now, &e) {
				out = append(out, balance.Reject{ID: e.ID, RetryAfter: g.retryAfter()})
				continue
			}
		}
		pass = append(pass, e)
	}
	return pass, out
}

// members keeps who is listed and when each started.
func (g *Gate) updateHosts(e balance.Members) {
	if e.Failed || e.Version < g.version {
		return
	}
	if g.version, g.allocatedAt = e.Version, 0; e.Complete {
		clear(g.hosts)
	}
	for _, m := range e.Members {
		if g.hosts[m.Replica] = m; m.State != balance.Serving {
			delete(g.hosts, m.Replica)
		}
	}
}

// admits tells whether a request may go on to the module.
func (g *Gate) admit(now time.Duration, a *balance.Arrival) bool {
	d := g.byName[a.Class]
	if d == nil {
		return true // the module's to answer
	}
	g.allocate(now)
	if g.warmFraction < NearlyWarm && d.isStaleRetry(a) {
		g.Rejected++
		return false
	}
	d.work += a.PromptTokens + requestOverheadTokens
	if d.class.Value == g.classes[0].class.Value && g.warmFraction < NearlyWarm && len(g.pending) < maxPending {
		g.pending[a.ID] = now + d.class.LatencyTarget + time.Duration(a.PromptTokens/1000*float64(d.class.LatencyTargetPer1000Tokens))
	}
	if d.admitted >= 1 {
		return true
	}
	d.credit += d.admitted
	if d.credit < 1 {
		g.Rejected++
		return false
	}
	d.credit--
	return true
}

// old tells that a request is one of a client that has asked before, and that its aim has passed meanwhile: whatever it gets now is worth nothing, and takes the
// place of one that has just come. A client's first try has the most time left that any of its class has shown; one that has less has what is left of its deadline.
func (d *demand) isStaleRetry(a *balance.Arrival) bool {
	more := time.Duration(a.PromptTokens / 1000 * float64(d.class.LatencyTargetPer1000Tokens))
	whole := d.class.Deadline + 2*more
	if whole <= 0 || d.class.LateValueFraction > 0 {
		return false
	}
	share := float64(a.TimeLeft) / float64(whole)
	if share > 1.05 { // not as the settings say
		return false
	}
	if d.maxLeftFraction = max(d.maxLeftFraction*maxLeftDecay, share); share > 0.97*d.maxLeftFraction {
		return false
	}
	return whole-a.TimeLeft > d.class.LatencyTarget+more
}

// judged takes in that the answer of a request has begun, or that it is over.
func (g *Gate) recordOutcome(now time.Duration, id string) {
	if at, is := g.pending[id]; is {
		if delete(g.pending, id); now <= at {
			g.inTime++
		} else {
			g.late++
		}
	}
}

// judge grows or cuts what is given out, by how the highest worth is served.
func (g *Gate) adjust(now time.Duration) {
	if now < g.judgeAt+judgeInterval {
		return
	}
	for id, at := range g.pending {
		if now > at {
			delete(g.pending, id)
			g.late++
		}
	}
	switch all := g.inTime + g.late; {
	case all < minJudged:
	case g.late > maxLateFraction*all:
		g.grantedFraction = max(g.grantedFraction*shrinkFactor, minFraction)
	default:
		g.grantedFraction = min(g.grantedFraction+growStep, 1)
	}
	left := math.Exp(-min(now-g.judgeAt, time.Minute).Seconds() / judgeWindow.Seconds())
	g.inTime, g.late, g.judgeAt = g.inTime*left, g.late*left, now
}

// away is how long a class that waits for warmer hosts stays away: spread, lest all come back together.
func (g *Gate) retryAfter() time.Duration {
	return time.Duration((0.5 + 0.5*g.rng.Float64()) * float64(g.config.MaxRetryAfter))
}

// Parts is what is admitted by now of each class.
func (g *Gate) AdmittedFractions() map[string]float64 {
	all := map[string]float64{}
	for _, d := range g.classes {
		all[d.class.Name] = d.admitted
	}
	return all
}

// Warmth is what a host that started at born can do by now, of what it does when warm; 0 for long ago.
func Warmth(cfg *balance.Config, born, now time.Duration) float64 {
	if age := now - born; born > 0 && age < cfg.SlowStartWindow {
		return cfg.SlowStartMinCapacity + (1-cfg.SlowStartMinCapacity)*float64(max(age, 0))/float64(cfg.SlowStartWindow)
	}
	return 1
}

// Share is what the listed hosts can do by now, of what they do when warm.
func (g *Gate) WarmFraction(now time.Duration) float64 {
	if len(g.hosts) == 0 {
		return 1
	}
	sum := 0.0
	for _, m := range g.hosts {
		sum += Warmth(&g.config, m.StartedAt, now)
	}
	return sum / float64(len(g.hosts))
}

// Warm tells whether the hosts are, so that nothing is turned away.
func (g *Gate) Warm(now time.Duration) bool { return g.WarmFraction(now) >= NearlyWarm }

// deal divides the present capacity by classes, the highest worth first, now and then.
func (g *Gate) allocate(now time.Duration) {
	if g.allocatedAt != 0 && now < g.allocatedAt+allocateInterval {
		return
	}
	g.adjust(now)
	left := math.Exp(-max(now-g.decayedAt, 0).Seconds() / demandWindow.Seconds())
	g.decayedAt, g.allocatedAt, g.warmFraction = now, now, g.WarmFraction(now)
	all := 0.0
	for _, d := range g.classes {
		d.work *= left
		all += d.work
	}
	part := max(g.grantedFraction, 1-(NearlyWarm-g.warmFraction)/observedOnlyMargin)
	room := g.warmFraction * part * all
	if g.warmFraction >= NearlyWarm || all == 0 {
		room, g.grantedFraction = math.Inf(1), initialFraction
	}
	for i, d := range g.classes {
		if d.admitted = 1; i > 0 && d.class.Value < g.classes[0].class.Value && d.work > 0 {
			d.admitted = min(max(room/d.work, 0), 1)
		}
		room = max(room-d.work, 0)
	}
}
