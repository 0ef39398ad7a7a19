// Package dataplane is the data plane of the router fleet: it takes clients' requests by the configuration in force and has them
// served by the hosts of their services. Every decision on which prompt goes where and when is package balance's, one for each service.
package dataplane

import (
	"context"
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/balance"
	"reachspread/internal/retrybudget"
	"reachspread/internal/routing"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
	"reachspread/internal/system/settings"
	"reachspread/internal/transport"
)

const (
	mostAttempts = 4 // of one try, those that were turned away among them
	tick         = time.Millisecond
	probeFor     = time.Second
	mostAway     = 2 * time.Second
	// slackPart is the part of the retry budget's slack that all routers together may hold, as the view of how many there are is late.
	slackPart = 0.7
)

// Quotas says whether a tenant may have so many units now. It is called for each request of a tenant with a limit, and waits
// for a moment at most.
type Quotas interface {
	// Take takes units of a tenant's quota; where there are too few, it says when to ask again.
	Take(t *configuration.Tenant, units float64) (ok bool, wait time.Duration)
	// Put gives back units that were taken at a time for a request that did not run.
	Put(t *configuration.Tenant, units float64, taken time.Time)
}

// Options are what a Plane is made with.
type Options struct {
	Settings func() *settings.Settings // in force; not to be changed
	Servers  *transport.Servers
	Quotas   Quotas
	// Fresh tells whether what is known of the configuration is young enough to honour keys by it.
	Fresh func() bool
	// Newest tells whether it was the newest for certain so short a time ago that a refusal by it is right.
	Newest func() bool
	// Tell tells other routers of prompts that were sent to hosts of a service; nil for nobody. It must not block.
	Tell  func(service string, reports []balance.PeerReport)
	Log   routing.Logger
	Seed  uint64
	Began time.Time // when the router did
}

// Plane is one router's. It implements transport.Intake.
type Plane struct {
	o     Options
	ctx   context.Context
	state atomic.Pointer[configuration.State] // nil before the first configuration
	hash  maphash.Seed
	next  atomic.Uint64 // of names for the decisions

	mu       sync.Mutex
	services map[string]*service
	routers  int // that live, this one among them

	pools   atomic.Pointer[map[string]*service] // replaced, never changed
	counts  Counts
	ends    ends
	changes changes
	pins    *pinned
}

// service is one service's decisions.
type service struct {
	name    string
	router  *routing.Router
	retries *retrybudget.Bucket
	stop    context.CancelFunc
	told    uint64          // the revision of the hosts that it was told of
	wanted  []balance.Class // of the configuration in force
	tuned   []balance.Class // that the decisions were given
	serving atomic.Int64
	models  models // that its hosts have
}

// Counts are requests by their ends, for the figures.
type Counts struct {
	Taken, Rejected atomic.Uint64
}

// Requests are how many heads of requests were taken since the start, and how many were rejected before a host was looked for.
func (p *Plane) Requests() (taken, rejected uint64) {
	return p.counts.Taken.Load(), p.counts.Rejected.Load()
}

// New returns a plane that serves nothing before the first configuration. Its decisions run until ctx ends.
func New(ctx context.Context, o Options) *Plane {
	p := &Plane{o: o, ctx: ctx, hash: maphash.MakeSeed(), services: map[string]*service{}, routers: 1}
	p.pools.Store(&map[string]*service{})
	p.pins = newPinned(p)
	return p
}

// State is the configuration in force, nil for none.
func (p *Plane) State() *configuration.State { return p.state.Load() }

// Configure puts a configuration in force.
func (p *Plane) Configure(state *configuration.State) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, classes := range classesOf(state.Typed) {
		if err := p.tune(name, classes); err != nil {
			return fmt.Errorf("service %s: %w", name, err)
		}
	}
	all := make(map[string]*service, len(p.services))
	for name, s := range p.services {
		all[name] = s
	}
	p.pools.Store(&all)
	p.state.Store(state)
	p.changes.notify()
	p.pins.changed(state.Pins())
	return nil
}

