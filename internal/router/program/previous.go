package program

import (
	"slices"
	"strings"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/router/recovery"
)

// usePreviousList puts the server list that the previous incarnation saved in use, without the hosts
// that other routers have excluded. This router does not know whether the hosts have restarted since
// the list was saved, so it treats them as if they had started now and were warming up. The first
// list from discovery replaces the saved list, whatever its version.
func (p *Program) usePreviousList(excluded []string) {
	p.snapshots.applying.Lock()
	defer p.snapshots.applying.Unlock()
	if _, listed := p.snapshots.hasList(); listed {
		return
	}
	old := p.snapshots.previous.List
	l := &protocol.List{Full: true}
	now := float64(time.Now().UnixMilli())
	for _, e := range old.Servers {
		if e.StartedMs = now; !slices.Contains(excluded, e.ID) {
			l.Servers = append(l.Servers, e)
		}
	}
	p.snapshots.mu.Lock()
	p.snapshots.previousList = l
	p.snapshots.mu.Unlock()
	p.recovery.excludedHosts.Add(uint64(len(excluded)))
	p.log.Warn("saved server list used", "hosts", len(l.Servers), "version", old.Version, "shunned", len(excluded))
	p.router.ApplyUpdate(l.Members(), l.Addrs())
	if len(l.Servers) > 0 {
		p.firstList.Do(func() { p.advance(serversListed) })
	}
}

// excludeHosts removes hosts from the saved list of the previous incarnation, if that list is in use.
func (p *Program) excludeHosts(excluded []string) {
	p.snapshots.applying.Lock()
	defer p.snapshots.applying.Unlock()
	old := p.snapshots.previousList
	if _, listed := p.snapshots.hasList(); old == nil || listed {
		return
	}
	l := &protocol.List{}
	for _, e := range old.Servers {
		if slices.Contains(excluded, e.ID) {
			e.State = "Terminating"
			l.Servers = append(l.Servers, e)
		}
	}
	p.recovery.excludedHosts.Add(uint64(len(l.Servers)))
	p.log.Warn("hosts of saved server list excluded", "hosts", strings.Join(excluded[:min(len(excluded), maxNamedHosts)], ","), "count", len(excluded))
	p.router.ApplyUpdate(l.Members(), l.Addrs())
}

// maxNamedHosts is the maximum number of hosts that a log line names.
const maxNamedHosts = 8

// warmFraction returns the mean warmth of the listed hosts that are ready: the fraction of its
// capacity when warm that a host has now. It returns 1 if no host is ready.
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

// restoreDrain requests the drain again if the previous incarnation of this router was draining.
func (p *Program) restoreDrain() {
	if b := p.snapshots.previous; b != nil && b.Drained {
		if _, err := p.advance(drainRequested); err == nil {
			p.snapshots.drained.Store(true)
		}
	}
}
