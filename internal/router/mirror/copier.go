package mirror

import (
	"context"
	"fmt"
	"time"
)

// drainTimeout is how long a copier waits for attempts in flight before it gives its lease back: it
// is the margin of a lease in which nothing new is begun.
const drainTimeout = 100 * time.Millisecond

// Leases says which router copies to a pool with a single copier. Its methods do not block.
type Leases interface {
	// Check is called right before each copy is sent. Where this router holds the lease of the
	// role, it returns the fencing token that the copy carries.
	Check(role string) (token uint64, within time.Duration, ok bool)
	// TokenRejected reports that a host has seen a higher token.
	TokenRejected(role string, highest uint64)
}

// UseLeases sets the leases. It must be called before the first Apply.
func (m *Mirror) UseLeases(l Leases) { m.options.Leases = l }

// RunCopier lets this router copy to a pool with a single copier until ctx ends, the pool is
// removed or the mirror shuts down. The caller holds the lease of the pool's role and gives it back
// after RunCopier returns. It fails where there is no such pool.
//
// An earlier copier may have used up the pool's rate cap, so copying begins one window of the cap
// later, and again so where other settings replace the pool. In the end it waits until the attempts
// in flight have reached their host, for at most drainTimeout.
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
		case <-p.done: // it sends nothing more
		}
	}
}

// poolAndWindow returns the pool of that name, or nil, and the window of its rate cap.
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

// drainCopies stops copying and waits for the attempts in flight.
func (p *pool) drainCopies() {
	p.hasLease.Store(false)
	deadline := time.Now().Add(drainTimeout)
	for p.unconfirmed.Load() > 0 && time.Now().Before(deadline) {
		time.Sleep(drainTimeout / 50)
	}
}
