package mirror

import (
	"time"

	"reachspread/internal/protocol"
	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
)

// applyList applies a host list of the discovery service to the pool's router.
func (p *pool) applyList(l *protocol.List) {
	p.router.ApplyUpdate(l.Members(), l.Addrs())
	p.post(message{event: shadow.HostsChanged{Serving: p.router.ServingCount()}})
}

// applyHosts applies the hosts of the settings to the pool's router. It reports false and does
// nothing if a discovery service lists the hosts. A new host, or one with a new address, counts as
// started now, because its start time is not known. If the host was warm already, its unnecessary
// slow start costs only copies.
func (p *pool) applyHosts(set settings.Pool) bool {
	if set.Discovery != "" {
		return false
	}
	p.version++
	l := protocol.List{Version: p.version, Full: true}
	hosts := map[string]protocol.ListedServer{}
	for _, h := range set.Hosts {
		e := protocol.ListedServer{ID: h.ID, Addr: h.Addr, Zone: h.Zone, Kind: h.Kind, State: "Ready",
			StartedMs: float64(time.Now().UnixMilli())}
		if old, ok := p.hosts[h.ID]; ok && old.Addr == h.Addr {
			e.StartedMs = old.StartedMs
		}
		hosts[h.ID] = e
		l.Servers = append(l.Servers, e)
	}
	p.hosts = hosts
	p.router.ApplyUpdate(l.Members(), l.Addrs())
	return true
}
