package faults

import (
	"math/rand/v2"
	"slices"
)

// Injection is a fault with the routers and hosts that it affects.
type Injection struct {
	*Fault
	Routers, Hosts []int // by number, ascending
	peers          []int
	listToo        bool // Power of everything: the discovery is down too
	topology       *Topology
}

// Resolve draws whom each fault of a schedule affects. The same seed and topology give the same.
func Resolve(all []Fault, topology *Topology, seed uint64) []*Injection {
	var out []*Injection
	for i := range all {
		f := &all[i]
		rng := rand.New(rand.NewPCG(seed, 0xfa017<<16|uint64(i)))
		s := &Injection{Fault: f, topology: topology}
		if f.Kind == Power {
			zone := Selection{Zone: f.Zone, All: f.Zone == ""}
			s.listToo = f.Zone == ""
			s.Routers, s.Hosts = zone.draw(topology.Routers, rng), zone.draw(topology.Hosts, rng)
		} else {
			s.Routers, s.Hosts = f.Routers.draw(topology.Routers, rng), f.Hosts.draw(topology.Hosts, rng)
			s.peers = f.Peers.draw(topology.Routers, rng)
		}
		out = append(out, s)
	}
	return out
}

// draw returns the selected ones, ascending. A fraction is one at least.
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

// Affects reports whether the fault affects messages from one end to another.
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

// affectsOutgoing reports whether one end is among the routers of the fault, and the other at the
// end of one of their affected links.
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

// group names the side that an end is on. Routers that no group has are together.
func (s *Injection) group(e End) string {
	if s.Zones {
		if e.Kind == AtHost {
			return s.topology.Hosts[e.N]
		}
		return s.topology.Routers[e.N]
	}
	return string(rune('0' + slices.IndexFunc(s.Groups, func(g []int) bool { return slices.Contains(g, e.N) })))
}

// StopsList reports whether the discovery is down meanwhile.
func (s *Injection) StopsList() bool { return s.listToo }

// Concerns reports whether the fault affects a router itself or one of its links: what a checker
// finds at the router may be the effect of the fault.
func (s *Injection) Concerns(router int) bool {
	if slices.Contains(s.Routers, router) {
		return true
	}
	if s.Kind == Partition {
		return true
	}
	return Of(s.Kind).OfLinks() && s.hasLinks(LinkPeers) && (len(s.peers) == 0 || slices.Contains(s.peers, router))
}
