package node

import (
	"maps"
	"slices"

	"reachspread/coord/feed"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
)

// restoredHosts are the hosts that an earlier incarnation of this router saved as ready or lost, by
// service. They may have ended since, which the routers that ran on know. So this router uses them
// only once it has asked those routers, or if it has found nobody to ask when its time to join the
// fleet is over. Only the hub's goroutine uses them.
type restoredHosts map[string][]*message.Instance

// restore takes over the hosts that an earlier incarnation saved. Ends of hosts hold at once,
// because they are never taken back.
func (h *hub) restore(saved []*message.Instance) {
	var ended []*message.Instance
	for _, in := range saved {
		if instances.HasEnded(in) {
			ended = append(ended, in)
			continue
		}
		h.restored[in.Service] = append(h.restored[in.Service], in)
	}
	h.registry.Merge(h.now(), ended)
	h.node.log.Info("saved hosts restored", "unconfirmed", len(saved)-len(ended), "ended", len(ended))
	h.acceptRestored()
}

// acceptRestored merges the restored hosts of each service whose other routers have answered. A
// record of theirs that says that a host has ended supersedes the restored one.
func (h *hub) acceptRestored() {
	for service, hosts := range h.restored {
		if !h.mayAcceptRestored(service) {
			continue
		}
		delete(h.restored, service)
		changed := h.registry.Merge(h.now(), hosts)
		h.hostsChanged(changed)
		h.node.log.Info("saved hosts accepted", "service", service, "hosts", len(hosts), "changed", len(changed), "asked", h.joining())
	}
}

// mayAcceptRestored reports whether the routers that may know of ends of a service's hosts have
// answered, or there is nobody to wait for.
func (h *hub) mayAcceptRestored(service string) bool {
	if h.isStandalone() || !h.joining() {
		return true
	}
	return len(h.members.routers) > 1 && h.feed.Answered(hostsTopicPrefix+service)
}

// predecessorSubscriptions returns the subscriptions by which a starting router asks the routers of
// its own zone that owned its services while it was down.
func (f *fleet) predecessorSubscriptions(services []string) (all []feed.Subscription) {
	for _, service := range services {
		topic := hostsTopicPrefix + service
		owners := f.owners(topic, f.self.zone)
		if owners[0].address == f.self.address && len(owners) > 1 {
			all = append(all, feed.Subscription{Topic: topic, Group: f.self.zone, Candidates: sources(owners[1:])})
		}
	}
	return all
}

// all returns the restored hosts, by service and in the order in which they were saved.
func (r restoredHosts) all() (hosts []*message.Instance) {
	for _, service := range slices.Sorted(maps.Keys(r)) {
		hosts = append(hosts, r[service]...)
	}
	return hosts
}

// addServices adds the services of the restored hosts to a list of services.
func (r restoredHosts) addServices(services []string) []string {
	for service := range r {
		if !slices.Contains(services, service) {
			services = append(services, service)
		}
	}
	return services
}
