package node

import (
	"time"

	mapset "github.com/deckarep/golang-set/v2"

	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
)

// heartbeat handles a host's heartbeat. It calls done once the heartbeat may be acknowledged, with
// the address to which the host is to send its next heartbeats.
func (h *hub) heartbeat(in *message.Instance, done func(next string)) {
	changed := h.registry.Heartbeat(h.now(), in)
	if changed != nil {
		h.hostsChanged([]*instances.Record{changed})
	}
	owner := h.owner(in.Service, in.Zone)
	acknowledge := func() { done(h.node.controlAddress(owner)) }
	known := h.registry.Get(in.Id)
	if known != nil && instances.HasEnded(known.Instance) {
		h.acknowledgeEnd(known, acknowledge)
		return
	}
	if owner.address != h.node.self.address {
		h.handOff(owner.internal(), in, nil)
	}
	acknowledge()
}

// remove handles a host's call that it ends. It calls done once the call may be acknowledged.
// Other routers may know a host that this router does not. The end of such a host is acknowledged
// only if this router has had time to learn what the others know.
func (h *hub) remove(id string, done func()) {
	h.acceptRestored() // a restored host must not count as unknown once this router has joined
	changed := h.registry.Remove(h.now(), id)
	if changed != nil {
		h.hostsChanged([]*instances.Record{changed})
	}
	if known := h.registry.Get(id); known != nil {
		h.acknowledgeEnd(known, done)
		return
	}
	if h.isStandalone() || h.reachesMajority() && !h.joining() {
		done()
	}
}

// minPublishInterval plus publishIntervalPerHost for each known host is the shortest time between
// two publications of changed records to the data plane and to other routers. Hundreds of hosts
// may send heartbeats at once, and each publication costs some microseconds for each known host. A
// record passes through at most three routers, which takes 0.36 s at 810 hosts and 1 s at 3,000.
const (
	minPublishInterval     = 40 * time.Millisecond
	publishIntervalPerHost = 100 * time.Microsecond
)

// hostsChanged publishes changed records: at once, or when the publish interval has passed.
func (h *hub) hostsChanged(all []*instances.Record) {
	if len(all) == 0 {
		return
	}
	waiting := !h.unpublished.IsEmpty()
	for _, r := range all {
		h.unpublished.Add(r.Service)
	}
	switch now := h.now(); {
	case now >= h.nextPublishAt:
		h.publishHosts()
	case !waiting:
		h.publishTimer.Reset(h.nextPublishAt - now)
	}
}

// publishHosts publishes the changed records to the data plane and to subscribers.
func (h *hub) publishHosts() {
	h.nextPublishAt = h.now() + minPublishInterval + time.Duration(h.registry.Len())*publishIntervalPerHost
	for service := range mapset.Elements(h.unpublished) {
		h.addHostsTopic(service)
		h.updateEndpoints(service)
		h.sendAll(h.feed.Publish(h.now(), hostsTopicPrefix+service))
	}
	h.unpublished.Clear()
}

// updateEndpoints passes the hosts of a service to the data plane.
func (h *hub) updateEndpoints(service string) {
	h.node.plane.SetHosts(service, h.registry.ServiceRevision(service), h.registry.Records(service), h.now())
}
