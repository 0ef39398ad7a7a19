package node

import (
	"slices"
	"time"

	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
)

// A handoff sends the record of a host to another router. It is retried until that router
// acknowledges it or a timeout passes (hinted handoff). Receiving a handoff twice does no harm.

const (
	handoffRetryInterval = 250 * time.Millisecond
	// handoffTimeout is the age at which a handoff is given up if a caller waits for its
	// acknowledgement.
	handoffTimeout = 30 * time.Second
	// heartbeatHandoffTimeout is the age at which a handoff is given up if no caller waits for it:
	// the host's next heartbeat starts another one.
	heartbeatHandoffTimeout = 4 * handoffRetryInterval
	// maxHints is the most handoffs that may wait for an acknowledgement. Further ones are not
	// started.
	maxHints = 4096
)

// hint is a handoff that has not been acknowledged yet.
type hint struct {
	to             string
	instances      []*message.Instance
	createdAt      time.Duration
	sentAt         time.Duration
	onAcknowledged func(*message.Taken) // nil if no caller waits
}

// handoffTargets returns the other routers that must have a host's record: the owner of its
// service in each zone, and the first backup owner in the host's own zone.
func (h *hub) handoffTargets(in *message.Instance) (all []router) {
	add := func(r router) {
		if r.address != h.node.self.address && !slices.Contains(all, r) {
			all = append(all, r)
		}
	}
	for _, zone := range h.fleet.zones() {
		owners := h.fleet.owners(hostsTopicPrefix+in.Service, zone)
		add(owners[0])
		if zone == zoneLabel(in.Zone) && len(owners) > 1 {
			add(owners[1])
		}
	}
	return all
}

// handOff starts a handoff. It calls onAcknowledged at most once, when the target acknowledges the
// handoff; nil means that no caller waits.
func (h *hub) handOff(to string, in *message.Instance, onAcknowledged func(*message.Taken)) {
	if len(h.hints) >= maxHints {
		return
	}
	h.nonce++
	x := &hint{to: to, instances: []*message.Instance{in}, createdAt: h.now(), onAcknowledged: onAcknowledged}
	h.hints[h.nonce] = x
	h.sendHint(h.nonce, x)
}

func (h *hub) sendHint(nonce uint64, x *hint) {
	x.sentAt = h.now()
	m := &message.Handoff{From: h.node.self.internal(), Nonce: nonce, Instances: x.instances}
	h.node.send(x.to, &message.Envelope{Body: &message.Envelope_Handoff{Handoff: m}})
}

// resendHints resends the handoffs that have not been acknowledged and drops those that have
// expired.
func (h *hub) resendHints() {
	for nonce, x := range h.hints {
		switch {
		case x.expired(h.now()):
			delete(h.hints, nonce)
		case h.now()-x.sentAt >= handoffRetryInterval:
			h.sendHint(nonce, x)
		}
	}
}

func (x *hint) expired(now time.Duration) bool {
	age := now - x.createdAt
	return age >= handoffTimeout || x.onAcknowledged == nil && age >= heartbeatHandoffTimeout
}

// receiveHandoff stores the records of another router's handoff and acknowledges it. If a host has
// ended and this router has a disk, it acknowledges once the records are on the disk.
func (h *hub) receiveHandoff(m *message.Handoff) {
	var changed []*instances.Record
	for _, in := range m.Instances {
		if in.State == message.Instance_READY {
			if record := h.registry.Heartbeat(h.now(), in); record != nil {
				changed = append(changed, record)
			}
			continue
		}
		changed = append(changed, h.registry.Merge(h.now(), []*message.Instance{in})...)
	}
	h.hostsChanged(changed)
	if state := h.node.state; state != nil && slices.ContainsFunc(m.Instances, instances.HasEnded) {
		state.ensureSaved(h.newestRevision(m.Instances), func() { h.acknowledgeHandoff(m) })
		return
	}
	h.acknowledgeHandoff(m)
}

func (h *hub) acknowledgeHandoff(m *message.Handoff) {
	acknowledgement := &message.Taken{Nonce: m.Nonce, Connected: h.reachesMajority()}
	h.node.send(m.From, &message.Envelope{Body: &message.Envelope_Taken{Taken: acknowledgement}})
}

// newestRevision returns the highest revision of the records that the registry has of hosts.
func (h *hub) newestRevision(hosts []*message.Instance) (newest uint64) {
	for _, in := range hosts {
		if known := h.registry.Get(in.Id); known != nil {
			newest = max(newest, known.Revision())
		}
	}
	return newest
}

// handoffAcknowledged completes the handoff that an acknowledgement belongs to and notifies its
// caller.
func (h *hub) handoffAcknowledged(m *message.Taken) {
	x := h.hints[m.Nonce]
	if x == nil {
		return
	}
	delete(h.hints, m.Nonce)
	if x.onAcknowledged != nil {
		x.onAcknowledged(m)
	}
}
