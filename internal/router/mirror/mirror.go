// Package mirror sends copies of live requests to candidate pools, as package shadow decides. It
// receives requests from the front and sends copies through a router and a balancer that each pool
// has for itself. It captures both answers, compares them, and writes the results to the files of
// package records. It owns the goroutines, the clock and the pools' connections.
//
// The live path never blocks on this package. The functions that it calls hold locks only for a
// bounded number of steps. If a pool has too many pending offers, they skip the request and count
// it.
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
	Balance        balance.Config // of the live router; the pools' balancers use its rules and classes
	Seed           uint64         // seed of the pools' random decisions
	ConnectTimeout time.Duration  // for connections to candidate hosts
	KeepAlive      time.Duration  // time after which a host closes an idle connection
	Log            routing.Logger
	Sample         func() shadow.Sample // measures the load of the live path; called by one goroutine
	Leases         Leases               // nil if no pool has a single copier
}

// Mirror owns the candidate pools of the current settings. It implements transport.Tap. Its methods
// are safe for concurrent use.
type Mirror struct {
	options   Options
	digestKey [32]byte      // random for each process, so that the digests of short texts can't be precomputed
	lastCopy  atomic.Uint64 // ID of the last copy
	selection atomic.Pointer[selection]
	suspended atomic.Bool // new requests are not copied

	mu          sync.Mutex // guards the fields below; never locked on the live path
	pools       []*pool
	sink        *sink
	closing     bool
	stopSampler context.CancelFunc
	sampler     sync.WaitGroup // waits for the goroutine that runs sample
	poolsAdded  chan bool      // wakes the sampler, which sleeps while there is no pool
	closedPools []*pool        // removed pools, which may still have copies in flight
}

// New returns a Mirror without pools. It takes no samples before the first Apply.
func New(o Options) *Mirror {
	m := &Mirror{options: o, poolsAdded: make(chan bool, 1)}
	if _, err := rand.Read(m.digestKey[:]); err != nil {
		panic(err) // crypto/rand documents that Read never fails
	}
	m.selection.Store(&selection{idle: true})
	return m
}

// ErrClosing is returned by Apply after Shutdown or Close.
var ErrClosing = errors.New("shadow settings not applied: the program is shutting down")

// Apply replaces the settings. A pool that remains keeps its copies in flight. A pool that is
// removed, or whose connection settings change, cancels its copies at once. If Apply fails, the
// earlier settings stay in effect. The error is ErrClosing after Shutdown, or names the pool that
// could not be created.
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
	// Nothing below this line can fail.
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

// makePools returns one pool for each element of all: the current pool if it is compatible with the
// settings, or else a new pool. If it fails, it closes the pools that it created.
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

// find returns the current pool with that name, or nil.
func (m *Mirror) find(name string) *pool {
	i := slices.IndexFunc(m.pools, func(p *pool) bool { return p.name == name })
	if i < 0 {
		return nil
	}
	return m.pools[i]
}

// Reconfigure applies a new configuration of the live router to the pools' balancers.
func (m *Mirror) Reconfigure(c balance.Config) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.options.Balance = c
	for _, p := range m.pools {
		p.router.Reconfigure(copyConfig(c, p.settings.FirstEventTimeout))
	}
}

// Suspend stops the copying of new requests if on is true, and resumes it otherwise.
func (m *Mirror) Suspend(on bool) { m.suspended.Store(on) }

// Shutdown cancels all copies without waiting for their end. Later calls of Apply fail.
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

// poolLog returns a logger that adds the pool's name to each line.
func poolLog(log routing.Logger, name string) routing.Logger { return logging.With(log, "pool", name) }

// Sockets returns how many file descriptors copies use, including those of removed pools whose
// copies have not ended.
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
