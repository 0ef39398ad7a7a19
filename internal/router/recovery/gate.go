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
	cfg     balance.Config
	rng     *rand.Rand
	hosts   map[string]balance.Member
	version int64
	classes []*demand // the highest worth first
	byName  map[string]*demand
	at      time.Duration // of the last fading
	share   float64       // of warm capacity that the list's hosts have by now
	dealtAt time.Duration
	part    float64                  // of that share which is given out
	open    map[string]time.Duration // requests of the highest worth: when each is late
	well    float64                  // of them, decayed: in time,
	late    float64                  // and not
	judgeAt time.Duration
	Turned  uint64 // requests
}

// demand is what is asked for of a class.
type demand struct {
	class  balance.Class
	work   float64 // decayed sum, in tokens to be read
	part   float64 // that is admitted
	credit float64 // of one request
	most   float64 // share of its whole time that a request has had left
}

// NearlyWarm is the share of the hosts' warm capacity from which on nothing is turned away.
const NearlyWarm = 0.95

const (
	demandFor = 5 * time.Second // over which what is asked for is averaged
	dealEvery = 50 * time.Millisecond
	eachReads = 500.0 // tokens' worth of work that a request is beside its prompt's
	// firstPart is how much of the present share of a usual day's work is given out before anything has been seen: caches are lost with the power, each
	// prompt is read whole, and the module's budgets of cold hosts leave it room to be wrong.
	firstPart = 0.3
	// mildly is how far below NearlyWarm the share may be until nothing but what is seen counts: a release makes few hosts cold at a time, and the highest worth may
	// be late for other reasons.
	mildly     = 0.2
	leastPart  = 0.05
	growBy     = 0.05 // of it, each judgeEvery in which the highest worth is served in time
	cutBy      = 0.7  // what is left of it where over missMost of that is late
	missMost   = 0.1
	fewest     = 2.0 // requests that say anything
	judgeEvery = 250 * time.Millisecond
	judgedFor  = time.Second // over which they are counted
	mostFades  = 0.9999
	mostOpen   = 4096
)

