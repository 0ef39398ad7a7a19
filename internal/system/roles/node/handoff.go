package node

import (
	"slices"
	"time"

	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
)

// beat takes in a host's own call. Done is called once it may be acknowledged, with the address for its next ones.
func (h *hub) beat(in *message.Instance, done func(next string)) {
	rec := h.registry.Beat(h.now(), in)
	if rec != nil {
		h.changed([]*instances.Record{rec})
	}
	home := h.home(in.Service, in.Zone)
	answer := func() { done(h.node.controlAddress(home)) }
	known := h.registry.Get(in.Id)
	if known != nil && known.State >= message.Instance_DRAINING {
		h.end(known, rec == nil, answer)
		return
	}
	if home.address != h.node.self.address {
		h.handOff(home.internal(), in, nil)
	}
	answer()
}

// remove takes in that a host ends. Done is called once that may be acknowledged. Of one that is not known here, others may know: that is
// acknowledged only where this router has had time to learn what they do.
func (h *hub) remove(id string, done func()) {
	rec := h.registry.Remove(h.now(), id)
	if rec != nil {
		h.changed([]*instances.Record{rec})
		h.end(rec, false, done)
		return
	}
	if known := h.registry.Get(id); known != nil {
		h.end(known, true, done)
		return
	}
	if h.solitary() || h.connected() && !h.young() {
		done()
	}
}

// end acknowledges that a host is leaving, once a router that others learn it from has the word. Before says that it was known here before.
func (h *hub) end(known *instances.Record, before bool, done func()) {
	if before && h.connected() && !h.pending(known.Id) {
		done()
		return
	}
	h.replicate(known.Instance, done)
}

// connectedFor is how old a confirmation of the configuration may be for its router to count as one that reaches a majority of the
// register, and so those that do.
const connectedFor = 1600 * time.Millisecond

// connected tells whether this router is known to reach a majority of the register. What a router says that is cut off with it binds the
// others as well, and they would not learn of it.
func (h *hub) connected() bool { return h.fresh(connectedFor) }

// solitary tells that this router was never told of any other.
func (h *hub) solitary() bool {
	for _, seed := range h.node.settings().Seeds() {
		if seed != h.node.self.address {
			return false
		}
	}
	return len(h.members.routers) == 1 && len(h.view.view.GetMembers()) <= 1
}

// pending tells whether a handoff on a host was not answered yet.
func (h *hub) pending(id string) bool {
	for _, hint := range h.hints {
		for _, in := range hint.instances {
			if in.Id == id && hint.taken != nil {
				return true
			}
		}
	}
	return false
}

// replicate hands a word that must not be lost to other routers, and calls done once one of them has it and one of the two is connected. A
// router alone is enough where there never was another.
func (h *hub) replicate(in *message.Instance, done func()) {
	if h.solitary() {
		done()
		return
	}
	called := false
	taken := func(connected bool) {
		if !called && (connected || h.connected()) {
			called = true
			done()
		}
	}
	for _, to := range h.keepers(in) {
		h.handOff(to, in, taken)
	}
}

// keepers are the routers that are to have a word on a host: the home of its service in each zone, and the next one in its own.
func (h *hub) keepers(in *message.Instance) (all []string) {
	add := func(r router) {
		if r.address != h.node.self.address && !slices.Contains(all, r.internal()) {
			all = append(all, r.internal())
		}
	}
	for _, zone := range h.fleet.zones() {
		homes := h.fleet.homes(hostsTopic+in.Service, zone)
		add(homes[0])
		if zone == zoneMark(in.Zone) && len(homes) > 1 {
			add(homes[1])
		}
	}
	return all
}

// handOff hands a word to a router, again and again until that has it.
func (h *hub) handOff(to string, in *message.Instance, taken func(connected bool)) {
	if len(h.hints) >= mostHints {
		return
	}
	h.nonce++
	x := &hint{to: to, instances: []*message.Instance{in}, began: h.now(), taken: taken}
	h.hints[h.nonce] = x
	h.sendHint(h.nonce, x)
}

func (h *hub) sendHint(nonce uint64, x *hint) {
	x.sentAt = h.now()
	h.node.send(x.to, &message.Envelope{Body: &message.Envelope_Handoff{Handoff: &message.Handoff{From: h.node.self.internal(), Nonce: nonce, Instances: x.instances}}})
}

func (h *hub) resendHints() {
	for nonce, x := range h.hints {
		switch {
		case h.now()-x.began >= handoffMost, x.taken == nil && h.now()-x.began >= againAfter*4:
			delete(h.hints, nonce)
		case h.now()-x.sentAt >= againAfter:
			h.sendHint(nonce, x)
		}
	}
}

func (h *hub) takeHandoff(m *message.Handoff) {
	var changed []*instances.Record
	for _, in := range m.Instances {
		if in.State == message.Instance_READY {
			if rec := h.registry.Beat(h.now(), in); rec != nil {
				changed = append(changed, rec)
			}
			continue
		}
		changed = append(changed, h.registry.Merge(h.now(), []*message.Instance{in})...)
	}
	h.changed(changed)
	h.node.send(m.From, &message.Envelope{Body: &message.Envelope_Taken{Taken: &message.Taken{Nonce: m.Nonce, Connected: h.connected()}}})
}

func (h *hub) takeTaken(m *message.Taken) {
	x := h.hints[m.Nonce]
	if x == nil {
		return
	}
	delete(h.hints, m.Nonce)
	if x.taken != nil {
		x.taken(m.Connected)
	}
}
