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

// sampleEvery is how often the live path is looked at; copies get a step of their decider as often.
const sampleEvery = 25 * time.Millisecond

// Options is what a Mirror is made of.
type Options struct {
	Balance balance.Config // the live one; each pool's module keeps its rules and classes
	Seed    uint64
	Connect time.Duration // for a connection to come up
	Idle    time.Duration // after which a host closes an idle one
	Log     routing.Logger
	Sample  func() shadow.Sample // of the live path; asked by one goroutine
	Duties  Duties               // nil where no pool has one copier
}

// Duties say who may copy where only one router does. Its methods wait for nothing.
type Duties interface {
	// Act is asked right before each copy is sent; it returns the token that the copy carries.
	Check(duty string) (token uint64, within time.Duration, ok bool)
	// Refused tells that a host has seen a higher token.
	TokenRejected(duty string, highest uint64)
}

// Use names who says who may copy, before the first Apply.
func (m *Mirror) Use(d Duties) { m.o.Duties = d }

// Copies has this router copy to a pool of one copier until ctx ends, settings come without the
// pool, or the mirror leaves. Whoever copied before may have used up the copies of the last second,
// so it begins after one, and anew where other settings have made another pool of the name; and it
// ends once its own have reached their host, or after lastCopies.
func (m *Mirror) Copies(ctx context.Context, name string) error {
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
		if rate := p.set.Decider.Caps.PerSecond; rate < 1 {
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
			p.lastCopies()
			return nil
		case <-p.done: // it sends nothing more
		}
	}
}

// lastCopies ends copying.
func (p *pool) lastCopies() {
	p.hasLease.Store(false)
	for end := time.Now().Add(lastCopies); p.unheard.Load() > 0 && time.Now().Before(end); {
		time.Sleep(lastCopies / 50)
	}
}

// lastCopies is for how long a copier waits for copies that are on their way before it gives its
// duty back: the margin of a lease in which nothing new is begun.
const lastCopies = 100 * time.Millisecond

// Mirror has the pools in force. It implements transport.Tap.
type Mirror struct {
	o         Options
	key       [32]byte // of the digests
	copy      atomic.Uint64
	force     atomic.Pointer[choosing]
	suspended atomic.Bool // nothing is copied by now

	mu     sync.Mutex // guards what follows, and is never taken on the live path
	pools  []*pool
	sink   *sink
	ended  bool
	leave  context.CancelFunc
	idle   sync.WaitGroup // the sampler
	some   chan bool      // told where there are pools: the sampler waits for that while there is none
	closed []*pool        // that were taken out and may still end
}

// choosing is what the live path sees: who gets copies. It implements transport.Copier and never
// changes.
type choosing struct {
	m        *Mirror
	selector *shadow.Selector
	idle     bool
	tenant   string
	pools    []*pool // by their place in the selector
}

// New returns a Mirror without pools. Nothing is sampled before the first Apply.
func New(o Options) *Mirror {
	m := &Mirror{o: o, some: make(chan bool, 1)}
	if _, err := rand.Read(m.key[:]); err != nil {
		panic(err) // by its page, it never fails
	}
	m.force.Store(&choosing{idle: true})
	return m
}

// Apply puts settings in force. Pools that stay keep what they have out; those that are gone, or
// whose way of sending has changed, end theirs at once.
func (m *Mirror) Apply(s settings.Shadow) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
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
		if p == nil || !p.keeps(set) {
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
	if m.leave == nil {
		ctx, leave := context.WithCancel(context.Background())
		m.leave = leave
		m.idle.Add(1)
		go m.sample(ctx)
	}
	last := m.sink
	if last == nil || last.set != s.Records {
		m.sink = newSink(s.Records, m.o.Log)
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
		case m.some <- true:
		default:
		}
	}
	selector := shadow.NewSelector(choices)
	m.force.Store(&choosing{m: m, selector: selector, idle: selector.Idle(), tenant: s.TenantHeader, pools: pools})
	m.closed = slices.DeleteFunc(m.closed, (*pool).isOver)
	for _, p := range old {
		p.close()
		m.closed = append(m.closed, p)
	}
	return nil
}

// Retune has the pools take up other settings of the live router. A pool that has what it was made
// of stays as it is.
func (m *Mirror) Retune(c balance.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.o.Balance = c
	for _, p := range m.pools {
		p.router.Reconfigure(copyConfig(c, p.set.Patience))
	}
}

// Suspend has nothing new be copied, or copies go on.
func (m *Mirror) Suspend(on bool) { m.suspended.Store(on) }

// TenantHeader implements transport.Tap.
func (m *Mirror) TenantHeader() string { return m.force.Load().tenant }

// Choose implements transport.Tap.
func (m *Mirror) Choose(class, session, id string, tenant []byte) (transport.Copier, uint64) {
	c := m.force.Load()
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
func (c *choosing) Copy(pools uint64, r transport.AcceptedRequest) transport.AnswerObserver {
	most := 0
	for i, p := range c.pools {
		if shadow.Pools(pools).Has(i) {
			most = max(most, p.answerBytes())
		}
	}
	l := &live{answer: capture{most: most, since: r.ArrivedAt}}
	for i, p := range c.pools {
		if !shadow.Pools(pools).Has(i) || p.one.Load() && !p.hasLease.Load() {
			continue
		}
		cp := &copied{id: c.m.copy.Add(1), live: l, taken: r, session: shadow.Session(r.Arrival.Session, r.Arrival.ID)}
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
	defer m.idle.Done()
	ticker := time.NewTicker(sampleEvery)
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
			case <-m.some:
			}
			m.o.Sample() // counts from here on
			ticker.Reset(sampleEvery)
			last = time.Now()
			continue
		}
		s := m.o.Sample()
		s.Late = max(s.Late, now.Sub(last)-sampleEvery)
		last = now
		for _, p := range pools {
			p.post(posted{event: s})
		}
	}
}

// Leave ends all copies at once, without waiting.
func (m *Mirror) Leave() {
	m.force.Store(&choosing{idle: true})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	for _, p := range m.pools {
		p.close()
	}
}

// Close ends all copies and waits until their records are written, or until ctx ends.
func (m *Mirror) Close(ctx context.Context) {
	m.Leave()
	m.mu.Lock()
	leave := m.leave
	m.mu.Unlock()
	if leave == nil {
		return // nothing was ever put in force
	}
	leave()
	m.idle.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range append(m.closed, m.pools...) {
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

// pooled names a pool in log lines.
func pooled(log routing.Logger, name string) routing.Logger { return logging.With(log, "pool", name) }

// Sockets returns how many descriptors copies have, of pools that end too.
func (m *Mirror) Sockets() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.pools {
		n += p.servers.Open()
	}
	for _, p := range m.closed {
		n += p.servers.Open()
	}
	return n
}
