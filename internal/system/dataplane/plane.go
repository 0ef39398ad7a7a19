// Package dataplane is the data plane of the router fleet: it admits clients' requests by the
// configuration in force and has them served by the hosts of their services. A request is admitted
// by its head (intake.go), planned with its body (plan.go): charged to its tenant's quota
// (quota.go), held to a version pin (pins.go), and forwarded (forward.go). Which request goes where
// and when is decided by package balance, once for each service.
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
	"reachspread/internal/system/settings"
	"reachspread/internal/transport"
)

// MaxRetryAfter is the longest time after which a rejected client is advised to come back.
const MaxRetryAfter = 2 * time.Second

const (
	maxAttempts  = 4 // of a request, those that were rejected among them
	stepInterval = time.Millisecond
	probeTimeout = time.Second

	// The decisions take a host to have half of its capacity at its start and all of it a second
	// later, and to fail where it gets four times its capacity for a second.
	slowStartMinCapacity = 0.5
	slowStartWindow      = time.Second
	overloadFactor       = 4
	overloadWindow       = time.Second
	// crossZonePenalty is what crossing zones counts in the decisions, as a fraction of the value
	// of all requests.
	crossZonePenalty = 0.01

	// retrySlackFraction is the fraction of the retry budget's slack that all routers together may
	// save up, as the view of how many live is late.
	retrySlackFraction = 0.7
)

// Quotas says whether a tenant may have so many units now. It is called for each request of a
// tenant with a limit, and blocks for a moment at most.
type Quotas interface {
	// Take takes units of a tenant's quota. If there are too few, wait is when to ask again.
	Take(t *configuration.Tenant, units float64) (ok bool, wait time.Duration)
	// Put gives back units that were taken at a time for a request that did not execute.
	Put(t *configuration.Tenant, units float64, taken time.Time)
}

// Options are what a Plane is made with.
type Options struct {
	Settings func() *settings.Settings // in force; not to be changed
	Servers  *transport.Servers
	Quotas   Quotas
	// Fresh reports whether what is known of the configuration is fresh enough to honour keys by
	// it.
	Fresh func() bool
	// Newest reports whether it was the newest for certain so short a time ago that it may deny a
	// request.
	Newest func() bool
	// ReportPrompts reports prompts that were sent to hosts of a service to other routers; nil for
	// none. It must not block.
	ReportPrompts func(service string, reports []balance.PeerReport)
	Log           routing.Logger
	Seed          uint64
	StartedAt     time.Time // the router
}

// Plane is the data plane of one router. It implements transport.Intake.
type Plane struct {
	o      Options
	ctx    context.Context
	state  atomic.Pointer[configuration.State] // nil before the first configuration
	hash   maphash.Seed
	nextID atomic.Uint64 // the last request ID in the decisions

	mu       sync.Mutex
	services map[string]*service
	routers  int // that live, this one among them

	serviceMap    atomic.Pointer[map[string]*service] // replaced, never changed
	counts        Counts
	outcomeCounts outcomeCounts
	changes       changeNotifier
	pins          *pinTracker
}

// service is a service with its decisions.
type service struct {
	name            string
	router          *routing.Router
	retries         *retrybudget.Budget
	stop            context.CancelFunc
	hostsRevision   uint64          // the last that SetHosts was given
	classes         []balance.Class // of the configuration in force
	decisionClasses []balance.Class // that the decisions have
	servingHosts    atomic.Int64
	models          models // of its hosts
}

// Counts are the heads of requests, and the requests that were rejected before a host was looked
// for.
type Counts struct {
	Accepted, Rejected atomic.Uint64
}

// Requests returns how many heads of requests came since the start, and how many requests were
// rejected before a host was looked for.
func (p *Plane) Requests() (accepted, rejected uint64) {
	return p.counts.Accepted.Load(), p.counts.Rejected.Load()
}

// New returns a plane that serves nothing before the first configuration. Its decisions run until
// ctx ends.
func New(ctx context.Context, o Options) *Plane {
	p := &Plane{o: o, ctx: ctx, hash: maphash.MakeSeed(), services: map[string]*service{}, routers: 1}
	p.serviceMap.Store(&map[string]*service{})
	p.pins = newPinTracker(p)
	return p
}

// State returns the configuration in force, nil for none.
func (p *Plane) State() *configuration.State { return p.state.Load() }