// NewGate returns a Gate for one router. Usual has the work of each class on a usual day, as Usual.Demand has it from another life; it may be nil.
func NewGate(cfg balance.Config, usual map[string]float64, seed uint64) *Gate {
	g := &Gate{rng: rand.New(rand.NewPCG(seed, 7)), hosts: map[string]balance.Member{}, byName: map[string]*demand{}, share: 1, part: firstPart, open: map[string]time.Duration{}}
	g.tune(cfg)
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
func (g *Gate) tune(cfg balance.Config) {
	g.cfg = cfg
	old := g.byName
	g.classes, g.byName = nil, map[string]*demand{}
	for _, c := range cfg.Classes {
		d := &demand{class: c, part: 1, credit: g.rng.Float64()}
		if was := old[c.Name]; was != nil {
			d.work, d.part, d.credit = was.work, was.part, was.credit
		}
		g.classes, g.byName[c.Name] = append(g.classes, d), d
	}
	slices.SortStableFunc(g.classes, func(a, b *demand) int { return cmp.Compare(b.class.Worth, a.class.Worth) })
	g.dealtAt = 0
}

// Step takes events, and returns those that the module is to see, with the answers to the others.
func (g *Gate) Step(now time.Duration, events []balance.Event) (pass []balance.Event, out []balance.Action) {
	pass = events[:0:0]
	for _, e := range events {
		switch e := e.(type) {
		case balance.Members:
			g.members(e)
		case balance.Retune:
			g.tune(e.Config)
		case balance.FirstToken:
			g.judged(now, e.ID)
		case balance.Outcome:
			if e.Final {
				g.judged(now, e.ID)
			}
		case balance.Aborted: // its client's doing
			delete(g.open, e.ID)
		case balance.Arrival:
			if !g.admits(now, &e) {
				out = append(out, balance.Refuse{ID: e.ID, Away: g.away()})
				continue
			}
		}
		pass = append(pass, e)
	}
	return pass, out
}

// members keeps who is listed and when each started.
func (g *Gate) members(e balance.Members) {
	if e.Failed || e.Version < g.version {
		return
	}
	if g.version, g.dealtAt = e.Version, 0; e.Whole {
		clear(g.hosts)
	}
	for _, m := range e.Members {
		if g.hosts[m.Replica] = m; m.State != balance.Serving {
			delete(g.hosts, m.Replica)
		}
	}
}

// admits tells whether a request may go on to the module.
func (g *Gate) admits(now time.Duration, a *balance.Arrival) bool {
	d := g.byName[a.Class]
	if d == nil {
		return true // the module's to answer
	}
	g.deal(now)
	if g.share < NearlyWarm && d.old(a) {
		g.Turned++
		return false
	}
	d.work += a.Prompt + eachReads
	if d.class.Worth == g.classes[0].class.Worth && g.share < NearlyWarm && len(g.open) < mostOpen {
		g.open[a.ID] = now + d.class.Aim + time.Duration(a.Prompt/1000*float64(d.class.AimPer1000))
	}
	if d.part >= 1 {
		return true
	}
	d.credit += d.part
	if d.credit < 1 {
		g.Turned++
		return false
	}
	d.credit--
	return true
}

// old tells that a request is one of a client that has asked before, and that its aim has passed meanwhile: whatever it gets now is worth nothing, and takes the
// place of one that has just come. A client's first try has the most time left that any of its class has shown; one that has less has what is left of its deadline.
func (d *demand) old(a *balance.Arrival) bool {
	more := time.Duration(a.Prompt / 1000 * float64(d.class.AimPer1000))
	whole := d.class.Deadline + 2*more
	if whole <= 0 || d.class.LateWorth > 0 {
		return false
	}
	share := float64(a.Left) / float64(whole)
	if share > 1.05 { // not as the settings say
		return false
	}
	if d.most = max(d.most*mostFades, share); share > 0.97*d.most {
		return false
	}
	return whole-a.Left > d.class.Aim+more
}

// judged takes in that the answer of a request has begun, or that it is over.
func (g *Gate) judged(now time.Duration, id string) {
	if at, is := g.open[id]; is {
		if delete(g.open, id); now <= at {
			g.well++
		} else {
			g.late++
		}
	}
}

// judge grows or cuts what is given out, by how the highest worth is served.
func (g *Gate) judge(now time.Duration) {
	if now < g.judgeAt+judgeEvery {
		return
	}
	for id, at := range g.open {
		if now > at {
			delete(g.open, id)
			g.late++
		}
	}
	switch all := g.well + g.late; {
	case all < fewest:
	case g.late > missMost*all:
		g.part = max(g.part*cutBy, leastPart)
	default:
		g.part = min(g.part+growBy, 1)
	}
	left := math.Exp(-min(now-g.judgeAt, time.Minute).Seconds() / judgedFor.Seconds())
	g.well, g.late, g.judgeAt = g.well*left, g.late*left, now
}

// away is how long a class that waits for warmer hosts stays away: spread, lest all come back together.
func (g *Gate) away() time.Duration {
	return time.Duration((0.5 + 0.5*g.rng.Float64()) * float64(g.cfg.MaxAway))
}

// Parts is what is admitted by now of each class.
func (g *Gate) Parts() map[string]float64 {
	all := map[string]float64{}
	for _, d := range g.classes {
		all[d.class.Name] = d.part
	}
	return all
}

// Warmth is what a host that started at born can do by now, of what it does when warm; 0 for long ago.
func Warmth(cfg *balance.Config, born, now time.Duration) float64 {
	if age := now - born; born > 0 && age < cfg.ColdTime {
		return cfg.StartCapacity + (1-cfg.StartCapacity)*float64(max(age, 0))/float64(cfg.ColdTime)
	}
	return 1
}

// Share is what the listed hosts can do by now, of what they do when warm.
func (g *Gate) Share(now time.Duration) float64 {
	if len(g.hosts) == 0 {
		return 1
	}
	sum := 0.0
	for _, m := range g.hosts {
		sum += Warmth(&g.cfg, m.Born, now)
	}
	return sum / float64(len(g.hosts))
}

// Warm tells whether the hosts are, so that nothing is turned away.
func (g *Gate) Warm(now time.Duration) bool { return g.Share(now) >= NearlyWarm }

// deal divides the present capacity by classes, the highest worth first, now and then.
func (g *Gate) deal(now time.Duration) {
	if g.dealtAt != 0 && now < g.dealtAt+dealEvery {
		return
	}
	g.judge(now)
	left := math.Exp(-max(now-g.at, 0).Seconds() / demandFor.Seconds())
	g.at, g.dealtAt, g.share = now, now, g.Share(now)
	all := 0.0
	for _, d := range g.classes {
		d.work *= left
		all += d.work
	}
	part := max(g.part, 1-(NearlyWarm-g.share)/mildly)
	room := g.share * part * all
	if g.share >= NearlyWarm || all == 0 {
		room, g.part = math.Inf(1), firstPart
	}
	for i, d := range g.classes {
		if d.part = 1; i > 0 && d.class.Worth < g.classes[0].class.Worth && d.work > 0 {
			d.part = min(max(room/d.work, 0), 1)
		}
		room = max(room-d.work, 0)
	}
}
