package program

import (
	"slices"
	"strings"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/router/recovery"
)

// usePreviousList uses the hosts of the previous incarnation's list, but for those that other
// routers excluded. Whether they have restarted since is not known, so they count as warming up.
// Any list of discovery, whatever its version, replaces it.
func (p *Program) usePreviousList(not []string) {
	p.snapshots.applying.Lock()
	defer p.snapshots.applying.Unlock()
	if _, spoke := p.snapshots.hasList(); spoke {
		return
	}
	old := p.snapshots.previous.List
	l := &protocol.List{Full: true}
	now := float64(time.Now().UnixMilli())
	for _, e := range old.Servers {
		if e.StartedMs = now; !slices.Contains(not, e.ID) {
			l.Servers = append(l.Servers, e)
		}
	}
	p.snapshots.mu.Lock()
	p.snapshots.previousList = l
	p.snapshots.mu.Unlock()
	p.recovery.excludedHosts.Add(uint64(len(not)))
	p.log.Warn("list of the last life used", "hosts", len(l.Servers), "version", old.Version, "shunned", len(not))
	p.router.ApplyUpdate(l.Members(), l.Addrs())
	if len(l.Servers) > 0 {
		p.firstList.Do(func() { p.advance(serversListed) })
	}
}

// excludeHosts ends the use of hosts of the previous incarnation's list, while that is in use.
func (p *Program) excludeHosts(not []string) {
	p.snapshots.applying.Lock()
	defer p.snapshots.applying.Unlock()
	old := p.snapshots.previousList
	if _, spoke := p.snapshots.hasList(); old == nil || spoke {
		return
	}
	l := &protocol.List{}
	for _, e := range old.Servers {
		if slices.Contains(not, e.ID) {
			e.State = "Terminating"
			l.Servers = append(l.Servers, e)
		}
	}
	p.recovery.excludedHosts.Add(uint64(len(l.Servers)))
	p.log.Warn("hosts of the last life's list shunned", "hosts", strings.Join(not[:min(len(not), maxNamedHosts)], ","), "count", len(not))
	p.router.ApplyUpdate(l.Members(), l.Addrs())
}

// maxNamedHosts bounds the hosts that a line names.
const maxNamedHosts = 8

// warmFraction is what the listed hosts can do by now, of what they do when warm.
func (k *snapshotWriter) warmFraction(c *balance.Config) float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, sum, n := time.Duration(time.Now().UnixNano()), 0.0, 0
	add := func(e *protocol.ListedServer) {
		if e.State == "Ready" {
			sum += recovery.Warmth(c, time.Duration(e.StartedMs*float64(time.Millisecond)), now)
			n++
		}
	}
	for _, e := range k.list {
		add(&e)
	}
	if k.list == nil && k.previousList != nil {
		for i := range k.previousList.Servers {
			add(&k.previousList.Servers[i])
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// restoreDrain starts a router as draining that was draining in its previous incarnation.
func (p *Program) restoreDrain() {
	if b := p.snapshots.previous; b != nil && b.Drained {
		if _, err := p.advance(drainRequested); err == nil {
			p.snapshots.drained.Store(true)
		}
	}
}
