package node

import (
	"slices"
	"strings"
	"time"

	mapset "github.com/deckarep/golang-set/v2"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/members"
)

// joinTimeout is how long after its start a router may need to learn the live routers from the
// membership. Until then it assumes that all members of the register are live.
const joinTimeout = 3 * time.Second

// joining reports whether the membership may not know all routers yet.
func (h *hub) joining() bool { return h.now() < joinTimeout }

// resetMembership makes this router the only live one.
func (h *hub) resetMembership() {
	h.members = &fleet{self: h.node.self, routers: []router{h.node.self}}
	h.fleet = h.members
}

// membershipChanged handles a new view of the membership.
func (h *hub) membershipChanged(v *members.View) {
	h.members = fleetOf(h.node.self, v)
	relays := h.members.relays()
	h.relays.Store(&relays)
	h.node.plane.SetRouters(len(h.members.routers))
	h.node.peerReports.membershipChanged(h.members.routers)
	h.node.client.SetKnownAddresses(h.registerAddresses())
	if h.node.replica != nil {
		h.node.replica.SetKnownAddresses(h.members.registerCandidates())
	}
	h.resubscribe()
}

// registerViewChanged handles a new view of the register and publishes it to subscribers.
func (h *hub) registerViewChanged(v *coordpb.View) {
	h.node.client.LearnView(v)
	h.node.client.SetKnownAddresses(h.registerAddresses())
	h.sendAll(h.feed.Publish(h.now(), registerViewTopic))
	h.resubscribe()
}

// resubscribe computes from which routers each topic is obtained and what this router owns. It is
// called whenever the routers, the register's view, the configuration or the services change.
func (h *hub) resubscribe() {
	h.fleet = h.members
	if h.wasJoining = h.joining(); h.wasJoining {
		h.fleet = h.members.withRegisterMembers(h.registerView.view)
	}
	services := h.services()
	for _, name := range services {
		h.ensureHostsTopic(name)
	}
	all := h.fleet.subscriptions(services, h.registerAddresses())
	if h.wasJoining {
		all = append(all, h.fleet.predecessorSubscriptions(services)...)
	}
	h.sendAll(h.feed.Subscribe(h.now(), all))
	h.updateOwnership(services)
}

// addRequestedTopics adds the topics of the services that another router polls for.
func (h *hub) addRequestedTopics(p *coordpb.Poll) {
	for _, c := range p.Cursors {
		service, ok := strings.CutPrefix(c.Topic, hostsTopicPrefix)
		if ok && service != "" {
			h.addHostsTopic(service)
		}
	}
}

// addHostsTopic adds the topic of a service's hosts and subscribes to it, unless the topic exists.
func (h *hub) addHostsTopic(service string) {
	if h.ensureHostsTopic(service) {
		h.resubscribe()
	}
}

// ensureHostsTopic adds the topic of a service's hosts unless it exists. It reports whether it
// added the topic.
func (h *hub) ensureHostsTopic(service string) (added bool) {
	topic := hostsTopicPrefix + service
	if h.feed.Topic(topic) != nil {
		return false
	}
	h.feed.Add(topic, &hostsFeed{service: service, registry: h.registry, now: h.now, onChange: h.hostsChanged})
	return true
}

// services returns the services of the configuration and those that have hosts or restored hosts.
func (h *hub) services() []string {
	seen := mapset.NewThreadUnsafeSet[string]()
	var all []string
	add := func(name string) {
		if seen.Add(name) {
			all = append(all, name)
		}
	}
	if h.configuration.state != nil {
		for _, s := range h.configuration.state.Typed.Services {
			add(s.Name)
		}
	}
	for _, name := range h.registry.Services() {
		add(name)
	}
	return h.restored.addServices(all)
}

// registerAddresses returns the routers to ask about the register, in this order: the tail, the
// other members, the routers that may be members and, before the first view, the seeds.
func (h *hub) registerAddresses() []string {
	var all []string
	add := func(address string) {
		if address != "" && address != h.node.self.internal() && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	add(chain.Tail(h.registerView.view))
	for _, m := range h.registerView.view.GetMembers() {
		add(m.Address)
	}
	for _, address := range h.fleet.registerCandidates() {
		add(address)
	}
	if h.registerView.view == nil {
		for _, seed := range h.node.settings().Seeds() {
			add(seed.String())
		}
	}
	return all
}
