// Package mirror sends copies of live requests to candidate pools, as package shadow decides. It
// takes requests from the front, sends copies through a router and a decision module of each pool's
// own, observes both answers, and writes the compared ones to the files of package records. It owns
// the goroutines, the clock and the pools' connections.
//
// The live path never waits for anything here: what it calls takes a bounded number of steps under
// a lock that is never held for longer, or passes the request over and counts it.
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
)

// Options configures a Mirror.
type Options struct {
	Balance        balance.Config // of the live router; the pools' modules take its rules and classes
	Seed           uint64         // of the pools' random decisions
	ConnectTimeout time.Duration  // of connections to candidate hosts
	KeepAlive      time.Duration  // after which a host closes an idle connection
	Log            routing.Logger
	Sample         func() shadow.Sample // measures the live path; called by one goroutine
	Leases         Leases               // nil where no pool has a single copier
}

// Mirror owns the pools of the settings in force. It implements transport.Tap. Its methods may be
// called from any goroutine.
type Mirror struct {
	options   Options
	digestKey [32]byte      // drawn at the start, so that digests of short texts can't be looked up
	lastCopy  atomic.Uint64 // the id of the last copy
	selection atomic.Pointer[selection]
	suspended atomic.Bool // nothing new is copied

	mu          sync.Mutex // guards the fields below; never taken on the live path
	pools       []*pool
	sink        *sink
	closing     bool
	stopSampler context.CancelFunc
	sampler     sync.WaitGroup // the goroutine that runs sample
	poolsAdded  chan bool      // wakes the sampler, which sleeps while there is no pool
	closedPools []*pool        // removed, and possibly still ending
}

// New returns a Mirror without pools. Nothing is sampled before the first Apply.
func New(o Options) *Mirror {
	m := &Mirror{options: o, poolsAdded: make(chan bool, 1)}
	if _, err := rand.Read(m.digestKey[:]); err != nil {
		panic(err) // documented never to fail
	}
	m.selection.Store(&selection{idle: true})
	return m
}

// ErrClosing is the error of Apply after Shutdown or Close.
var ErrClosing = errors.New("the program is ending")

// Apply puts settings in force. A pool that stays keeps its copies in flight; one that was removed,
// or whose connections change, cancels them at once. After an error the earlier settings stay in
// force; it is ErrClosing after Shutdown, or names the pool that could not be made.
func (m *Mirror) Apply(s settings.Shadow) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closing {
		return ErrClosing
	}
	pools, err := m.makePools(s.Pools)
	if err != nil {
		return err
	}
	// Nothing fails from here on.
	m.startSampler()
	previous := m.sink
	if previous == nil || previous.settings != s.Records {
		m.sink = newSink(s.Records, m.options.Log)
	}
	for i, p := range pools {
		p.apply(s.Pools[i], m.sink, s.Records.Texts)
	}
	if previous != nil && previous != m.sink {
		previous.close()
	}
	removed := m.pools
	m.pools = pools
	m.wakeSampler()
	m.selection.Store(newSelection(m, s, pools))
	m.closedPools = slices.DeleteFunc(m.closedPools, (*pool).hasEnded)
	for _, p := range removed {
		if !slices.Contains(pools, p) {
			p.close()
			m.closedPools = append(m.closedPools, p)
		}
	}
	return nil
}

// makePools returns a pool for each of the settings: the present one where it is compatible, and
// otherwise a new one. After an error none of the new ones is left.
func (m *Mirror) makePools(all []settings.Pool) ([]*pool, error) {
	var pools, created []*pool
	for _, set := range all {
		p := m.find(set.Choice.Pool)
		if p == nil || !p.compatible(set) {
			var err error
			if p, err = newPool(m, set); err != nil {
				for _, p := range created {
					p.close()
				}
				return nil, fmt.Errorf("shadow pool %q: %w", set.Choice.Pool, err)
			}
			created = append(created, p)
		}
		pools = append(pools, p)
	}
	return pools, nil
}

// find returns the present pool of that name, or nil.
func (m *Mirror) find(name string) *pool {
	i := slices.IndexFunc(m.pools, func(p *pool) bool { return p.name == name })
	if i < 0 {
		return nil
	}
	return m.pools[i]
}

// Reconfigure applies another configuration of the live router to the pools' modules.
func (m *Mirror) Reconfigure(c balance.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.Balance = c
	for _, p := range m.pools {
		p.router.Reconfigure(copyConfig(c, p.settings.FirstEventTimeout))
	}
}

// Suspend stops copying new requests, or lets it go on.
func (m *Mirror) Suspend(on bool) { m.suspended.Store(on) }

// Shutdown cancels all copies without waiting for their end. Apply fails from then on.
func (m *Mirror) Shutdown() {
	m.selection.Store(&selection{idle: true})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	for _, p := range m.pools {
		p.close()
	}
}

// Close cancels all copies and waits until their records are written, or until ctx ends.
func (m *Mirror) Close(ctx context.Context) {
	m.Shutdown()
	m.mu.Lock()
	stopSampler := m.stopSampler
	m.mu.Unlock()
	if stopSampler == nil {
		return // Apply was never called
	}
	stopSampler()
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

// withPool returns a logger whose lines name a pool.
func withPool(log routing.Logger, name string) routing.Logger { return logging.With(log, "pool", name) }

// Sockets returns how many descriptors copies use, those of removed pools that still end included.
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