// tune makes the decisions of a service, or gives them other classes where these have changed. Those of the configuration before stay, for
// requests whose head came under it. The lock is held.
func (p *Plane) tune(name string, classes []balance.Class) error {
	s := p.services[name]
	if s != nil {
		both := union(classes, s.wanted)
		s.wanted = classes
		if !slices.Equal(both, s.tuned) {
			s.tuned = both
			s.router.Reconfigure(p.config(s, both))
		}
		return nil
	}
	s = &service{name: name, wanted: classes, tuned: classes, retries: retrybudget.New(p.o.Settings().Bounds.RetryBudgetRatio, p.slack())}
	b, err := balance.New(p.config(s, classes), p.o.Seed^rand.Uint64())
	if err != nil {
		return err
	}
	s.router = routing.New(b, p.o.Servers, p.o.Log, probeFor)
	if p.o.Tell != nil {
		s.router.SendReportsBy(func(t balance.SendReports) { p.o.Tell(name, t.Reports) })
	}
	ctx, stop := context.WithCancel(p.ctx)
	s.stop = stop
	go s.router.Run(ctx)
	p.services[name] = s
	return nil
}

// slack is how many repeats one router may save up.
func (p *Plane) slack() float64 {
	return slackPart * p.o.Settings().Bounds.RetryBudgetSlack / float64(max(p.routers, 1))
}

// Tune takes up what settings that were read anew say of budgets.
func (p *Plane) Tune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		s.retries.Set(p.o.Settings().Bounds.RetryBudgetRatio, p.slack())
	}
}

// SetRouters tells how many routers live, this one among them.
func (p *Plane) SetRouters(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers = max(n, 1)
	for _, s := range p.services {
		s.retries.Set(p.o.Settings().Bounds.RetryBudgetRatio, p.slack())
	}
}

// Routers is how many routers live, as was told last.
func (p *Plane) Routers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routers
}

// config is what the decisions of a service are told.
func (p *Plane) config(s *service, classes []balance.Class) balance.Config {
	return balance.Config{Zone: p.o.Settings().Zone, Classes: classes, MaxAttempts: mostAttempts, SlowStartMinCapacity: 0.5, SlowStartWindow: time.Second,
		OverloadFactor: 4, OverloadWindow: time.Second, StepInterval: tick, CrossZonePenalty: crossZonePrice, MaxRetryAfter: mostAway, SingleAffinityHost: true, Broadcast: p.o.Tell != nil, RetryBudget: s.retries}
}

// crossZonePrice is what crossing zones counts in the decisions, in parts of what there is to earn.
const crossZonePrice = 0.01

// Hosts tells the decisions which hosts a service has.
func (p *Plane) Hosts(name string, revision uint64, all []*instances.Record, now time.Duration) {
	p.mu.Lock()
	s := p.services[name]
	p.mu.Unlock()
	if s == nil || s.told == revision {
		return
	}
	s.told = revision
	ev := balance.Members{Complete: true}
	counts := s.models.recount()
	addrs := map[string]string{}
	serving := 0
	clock := time.Duration(time.Now().UnixNano())
	for _, r := range all {
		m := balance.Member{Replica: r.Id, Zone: r.Zone, Kind: name}
		switch r.State {
		case message.Instance_READY:
			m.State, m.Features = balance.Serving, counts.add(r.Models)
			serving++
		case message.Instance_DRAINING:
			m.State = balance.Draining
		default:
			m.State = balance.Removed
		}
		if left := r.SlowStartUntil - now; left > 0 {
			m.StartedAt = clock + left - time.Second
		}
		ev.Members = append(ev.Members, m)
		addrs[r.Id] = r.Address
	}
	s.router.ApplyUpdate(ev, addrs)
	s.models.take(counts)
	s.serving.Store(int64(serving))
	p.changes.notify()
	p.pins.lost(s)
}

// Heard takes in what another router tells of the prompts that it sent to hosts of a service.
func (p *Plane) Heard(name string, heard balance.ReportsReceived) {
	if s := (*p.pools.Load())[name]; s != nil {
		s.router.ReceiveReports(heard)
	}
}

// Serving tells whether there is a configuration, and a host for at least one service of it.
func (p *Plane) Serving() bool {
	if p.state.Load() == nil {
		return false
	}
	for _, s := range *p.pools.Load() {
		if s.serving.Load() > 0 {
			return true
		}
	}
	return false
}

// ServiceFigures are those of one service.
type ServiceFigures struct {
	Open    int64   // requests that were taken and have not ended
	Retries float64 // further attempts that the budget allows now
	Avoided int64   // hosts out of rotation for their failures
}

// Figures are those of all services, by name.
func (p *Plane) Figures() map[string]ServiceFigures {
	all := map[string]ServiceFigures{}
	for name, s := range *p.pools.Load() {
		f := s.router.Metrics()
		all[name] = ServiceFigures{Open: f.Open, Retries: s.retries.Left(), Avoided: f.OutOfRotation}
	}
	return all
}
