package node

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"

	"reachspread/coord/coordpb"
	"reachspread/coord/feed"
	"reachspread/coord/members"
	"reachspread/internal/rendezvous"
)

// Flags of a router, in the version field of its membership card.
const (
	cardVersion = "1"
	coreFlag    = "c" // it may be a member of the register
)

// router is one that lives, as this one sees it.
type router struct {
	address netip.AddrPort // internal
	zone    string
	core    bool
}

func (r *router) internal() string { return r.address.String() }

// fleet is the routers that live, by their addresses; this one is among them.
type fleet struct {
	self    router
	routers []router
}

// fleetOf reads the routers from a view of the membership.
func fleetOf(self router, v *members.View) *fleet {
	f := &fleet{self: self, routers: []router{self}}
	for _, m := range v.Members {
		if m.Addr != self.address {
			f.routers = append(f.routers, router{m.Addr, m.Zone, strings.Contains(m.Version, coreFlag)})
		}
	}
	slices.SortFunc(f.routers, func(a, b router) int { return a.address.Compare(b.address) })
	return f
}

// with are the routers and the members of the register, which are taken to live while little is known of the fleet.
func (f *fleet) with(v *coordpb.View) *fleet {
	all := &fleet{self: f.self, routers: slices.Clone(f.routers)}
	for _, m := range v.GetMembers() {
		address, err := netip.ParseAddrPort(m.Address)
		known := slices.ContainsFunc(all.routers, func(r router) bool { return r.address == address })
		if err == nil && !known {
			all.routers = append(all.routers, router{address, m.Label, true})
		}
	}
	slices.SortFunc(all.routers, func(a, b router) int { return a.address.Compare(b.address) })
	return all
}

// homes are the routers of a zone in the order in which they are responsible for a key: the first one is its home, the others step in.
// Members of the register go before others, as they keep what they know over a restart. For a zone without routers all of the fleet are.
func (f *fleet) homes(key, zone string) []router {
	pool := f.inZone(zone)
	if len(pool) == 0 {
		pool = slices.Clone(f.routers)
	}
	hash := rendezvous.Hash(key)
	all := rendezvous.First(hash, pool, len(pool), func(r router) uint64 { return rendezvous.Hash(r.internal()) })
	slices.SortStableFunc(all, func(a, b router) int { return cmp.Compare(rank(a), rank(b)) })
	return all
}

func (f *fleet) inZone(zone string) (all []router) {
	for _, r := range f.routers {
		if r.zone == zone {
			all = append(all, r)
		}
	}
	return all
}

// zones are those that have routers, in order.
func (f *fleet) zones() (all []string) {
	for _, r := range f.routers {
		if !slices.Contains(all, r.zone) {
			all = append(all, r.zone)
		}
	}
	slices.Sort(all)
	return all
}

// core are the internal addresses of routers that may be members of the register.
func (f *fleet) core() (all []string) {
	for _, r := range f.routers {
		if r.core && r.address != f.self.address {
			all = append(all, r.internal())
		}
	}
	return all
}

// neighbours are the other routers that are not of the register: those of the own zone, or all where that has none.
func (f *fleet) neighbours() []string {
	var near, all []string
	for _, r := range f.routers {
		if r.core || r.address == f.self.address {
			continue
		}
		all = append(all, r.internal())
		if r.zone == f.self.zone {
			near = append(near, r.internal())
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}

// stepIn is how many further candidates there are behind a home.
const stepIn = 2

func addresses(all []router, most int) (out []string) {
	for _, r := range all[:min(len(all), most)] {
		out = append(out, r.internal())
	}
	return out
}

// subscriptions are where this router gets the topics from. Register has the addresses that know of the register, the tail first.
func (f *fleet) subscriptions(services, register []string) []feed.Subscription {
	all := f.registerSubscriptions(register)
	for _, service := range services {
		topic := hostsTopic + service
		local := f.homes(topic, f.self.zone)
		if local[0].address != f.self.address {
			all = append(all, feed.Subscription{Topic: topic, Candidates: addresses(local, 1+stepIn)})
			continue
		}
		for _, zone := range f.zones() {
			if zone != f.self.zone {
				all = append(all, feed.Subscription{Topic: topic, Group: zone, Candidates: addresses(f.homes(topic, zone), 1+stepIn)})
			}
		}
	}
	return all
}

// registerSubscriptions are those to the configuration and the view: members of the register and homes ask the register, others the
// home of their zone.
func (f *fleet) registerSubscriptions(register []string) []feed.Subscription {
	candidates := slices.Clone(register)
	if !f.self.core {
		home := f.homes(configurationTopic, f.self.zone)
		if home[0].address != f.self.address {
			near := addresses(home, 1+stepIn)
			candidates = append(near, slices.DeleteFunc(candidates, func(a string) bool { return slices.Contains(near, a) })...)
		}
	}
	var all []feed.Subscription
	for _, topic := range []string{configurationTopic, viewTopic} {
		all = append(all, feed.Subscription{Topic: topic, Candidates: candidates, Confirmed: topic == configurationTopic})
	}
	return all
}

// rank has routers that may be members of the register go before others.
func rank(r router) int {
	if r.core {
		return 0
	}
	return 1
}
