package node

import (
	"context"
	"sync"
	"time"

	"reachspread/internal/system/settings"
)

// pinTracker tells the control API when changes of the version pins are in force on all routers.
// It implements controlapi.Pins.
//
// A router honours API keys only if its configuration, which includes the pins, was confirmed
// within bounds.revocationMs by its own monotonic clock (Node.honoursKeys). Once that time has
// passed since a change was committed, no router serves requests by the older pins: each router
// has learned of the change, or rejects requests with keys until it has.
type pinTracker struct {
	node *Node

	mu        sync.Mutex
	revisions []pinRevision // oldest first
}

// pinRevision records when this process first knew that a revision of the pins was committed.
type pinRevision struct {
	revision int64
	knownAt  time.Time
}

// maxPinRevisions is the number of revisions that are retained. The time of the oldest retained
// one serves as an upper bound for the commit time of earlier revisions.
const maxPinRevisions = 64

// Fenced implements controlapi.Pins.
func (p *pinTracker) Fenced() bool {
	b := p.node.settings().Bounds
	return b.RevocationClosed && settings.Milliseconds(b.RevocationMs) > revocationMargin
}

// observe records that a revision is committed and in force on this router.
func (p *pinTracker) observe(revision int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.revisions); revision == 0 || n > 0 && p.revisions[n-1].revision >= revision {
		return
	}
	p.revisions = append(p.revisions, pinRevision{revision, now})
	if len(p.revisions) > maxPinRevisions {
		p.revisions = p.revisions[1:]
	}
	p.node.log.Info("pins in force", "revision", revision)
}

// committedBy returns a time by which a revision was committed: when this process first knew of it
// or of a later one, or now if the process knows neither.
func (p *pinTracker) committedBy(revision int64, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.revisions {
		if r.revision >= revision {
			return r.knownAt
		}
	}
	return now
}

// Ready implements controlapi.Pins.
func (p *pinTracker) Ready(model string, version int64) (with, without int) {
	return p.node.plane.Ready(model, version)
}

// InForce implements controlapi.Pins.
func (p *pinTracker) InForce(ctx context.Context, revision int64, committed time.Time) (ok bool) {
	p.observe(revision, committed)
	bound := settings.Milliseconds(p.node.settings().Bounds.RevocationMs)
	at := p.committedBy(revision, committed).Add(bound)
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
