package mirror

import (
	"context"
	"fmt"
	"time"
)

// drainTimeout is how long a copier waits for attempts in flight before it releases its lease. It
// equals the margin at the end of a lease in which the holder begins nothing new.
const drainTimeout = 100 * time.Millisecond

// Leases knows which router holds the lease for copying to a pool with a single copier. Its methods
// do not block.
type Leases interface {
	// Check is called right before each attempt of a copy is sent. It reports whether this router
	// holds the lease of the role, and returns the fencing token that the attempt must carry.
	Check(role string) (token uint64, within time.Duration, ok bool)
	// TokenRejected reports that a host has seen a higher token.
	TokenRejected(role string, highest uint64)
}

// UseLeases sets the leases. It must be called before the first Apply.
func (m *Mirror) UseLeases(l Leases) { m.options.Leases = l }

// RunCopier lets this router copy to a pool with a single copier until ctx ends, the pool is
// removed or the mirror shuts down. The caller must hold the lease of the pool's role, and must
// release it after RunCopier returns. RunCopier fails if there is no such pool.
//
// An earlier copier may have used up the pool's rate cap, so RunCopier waits for one window of the
// cap before copying begins. It waits again when other settings replace the pool. When ctx ends,
// it waits for at most drainTimeout until the attempts in flight have reached their hosts.
func (m *Mirror) RunCopier(ctx context.Context, name string) error {
	for previous := (*pool)(nil); ; {
		p, window := m.poolAndWindow(name)
		if p == nil && previous == nil {
			return fmt.Errorf("there is no shadow pool %q", name)
		}
		if p == nil || p == previous {
			return nil
		}
		previous = p
		select {
		case <-ctx.Done():
			return nil
		case <-p.done:
			continue
		case <-time.After(window):
		}
		p.hasLease.Store(true)
		select {
		case <-ctx.Done():
			p.drainCopies()
			return nil
		case <-p.done: // the pool sends no more copies
		}
	}
}

// poolAndWindow returns the pool with that name and the window of its rate cap, or nil if there is
// no such pool.
func (m *Mirror) poolAndWindow(name string) (*pool, time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.find(name)
	if p == nil {
		return nil, 0
	}
	if rate := p.settings.Decider.Caps.PerSecond; rate < 1 {
		return p, time.Duration(float64(time.Second) / rate)
	}
	return p, time.Second
}

// drainCopies stops copying under the lease and waits for at most drainTimeout until the attempts in
// flight have reached their hosts.
func (p *pool) drainCopies() {
	p.hasLease.Store(false)
	deadline := time.Now().Add(drainTimeout)
	for p.unconfirmed.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainTimeout / 50)
	}
}
