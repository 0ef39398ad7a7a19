package balance

// This file takes events and gives actions; types.go says what is decided, and by what exceptions.

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"reachspread/internal/assignment"
	"reachspread/internal/decayed"
)

const (
	mostCounted  = 1000                   // prompts, before their numbers are halved
	lookAgain    = 100 * time.Millisecond // at what is held: a cold or ejected replica may have room by then
	manyGateways = 8                      // from which on they tell each other
	settling     = 2 * time.Second        // a view holds so long before shares and budgets follow it
	noAim        = time.Second            // what a class without an aim counts as among the aims
)

// New returns a Balancer for one gateway, or an error that names the setting at fault.
func New(cfg Config, seed uint64) (*Balancer, error) {
	if cfg.Gateways < manyGateways {
		cfg.Gateways = 0 // few hear enough of each replica by themselves
	}
	b := &Balancer{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0)), kinds: map[string]*fit{},
		replicas: map[string]*replica{}, tags: map[uint32]*replica{}, requests: map[string]*request{},
		begun:   decayed.Sum{Span: workSpan * time.Second, Least: time.Second},
		prompts: decayed.Counts{Most: mostCounted}, living: float64(cfg.Gateways),
		fleet: assignment.New(cfg.Gateways, cfg.Me, mark(cfg.Zone), settling)}
	if cfg.AskForList {
		b.askAt = 1 // with the first Step
	}
	return b, b.tune(cfg)
}

// tune takes up settings, but for what a gateway is to others. Requests under way keep their classes.
func (b *Balancer) tune(cfg Config) error {
	if err := cfg.check(); err != nil {
		return err
	}
	classes := map[string]*class{}
	b.most, b.least, b.brief = math.Inf(-1), math.Inf(1), math.Inf(1)
	for _, c := range cfg.Classes {
		old := cmp.Or(b.classes[c.Name], &class{decode: 1})
		classes[c.Name] = &class{Class: c, decode: old.decode, seen: old.seen}
		b.most, b.least = max(b.most, c.Worth), min(b.least, c.Worth)
		b.brief = min(b.brief, max(cmp.Or(c.Aim, noAim), time.Millisecond).Seconds())
	}
	cfg.Zone, cfg.Gateways, cfg.Me, cfg.AskForList = b.cfg.Zone, b.cfg.Gateways, b.cfg.Me, b.cfg.AskForList
	cfg.MaxAttempts = max(cfg.MaxAttempts, 1)
	b.cfg, b.classes = cfg, classes
	return nil
}

// Step takes in what has happened, then dispatches once.
func (b *Balancer) Step(now time.Duration, events []Event) []Action {
	b.now, b.out = now, nil
	for _, ev := range events {
		b.take(ev)
	}
	b.deal()
	b.countWarm()
	if len(b.held) > 0 {
		b.dispatch()
	}
	b.upkeep()
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// take sorts events; what it doesn't know of is ignored.
func (b *Balancer) take(ev Event) {
	switch ev := ev.(type) {
	case Members:
		b.takeMembers(ev)
	case Retune:
		b.tune(ev.Config)
	case Arrival:
		b.takeArrival(ev)
	case FirstToken:
		if a := b.find(ev.ID, ev.Attempt); a != nil && !a.over && a.began == 0 {
			b.takeFirst(a)
		}
	case Outcome:
		if a := b.find(ev.ID, ev.Attempt); a != nil && !a.over {
			b.takeOutcome(a, ev)
		}
	case Aborted:
		if q := b.requests[ev.ID]; q != nil {
			b.close(q)
		}
	case Heard:
		b.takeHeard(ev)
	case Fleet:
		b.fleet.Viewed(ev.Version, peers(ev), b.now)
	case Probed:
		if r := b.replicas[ev.Replica]; r != nil {
			b.takeProbed(r, ev)
		}
	case Wake:
		if ev.Token == b.token {
			b.wakeAt = 0
		}
	}
}

// upkeep asks discovery again and sets the one timer.
func (b *Balancer) upkeep() {
	next := time.Duration(math.MaxInt64)
	if b.askAt > 0 && b.now >= b.askAt {
		b.askAt = 0
		b.do(Subscribe{})
	} else if b.askAt > 0 {
		next = b.askAt
	}
	for _, q := range b.held {
		next = min(next, b.spent(q), max(q.again, b.now+lookAgain))
		if b.asking(q) {
			next = min(next, q.askedTo)
		}
	}
	next = max(next, b.now+max(b.cfg.Tick, time.Millisecond))
	if next < math.MaxInt64 && (b.wakeAt == 0 || next < b.wakeAt) {
		b.token, b.wakeAt = b.token+1, next
		b.do(SetTimer{Token: b.token, After: next - b.now})
	}
}
