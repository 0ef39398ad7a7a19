package faults

import (
	"math/rand/v2"
	"slices"
)

// Injection is a fault together with the routers and hosts that it affects.
type Injection struct {
	*Fault
	Routers, Hosts []int // numbers of the affected routers and hosts, ascending
	peers          []int
	includesList   bool // the discovery list is down, too, because the fault is Power of all zones
	topology       *Topology
}

// Resolve draws the routers and hosts that each fault of a schedule affects. The same schedule, seed
// and topology give the same result.
func Resolve(all []Fault, topology *Topology, seed uint64) []*Injection {
	var out []*Injection
	for i := range all {
		f := &all[i]
		rng := rand.New(rand.NewPCG(seed, 0xfa017<<16|uint64(i)))
		s := &Injection{Fault: f, topology: topology}
		if f.Kind == Power {
			zone := Selection{Zone: f.Zone, All: f.Zone == ""}
			s.includesList = f.Zone == ""
			s.Routers, s.Hosts = zone.draw(topology.Routers, rng), zone.draw(topology.Hosts, rng)
		} else {
			s.Routers, s.Hosts = f.Routers.draw(topology.Routers, rng), f.Hosts.draw(topology.Hosts, rng)
			s.peers = f.Peers.draw(topology.Routers, rng)
		}
		out = append(out, s)
	}
	return out
}

// draw returns the numbers of the selected routers or hosts, ascending. zones has the zone of each
// router or host. A fraction selects at least one.
func (s *Selection) draw(zones []string, rng *rand.Rand) (drawn []int) {
	switch {
	case s.IsEmpty():
		return nil
	case len(s.Numbers) > 0:
		drawn = slices.Clone(s.Numbers)
		slices.Sort(drawn)
		return slices.Compact(drawn)
	case s.Fraction > 0 && !s.All:
		n := min(max(int(s.Fraction*float64(len(zones))+0.5), 1), len(zones))
		drawn = rng.Perm(len(zones))[:n]
		slices.Sort(drawn)
		return drawn
	}
	for i, z := range zones {
		if s.All || z == s.Zone {
			drawn = append(drawn, i)
		}
	}
	return drawn
}

// Affects reports whether the fault affects messages from one end of a link to the other.
func (s *Injection) Affects(from, to End) bool {
	m := Of(s.Kind)
	switch {
	case !m.OfLinks():
		return false
	case s.Kind == Partition:
		return s.separates(from, to)
	}
	return s.Direction != In && s.affectsOutgoing(from, to) || s.Direction != Out && s.affectsOutgoing(to, from)
}

// affectsOutgoing reports whether from is one of the fault's routers and the link from it to the end
// to is affected.
func (s *Injection) affectsOutgoing(from, to End) bool {
	if from.Kind != AtRouter || !slices.Contains(s.Routers, from.N) {
		return false
	}
	switch to.Kind {
	case AtRouter:
		return s.hasLinks(LinkPeers) && (len(s.peers) == 0 || slices.Contains(s.peers, to.N))
	case AtHost:
		return s.hasLinks(LinkHosts) && (len(s.Hosts) == 0 || slices.Contains(s.Hosts, to.N))
	}
	return s.hasLinks(LinkList)
}

func (s *Injection) hasLinks(what string) bool {
	if len(s.Links) == 0 {
		return what == LinkPeers
	}
	return slices.Contains(s.Links, what)
}

func (s *Injection) separates(a, b End) bool {
	if a.Kind == AtList || b.Kind == AtList || (a.Kind == AtHost || b.Kind == AtHost) && !(s.Zones && s.hasLinks(LinkHosts)) {
		return false
	}
	return !s.bridges(a) && !s.bridges(b) && s.group(a) != s.group(b)
}

func (s *Injection) bridges(e End) bool { return e.Kind == AtRouter && slices.Contains(s.Bridge, e.N) }

// group returns the name of the group that an end belongs to. Routers that are in no group form a
// group of their own.
func (s *Injection) group(e End) string {
	if s.Zones {
		if e.Kind == AtHost {
			return s.topology.Hosts[e.N]
		}
		return s.topology.Routers[e.N]
	}
	return string(rune('0' + slices.IndexFunc(s.Groups, func(g []int) bool { return slices.Contains(g, e.N) })))
}

// StopsList reports whether the discovery list is down during the fault.
func (s *Injection) StopsList() bool { return s.includesList }

// Concerns reports whether the fault affects a router itself or one of its links. If so, a violation
// that a checker finds at the router may be an effect of the fault.
func (s *Injection) Concerns(router int) bool {
	if slices.Contains(s.Routers, router) {
		return true
	}
	if s.Kind == Partition {
		return true
	}
	return Of(s.Kind).OfLinks() && s.hasLinks(LinkPeers) && (len(s.peers) == 0 || slices.Contains(s.peers, router))
}
