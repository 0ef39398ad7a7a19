// Package mirror carries out what package shadow decides: it takes copies of live requests from the
// front, sends them to candidate pools through a core and a decision module of their own, watches
// both answers, and hands the compared ones to the files of package records. It owns the goroutines
// and the clock; sockets are package transport's.
//
// It promises that nothing here ever waits on the live path's account: what the live path calls
// either finishes in a bounded number of steps under a lock that nobody holds for longer, or is
// passed over and counted.
package mirror

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/balance"
	"reachspread/internal/logging"
	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/routing"
	"reachspread/internal/transport"
)

// sampleInterval is how often the live path is looked at; copies get a step of their decider as often.
const sampleInterval = 25 * time.Millisecond

// Options is what a Mirror is made of.
type Options struct {
	Balance        balance.Config // the live one; each pool's module keeps its rules and classes
	Seed           uint64
	ConnectTimeout time.Duration // for a connection to come up
	KeepAlive      time.Duration // after which a host closes an idle one
	Log            routing.Logger
	Sample         func() shadow.Sample // of the live path; asked by one goroutine
	Leases         Leases               // nil where no pool has one copier
}

// Leases say who may copy where only one router does. Its methods wait for nothing.
type Leases interface {
	// Act is asked right before each copy is sent; it returns the token that the copy carries.
	Check(duty string) (token uint64, within time.Duration, ok bool)
	// Refused tells that a host has seen a higher token.
	TokenRejected(duty string, highest uint64)
}

// UseLeases names who says who may copy, before the first Apply.
func (m *Mirror) UseLeases(d Leases) { m.options.Leases = d }

// RunCopier has this router copy to a pool of one copier until ctx ends, settings come without the
// pool, or the mirror leaves. Whoever copied before may have used up the copies of the last second,
// so it begins after one, and anew where other settings have made another pool of the name; and it
// ends once its own have reached their host, or after lastCopies.
func (m *Mirror) RunCopier(ctx context.Context, name string) error {
	for last := (*pool)(nil); ; {
		m.mu.Lock()
		i := slices.IndexFunc(m.pools, func(p *pool) bool { return p.name == name })
		if last != nil && (i < 0 || m.pools[i] == last) {
			m.mu.Unlock()
			return nil
		}
		if i < 0 {
			m.mu.Unlock()
			return fmt.Errorf("there is no shadow pool %q", name)
		}
		p := m.pools[i]
		last = p
		interval := time.Second
		if rate := p.settings.Decider.Caps.PerSecond; rate < 1 {
			interval = time.Duration(float64(time.Second) / rate)
		}
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-p.done:
			continue
		case <-time.After(interval):
		}
		p.hasLease.Store(true)
		select {
		case <-ctx.Done():
			p.drainCopies()
			return nil
		case <-p.done: // it sends nothing more
		}
	}
}

// drainCopies ends copying.
func (p *pool) drainCopies() {
	p.hasLease.Store(false)
	for end := time.Now().Add(drainTimeout); p.unconfirmed.Load() > 0 && time.Now().Before(end); {
		time.Sleep(drainTimeout / 50)
	}
}

// drainTimeout is for how long a copier waits for copies that are on their way before it gives its
// duty back: the margin of a lease in which nothing new is begun.
const drainTimeout = 100 * time.Millisecond

// Mirror has the pools in force. It implements transport.Tap.
type Mirror struct {
	options   Options
	digestKey [32]byte // of the digests
	lastCopy  atomic.Uint64
	selection atomic.Pointer[selection]
	suspended atomic.Bool // nothing is copied by now

	mu          sync.Mutex // guards what follows, and is never taken on the live path
	pools       []*pool
	sink        *sink
	closing     bool
	stopSampler context.CancelFunc
	sampler     sync.WaitGroup // the sampler
	poolsAdded  chan bool      // told where there are pools: the sampler waits for that while there is none
	closedPools []*pool        // that were taken out and may still end
}

// selection is what the live path sees: who gets copies. It implements transport.Copier and never
// changes.
type selection struct {
	mirror       *Mirror
	selector     *shadow.Selector
	idle         bool
	tenantHeader string
	pools        []*pool // by their place in the selector
}

// New returns a Mirror without pools. Nothing is sampled before the first Apply.
func New(o Options) *Mirror {
	m := &Mirror{options: o, poolsAdded: make(chan bool, 1)}
	if _, err := rand.Read(m.digestKey[:]); err != nil {
		panic(err) // by its page, it never fails
	}
	m.selection.Store(&selection{idle: true})
	return m
}

