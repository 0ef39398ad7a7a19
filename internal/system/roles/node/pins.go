package node

import (
	"context"
	"sync"
	"time"

	"reachspread/internal/system/settings"
)

// pinCalls tells the control API when changes of the pins are in force. A router honours keys only while its knowledge of the configuration,
// and so of the pins, is younger than bounds.revocationMs by its own steady clock (Node.fresh). So once that has passed since a change was
// committed, no router serves by the pins before it: each has learnt of the change, or refuses requests with keys until it has.
type pinCalls struct {
	node *Node

	mu    sync.Mutex
	known []pinRevision // the oldest first
}

// pinRevision is when this process first knew that a revision of the pins was committed.
type pinRevision struct {
	revision int64
	at       time.Time
}

// mostRevisions bounds the revisions of which it is remembered when they were first known.
const mostRevisions = 64

// Fenced implements controlapi.Pins.
func (p *pinCalls) Fenced() bool {
	b := p.node.settings().Bounds
	return b.RevocationClosed && settings.Milliseconds(b.RevocationMs) > freshMargin
}

// saw notes that a revision is committed.
func (p *pinCalls) saw(revision int64, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := len(p.known); revision == 0 || n > 0 && p.known[n-1].revision >= revision {
		return
	}
	if p.known = append(p.known, pinRevision{revision, now}); len(p.known) > mostRevisions {
		p.known = p.known[1:]
	}
	p.node.log.Info("pins in force", "revision", revision)
}

// committed is a time by which a revision was committed: the first at which this process knew of it, or of a later one.
func (p *pinCalls) committed(revision int64, now time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, k := range p.known {
		if k.revision >= revision {
			return k.at
		}
	}
	return now
}

// Ready implements controlapi.Pins.
func (p *pinCalls) Ready(model string, version int64) (with, without int) {
	return p.node.plane.Ready(model, version)
}

// InForce implements controlapi.Pins.
func (p *pinCalls) InForce(ctx context.Context, revision int64, committed time.Time) (ok bool) {
	p.saw(revision, committed)
	at := p.committed(revision, committed).Add(settings.Milliseconds(p.node.settings().Bounds.RevocationMs))
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
