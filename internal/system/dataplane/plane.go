// Package dataplane is the data plane of the router fleet. It admits clients' requests according to
// the configuration in force and forwards them to hosts of their services.
//
// A request is admitted by its head (intake.go) and planned once its body was read (plan.go). The
// plan charges the request to its tenant's quota (quota.go), applies a version pin (pins.go) and
// determines the headers that are forwarded (forward.go). Each service has a balancer of package
// balance, which decides to which host and when a request is sent.
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

// MaxRetryAfter is the longest time after which a rejected client is told to retry.
const MaxRetryAfter = 2 * time.Second

const (
	maxAttempts  = 4 // per request, including attempts that a host rejected
	stepInterval = time.Millisecond
	probeTimeout = time.Second

	// The balancer assumes that a host has half of its capacity when it starts and all of it one
	// second later, and that a host fails if it receives four times its capacity for one second.
	slowStartMinCapacity = 0.5
	slowStartWindow      = time.Second
	overloadFactor       = 4
	overloadWindow       = time.Second
	// crossZonePenalty is the fraction of the value of all requests that the balancer counts as lost
	// if every request is sent to another zone.
	crossZonePenalty = 0.01

	// retrySlackFraction is the fraction of the retry budget's slack that all routers together may
	// save up. It is below 1 because a router learns late how many routers are alive.
	retrySlackFraction = 0.7
)

// Quotas accounts for the units that tenants use. The data plane calls it for each request of a
// tenant with a limit. Its methods must return within moments.
type Quotas interface {
	// Take takes units of a tenant's quota. If too few are left, ok is false, and wait is the time
	// after which to try again.
	Take(t *configuration.Tenant, units float64) (ok bool, wait time.Duration)
	// Put returns units of a request that did not execute. Taken is when they were taken.
	Put(t *configuration.Tenant, units float64, taken time.Time)
}

// Options are the settings and dependencies of a Plane.
type Options struct {
	Settings func() *settings.Settings // returns the settings in force, which must not be modified
	Servers  *transport.Servers
	Quotas   Quotas
	// Fresh reports whether the configuration was confirmed recently enough to honour API keys.
	Fresh func() bool
	// Newest reports whether the configuration was confirmed to be the newest recently enough to
	// deny requests by it.
	Newest func() bool
	// ReportPrompts sends other routers reports on the prompts that this router sent to hosts of a
	// service. It must not block. If it is nil, no reports are sent.
	ReportPrompts func(service string, reports []balance.PeerReport)
	Log           routing.Logger
	Seed          uint64
	StartedAt     time.Time // when the router started
}

// Plane is the data plane of one router. It implements transport.Intake.
type Plane struct {
	o      Options
	ctx    context.Context
	state  atomic.Pointer[configuration.State] // nil before the first configuration
	hash   maphash.Seed
	nextID atomic.Uint64 // the last request ID that was assigned for the balancers

	mu       sync.Mutex
	services map[string]*service
	routers  int // routers that are alive, including this one

	serviceMap    atomic.Pointer[map[string]*service] // replaced with a new map, never modified
	counts        Counts
	outcomeCounts outcomeCounts
	changes       changeNotifier
	pins          *pinTracker
}

// service is a service with the router that runs its balancer.
type service struct {
	name            string
	router          *routing.Router
	retries         *retrybudget.Budget
	stop            context.CancelFunc
	hostsRevision   uint64          // the revision of the last call of SetHosts
	classes         []balance.Class // classes of the configuration in force
	balancerClasses []balance.Class // classes that the balancer has, those of the previous configuration among them
	servingHosts    atomic.Int64
	models          models // models of the service's hosts
}

// Counts counts the requests whose heads were received, and the requests that were rejected before
// the balancer looked for a host.
type Counts struct {
	Accepted, Rejected atomic.Uint64
}

// Requests returns how many heads of requests were received since the process started, and how many
// requests were rejected before the balancer looked for a host.
func (p *Plane) Requests() (accepted, rejected uint64) {
	return p.counts.Accepted.Load(), p.counts.Rejected.Load()
}

// New returns a plane, which serves no requests before the first call of Configure. Its balancers
// run until ctx ends.
func New(ctx context.Context, o Options) *Plane {
	p := &Plane{o: o, ctx: ctx, hash: maphash.MakeSeed(), services: map[string]*service{}, routers: 1}
	p.serviceMap.Store(&map[string]*service{})
	p.pins = newPinTracker(p)
	return p
}

// State returns the configuration in force, nil for none.
func (p *Plane) State() *configuration.State { return p.state.Load() }

// Configure puts a configuration with its pins in force.
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

// configureService creates the balancer of a service, or reconfigures it if the service's classes
// have changed. The balancer keeps the classes of the previous configuration for requests whose
// head was admitted by it. The caller holds p.mu.
func (p *Plane) configureService(name string, classes []balance.Class) error {
	s := p.services[name]
	if s != nil {
		both := unionOfClasses(classes, s.classes)
		s.classes = classes
		if !slices.Equal(both, s.balancerClasses) {
			s.balancerClasses = both
			s.router.Reconfigure(p.config(s, both))
		}
		return nil
	}
	s = &service{name: name, classes: classes, balancerClasses: classes, retries: retrybudget.New(p.o.Settings().Bounds.RetryBudgetRatio, p.retrySlack())}
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

// ReloadBudgets applies the retry budget of the settings in force, after they were reloaded.
func (p *Plane) ReloadBudgets() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.services {
		s.retries.Set(p.o.Settings().Bounds.RetryBudgetRatio, p.retrySlack())
	}
}

// SetRouters sets how many routers are alive, including this one. The routers share the slack of
// the retry budget.
func (p *Plane) SetRouters(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.routers = max(n, 1)
	for _, s := range p.services {
		s.retries.Set(p.o.Settings().Bounds.RetryBudgetRatio, p.retrySlack())
	}
}

// Routers returns the number of routers of the last call of SetRouters, 1 before the first call.
func (p *Plane) Routers() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.routers
}

// config returns the configuration of a service's balancer.
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

// Serving reports whether a configuration is in force and at least one service has a serving host.
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
	Retries       float64 // retries that the budget allows now
	OutOfRotation int64   // hosts that are ejected because of their failures
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

// AnswerOpen sends a final answer to all requests that have none yet. It is called when the process
// is about to be killed.
func (p *Plane) AnswerOpen() {
	for _, s := range *p.serviceMap.Load() {
		s.router.AnswerOpen(MaxRetryAfter)
	}
}
