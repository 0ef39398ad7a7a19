package dataplane

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
)

// SetHosts passes the hosts of a service to its balancer. It does nothing if the revision is the
// one of the previous call. Only one goroutine may call it.
func (p *Plane) SetHosts(name string, revision uint64, all []*instances.Record, now time.Duration) {
	p.mu.Lock()
	s := p.services[name]
	p.mu.Unlock()
	if s == nil || s.hostsRevision == revision {
		return
	}
	s.hostsRevision = revision
	update := balance.Members{Complete: true}
	counts := s.models.recount()
	addrs := map[string]string{}
	serving := 0
	clock := time.Duration(time.Now().UnixNano())
	for _, r := range all {
		m := balance.Member{Replica: r.Id, Zone: r.Zone, Kind: name, State: stateOf(r)}
		if m.State == balance.Serving {
			m.Features = counts.add(r.Models)
			serving++
		}
		if left := r.SlowStartUntil - now; left > 0 {
			m.StartedAt = clock + left - slowStartWindow
		}
		update.Members = append(update.Members, m)
		addrs[r.Id] = r.Address
	}
	s.router.ApplyUpdate(update, addrs)
	s.models.publish(counts)
	s.servingHosts.Store(int64(serving))
	p.changes.notify()
	p.pins.hostsChanged(s)
}

// stateOf returns the state of a host as the balancer names it.
func stateOf(r *instances.Record) balance.State {
	switch r.State {
	case message.Instance_READY:
		return balance.Serving
	case message.Instance_DRAINING:
		return balance.Draining
	}
	return balance.Removed
}

// ReceiveReports passes another router's reports on hosts of a service to its balancer. It ignores
// reports on an unknown service.
func (p *Plane) ReceiveReports(name string, reports balance.ReportsReceived) {
	if s := (*p.serviceMap.Load())[name]; s != nil {
		s.router.ReceiveReports(reports)
	}
}