// Apply puts settings in force. Pools that stay keep what they have out; those that are gone, or
// whose way of sending has changed, end theirs at once.
func (m *Mirror) Apply(s settings.Shadow) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return errors.New("the program is ending")
	}
	old := map[string]*pool{}
	for _, p := range m.pools {
		old[p.name] = p
	}
	var pools, fresh []*pool
	var choices []shadow.Choice
	for _, set := range s.Pools {
		p := old[set.Choice.Pool]
		if p == nil || !p.compatible(set) {
			var err error
			if p, err = newPool(m, set); err != nil {
				for _, p := range fresh {
					p.close()
				}
				return fmt.Errorf("shadow pool %q: %w", set.Choice.Pool, err)
			}
			fresh = append(fresh, p)
		}
		pools, choices = append(pools, p), append(choices, set.Choice)
	}
	// Nothing fails from here on.
	if m.stopSampler == nil {
		ctx, leave := context.WithCancel(context.Background())
		m.stopSampler = leave
		m.sampler.Add(1)
		go m.sample(ctx)
	}
	last := m.sink
	if last == nil || last.settings != s.Records {
		m.sink = newSink(s.Records, m.options.Log)
	}
	for i, p := range pools {
		if old[p.name] == p {
			delete(old, p.name)
		}
		p.apply(s.Pools[i], m.sink, s.Records.Texts)
	}
	if last != nil && last != m.sink {
		last.close()
	}
	if m.pools = pools; len(pools) > 0 {
		select {
		case m.poolsAdded <- true:
		default:
		}
	}
	selector := shadow.NewSelector(choices)
	m.selection.Store(&selection{mirror: m, selector: selector, idle: selector.Idle(), tenantHeader: s.TenantHeader, pools: pools})
	m.closedPools = slices.DeleteFunc(m.closedPools, (*pool).hasEnded)
	for _, p := range old {
		p.close()
		m.closedPools = append(m.closedPools, p)
	}
	return nil
}

// Reconfigure has the pools take up other settings of the live router. A pool that has what it was made
// of stays as it is.
func (m *Mirror) Reconfigure(c balance.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.Balance = c
	for _, p := range m.pools {
		p.router.Reconfigure(copyConfig(c, p.settings.FirstEventTimeout))
	}
}

// Suspend has nothing new be copied, or copies go on.
func (m *Mirror) Suspend(on bool) { m.suspended.Store(on) }

// TenantHeader implements transport.Tap.
func (m *Mirror) TenantHeader() string { return m.selection.Load().tenantHeader }

// Choose implements transport.Tap.
func (m *Mirror) Choose(class, session, id string, tenant []byte) (transport.Copier, uint64) {
	c := m.selection.Load()
	if c.idle || m.suspended.Load() {
		return nil, 0
	}
	pools := c.selector.Choose(class, tenant, shadow.Session(session, id))
	if pools == 0 {
		return nil, 0
	}
	return c, uint64(pools)
}

// Copy implements transport.Copier.
func (c *selection) Copy(pools uint64, r transport.AcceptedRequest) transport.AnswerObserver {
	most := 0
	for i, p := range c.pools {
		if shadow.Pools(pools).Has(i) {
			most = max(most, p.answerBytes())
		}
	}
	l := &liveAnswer{answer: capture{maxPrefix: most, since: r.ArrivedAt}}
	for i, p := range c.pools {
		if !shadow.Pools(pools).Has(i) || p.singleCopier.Load() && !p.hasLease.Load() {
			continue
		}
		cp := &shadowCopy{id: c.mirror.lastCopy.Add(1), live: l, request: r, session: shadow.Session(r.Arrival.Session, r.Arrival.ID)}
		if p.offer(cp) {
			l.copies = append(l.copies, liveCopy{p, cp.id})
			l.copiesWaiting.Add(1)
		}
	}
	if len(l.copies) == 0 {
		return nil
	}
	return l
}

// sample looks at the live path again and again until ctx ends, while there are pools. That it is
// late itself is a sign, too.
func (m *Mirror) sample(ctx context.Context) {
	defer m.sampler.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		m.mu.Lock()
		pools := m.pools
		m.mu.Unlock()
		if len(pools) == 0 {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return
			case <-m.poolsAdded:
			}
			m.options.Sample() // counts from here on
			ticker.Reset(sampleInterval)
			last = time.Now()
			continue
		}
		s := m.options.Sample()
		s.Delay = max(s.Delay, now.Sub(last)-sampleInterval)
		last = now
		for _, p := range pools {
			p.post(message{event: s})
		}
	}
}

// Shutdown ends all copies at once, without waiting.
func (m *Mirror) Shutdown() {
	m.selection.Store(&selection{idle: true})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	for _, p := range m.pools {
		p.close()
	}
}

// Close ends all copies and waits until their records are written, or until ctx ends.
func (m *Mirror) Close(ctx context.Context) {
	m.Shutdown()
	m.mu.Lock()
	leave := m.stopSampler
	m.mu.Unlock()
	if leave == nil {
		return // nothing was ever put in force
	}
	leave()
	m.sampler.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range append(m.closedPools, m.pools...) {
		select {
		case <-p.done:
		case <-ctx.Done():
		}
	}
	if m.sink != nil {
		m.sink.close()
		select {
		case <-m.sink.done:
		case <-ctx.Done():
		}
	}
}

// withPool names a pool in log lines.
func withPool(log routing.Logger, name string) routing.Logger { return logging.With(log, "pool", name) }

// Sockets returns how many descriptors copies have, of pools that end too.
func (m *Mirror) Sockets() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.pools {
		n += p.servers.Open()
	}
	for _, p := range m.closedPools {
		n += p.servers.Open()
	}
	return n
}