// Configure puts a configuration in force.
func (p *Plane) Configure(state *configuration.State) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, classes := range classesOf(state.Typed) {
		if err := p.configureService(name, classes); err != nil {
			return fmt.Errorf("service %s: %w", name, err)
		}
	}
	all := make(map[string]*service, len(p.services))
	for name, s := range p.services {
		all[name] = s
	}
	p.serviceMap.Store(&all)
	p.state.Store(state)
	p.changes.notify()
	p.pins.pinsChanged(state.Pins())
	return nil
}

// configureService makes the decisions of a service, or gives them other classes if these have
// changed. Those of the configuration before stay, for requests whose head came under it. The
// caller has the lock.
func (p *Plane) configureService(name string, classes []balance.Class) error {
	s := p.services[name]
	if s != nil {
		both := unionOfClasses(classes, s.classes)
		s.classes = classes
		if !slices.Equal(both, s.decisionClasses) {
			s.decisionClasses = both
			s.router.Reconfigure(p.config(s, both))
		}
		return nil
	}
	s = &service{name: name, classes: classes, decisionClasses: classes, retries: retrybudget.New(p.o.Settings().Bounds.RetryBudgetRatio, p.retrySlack())}
	b, err := balance.New(p.config(s, classes), p.o.Seed^rand.Uint64())
	if err != nil {
		return err
	}
	s.router = routing.New(b, p.o.Servers, p.o.Log, probeTimeout)
	if p.o.ReportPrompts != nil {
		s.router.SendReportsBy(func(t balance.SendReports) { p.o.ReportPrompts(name, t.Reports) })
	}
	ctx, stop := context.WithCancel(p.ctx)
	s.stop = stop
	go s.router.Run(ctx)
	p.services[name] = s
	return nil
}

// retrySlack returns how many retries one router may save up.
func (p *Plane) retrySlack() float64 {
	return retrySlackFraction * p.o.Settings().Bounds.RetryBudgetSlack / float64(max(p.routers, 1))
}

// ReloadBudgets applies the retry budget of settings that were read again.
func (p *Plane) ReloadBudgets() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		s.retries.Set(p.o.Settings().Bounds.RetryBudgetRatio, p.retrySlack())
	}
}

// SetRouters sets how many routers live, this one among them.
func (p *Plane) SetRouters(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers = max(n, 1)
	for _, s := range p.services {
		s.retries.Set(p.o.Settings().Bounds.RetryBudgetRatio, p.retrySlack())
	}
}

// Routers returns how many routers live, as was set last.
func (p *Plane) Routers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routers
}

// config returns the configuration of a service's decisions.
func (p *Plane) config(s *service, classes []balance.Class) balance.Config {
	return balance.Config{
		Zone:                 p.o.Settings().Zone,
		Classes:              classes,
		MaxAttempts:          maxAttempts,
		RetryBudget:          s.retries,
		SlowStartMinCapacity: slowStartMinCapacity,
		SlowStartWindow:      slowStartWindow,
		OverloadFactor:       overloadFactor,
		OverloadWindow:       overloadWindow,
		StepInterval:         stepInterval,
		CrossZonePenalty:     crossZonePenalty,
		MaxRetryAfter:        MaxRetryAfter,
		SingleAffinityHost:   true,
		Broadcast:            p.o.ReportPrompts != nil,
	}
}

// Serving reports whether there is a configuration, and a host for at least one service of it.
func (p *Plane) Serving() bool {
	if p.state.Load() == nil {
		return false
	}
	for _, s := range *p.serviceMap.Load() {
		if s.servingHosts.Load() > 0 {
			return true
		}
	}
	return false
}

// ServiceMetrics are the metrics of one service.
type ServiceMetrics struct {
	Open          int64   // requests that were accepted and have not ended
	Retries       float64 // that the budget allows now
	OutOfRotation int64   // hosts out of rotation for their failures
}

// Metrics returns the metrics of all services, by name.
func (p *Plane) Metrics() map[string]ServiceMetrics {
	all := map[string]ServiceMetrics{}
	for name, s := range *p.serviceMap.Load() {
		f := s.router.Metrics()
		all[name] = ServiceMetrics{Open: f.Open, Retries: s.retries.Left(), OutOfRotation: f.OutOfRotation}
	}
	return all
}

// AnswerOpen gives all requests without an answer their final one, as the process is about to be
// killed.
func (p *Plane) AnswerOpen() {
	for _, s := range *p.serviceMap.Load() {
		s.router.AnswerOpen(MaxRetryAfter)
	}
}
