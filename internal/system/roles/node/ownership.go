package node

import (
	"math/rand/v2"
	"slices"

	mapset "github.com/deckarep/golang-set/v2"

	"reachspread/internal/system/deciders/instances"
)

// owner returns the router that is responsible for the hosts of a service in a zone.
func (h *hub) owner(service, zone string) router {
	return h.fleet.owners(hostsTopicPrefix+service, zoneLabel(zone))[0]
}

func (h *hub) ownsRecord(r *instances.Record) bool {
	return h.owner(r.Service, r.Zone).address == h.node.self.address
}

// updateOwnership computes the services and zones that this router owns. For newly owned ones it
// restarts the heartbeat timeouts of their hosts, whose heartbeats went to another router before.
func (h *hub) updateOwnership(services []string) {
	before := h.owned
	h.owned = mapset.NewThreadUnsafeSet[ownerKey]()
	for _, name := range services {
		for _, zone := range h.zones() {
			if h.owner(name, zone).address == h.node.self.address {
				h.owned.Add(ownerKey{name, zone})
			}
		}
	}
	h.registry.TakeOwnership(h.now(), func(r *instances.Record) bool {
		key := ownerKey{r.Service, zoneLabel(r.Zone)}
		return h.owned.ContainsOne(key) && !before.ContainsOne(key)
	})
}

// zones returns the zones that have routers and those that the settings list.
func (h *hub) zones() []string {
	all := h.fleet.zones()
	for name := range h.node.settings().Zones {
		if zone := zoneLabel(name); !slices.Contains(all, zone) {
			all = append(all, zone)
		}
	}
	return all
}

// randomRelay returns a random router that may reach an owner which this router does not reach, or
// an empty string if there is none. Any goroutine may call it.
func (h *hub) randomRelay() string {
	all := h.relays.Load()
	if all == nil || len(*all) == 0 {
		return ""
	}
	return (*all)[rand.IntN(len(*all))]
}

// isStandalone reports whether this router has never known any other router: no other seed, no
// other live router and no other register member.
func (h *hub) isStandalone() bool {
	for _, seed := range h.node.settings().Seeds() {
		if seed != h.node.self.address {
			return false
		}
	}
	return len(h.members.routers) == 1 && len(h.registerView.view.GetMembers()) <= 1
}
