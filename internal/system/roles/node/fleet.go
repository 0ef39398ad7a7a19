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

// router is a live router, as this router knows it.
type router struct {
	address  netip.AddrPort // for other routers
	zone     string         // zone label
	eligible bool           // may be a member of the register
	hasDisk  bool           // saves the ends of hosts to a disk
}

// internal returns the address for other routers in the form that messages use.
func (r *router) internal() string { return r.address.String() }

// rank returns the sort key that orders routers eligible for the register before all others.
func (r *router) rank() int {
	if r.eligible {
		return 0
	}
	return 1
}

// fleet is the set of live routers, this one included, sorted by address. It is immutable.
type fleet struct {
	self    router
	routers []router
}

// fleetOf returns the fleet that a view of the membership describes.
func fleetOf(self router, v *members.View) *fleet {
	f := &fleet{self: self, routers: []router{self}}
	for _, m := range v.Members {
		if m.Addr != self.address {
			eligible, hasDisk := strings.Contains(m.Version, eligibleFlag), strings.Contains(m.Version, diskFlag)
			f.routers = append(f.routers, router{m.Addr, m.Zone, eligible, hasDisk})
		}
	}
	f.sort()
	return f
}

// withRegisterMembers returns the fleet extended by the members of the register. A router uses it
// after its start, when it may not know many other routers yet.
func (f *fleet) withRegisterMembers(v *coordpb.View) *fleet {
	all := &fleet{self: f.self, routers: slices.Clone(f.routers)}
	for _, m := range v.GetMembers() {
		address, err := netip.ParseAddrPort(m.Address)
		known := slices.ContainsFunc(all.routers, func(r router) bool { return r.address == address })
		if err == nil && !known {
			all.routers = append(all.routers, router{address: address, zone: m.Label, eligible: true, hasDisk: true})
		}
	}
	all.sort()
	return all
}

func (f *fleet) sort() {
	slices.SortFunc(f.routers, func(a, b router) int { return a.address.Compare(b.address) })
}

// owners returns the routers of a zone in the order in which they are responsible for a key: the
// owner first, then its backup owners. Routers eligible for the register come before the others
// because they retain their state across a restart. If the zone has no routers, the result has all
// routers of the fleet.
func (f *fleet) owners(key, zone string) []router {
	candidates := f.inZone(zone)
	if len(candidates) == 0 {
		candidates = slices.Clone(f.routers)
	}
	hash := func(r router) uint64 { return rendezvous.Hash(r.internal()) }
	all := rendezvous.First(rendezvous.Hash(key), candidates, len(candidates), hash)
	slices.SortStableFunc(all, func(a, b router) int { return cmp.Compare(a.rank(), b.rank()) })
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

// zones returns the zones that have routers, sorted.
func (f *fleet) zones() (all []string) {
	for _, r := range f.routers {
		if !slices.Contains(all, r.zone) {
			all = append(all, r.zone)
		}
	}
	slices.Sort(all)
	return all
}

// registerCandidates returns the addresses of the other routers that may be members of the
// register.
func (f *fleet) registerCandidates() (all []string) {
	for _, r := range f.routers {
		if r.eligible && r.address != f.self.address {
			all = append(all, r.internal())
		}
	}
	return all
}

// relays returns the addresses of routers that can forward requests to an owner which this router
// does not reach: the other routers that may not be members of the register. It returns those in
// this router's zone, or all of them if its zone has none.
func (f *fleet) relays() []string {
	var inZone, all []string
	for _, r := range f.routers {
		if r.eligible || r.address == f.self.address {
			continue
		}
		all = append(all, r.internal())
		if r.zone == f.self.zone {
			inZone = append(inZone, r.internal())
		}
	}
	if len(inZone) > 0 {
		return inZone
	}
	return all
}

// maxBackupOwners is how many backup owners a subscription tries after the owner.
const maxBackupOwners = 2

// sources returns the addresses of an owner and its backup owners, in this order.
func sources(owners []router) (addresses []string) {
	for _, r := range owners[:min(len(owners), 1+maxBackupOwners)] {
		addresses = append(addresses, r.internal())
	}
	return addresses
}

// subscriptions returns which routers this one obtains each topic from. The register argument has
// the addresses to ask about the register, the tail first.
//
// A router obtains the hosts of a service from the service's owner in its own zone. That owner
// obtains them from the service's owner in each other zone.
func (f *fleet) subscriptions(services, register []string) []feed.Subscription {
	all := f.registerSubscriptions(register)
	for _, service := range services {
		topic := hostsTopicPrefix + service
		owners := f.owners(topic, f.self.zone)
		if owners[0].address != f.self.address {
			all = append(all, feed.Subscription{Topic: topic, Candidates: sources(owners)})
			continue
		}
		for _, zone := range f.zones() {
			if zone != f.self.zone {
				all = append(all, feed.Subscription{Topic: topic, Group: zone, Candidates: sources(f.owners(topic, zone))})
			}
		}
	}
	return all
}

// registerSubscriptions returns the subscriptions to the configuration and the register's view.
// Routers that may be members of the register, and the owner of the configuration in each zone,
// ask the register. All others ask that owner first.
func (f *fleet) registerSubscriptions(register []string) []feed.Subscription {
	candidates := slices.Clone(register)
	owners := f.owners(configurationTopic, f.self.zone)
	if !f.self.eligible && owners[0].address != f.self.address {
		first := sources(owners)
		isFirst := func(address string) bool { return slices.Contains(first, address) }
		candidates = append(first, slices.DeleteFunc(candidates, isFirst)...)
	}
	return []feed.Subscription{
		{Topic: configurationTopic, Candidates: candidates, RequireConfirmed: true},
		{Topic: registerViewTopic, Candidates: candidates},
	}
}
