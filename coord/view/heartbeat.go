package view

import (
	"slices"
	"time"

	"reachspread/coord/coordpb"
)

// peer describes another process that may be a member, according to its heartbeats.
type peer struct {
	member           *coordpb.Member
	heartbeatAt      time.Duration // when the last heartbeat arrived
	aliveSince       time.Duration // when the current period without a gap in the heartbeats began
	firstHeartbeatAt time.Duration // when the first heartbeat of this incarnation arrived
	unhealthySince   time.Duration // when its storage began to fail, 0 while its storage works
	position         *coordpb.Position
	epoch            uint64
	healthy          bool // its storage works
	founder          bool // it may vote on the first view
	draining         bool // it is about to shut down
	eligible         bool // it may be a member
	receivesFromSelf bool // it has recently received heartbeats from this process
}

// sendHeartbeats sends heartbeats to all processes that may be members. A process that is neither
// eligible nor an acceptor sends none.
func (d *Decider) sendHeartbeats() {
	d.nextHeartbeat = d.now + HeartbeatInterval
	if !d.config.Eligible && !d.isAcceptor() {
		return
	}
	for _, address := range d.heartbeatTargets() {
		d.sendHeartbeat(address)
	}
}

// sendHeartbeat sends a heartbeat to one address. The heartbeat includes the current view if the
// peer has an older one.
func (d *Decider) sendHeartbeat(to string) {
	h := &coordpb.Heartbeat{
		Epoch:    d.view.Epoch,
		Position: d.status.Position,
		Healthy:  d.status.Healthy,
		Founder:  d.config.Founder,
		Sealed:   d.IsSealed(),
		Leaving:  d.status.Draining,
		Eligible: d.config.Eligible,
	}
	for _, p := range d.peers {
		if d.alive(p) {
			h.Heard = append(h.Heard, p.member.Identity)
		}
	}
	if p := d.peers[to]; p != nil && p.epoch < d.view.Epoch {
		h.View = d.view
	}
	m := &coordpb.Message{From: d.config.Self, Body: &coordpb.Message_Heartbeat{Heartbeat: h}}
	d.emit(Send{To: to, Message: m, Immediate: true})
}

// heartbeatTargets returns the addresses that heartbeats go to, sorted: members, known addresses,
// peers whose last heartbeat is younger than replaceTimeout (standbys included), and the seeds
// before a view is known.
func (d *Decider) heartbeatTargets() []string {
	var all []string
	add := func(address string) {
		if address != d.config.Self.Address && !slices.Contains(all, address) {
			all = append(all, address)
		}
	}
	for _, m := range d.view.Members {
		add(m.Address)
	}
	for _, address := range d.knownAddresses {
		add(address)
	}
	for address, p := range d.peers {
		if d.now-p.heartbeatAt < replaceTimeout {
			add(address)
		}
	}
	if d.view.Epoch == 0 {
		for _, address := range d.config.Seeds {
			add(address)
		}
	}
	slices.Sort(all)
	return all
}

// handleHeartbeat records the state of a peer. It adopts a newer view from the heartbeat, and sends
// the current view to a peer that has an older one.
func (d *Decider) handleHeartbeat(from *coordpb.Member, h *coordpb.Heartbeat) {
	p := d.peerAt(from)
	if p == nil {
		return
	}
	p.update(d.now, h, d.config.Self.Identity)
	if h.View != nil {
		d.learnView(h.View)
	}
	if h.Epoch < d.view.Epoch && d.view.Epoch > 0 {
		d.send(from.Address, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: d.view}}})
	}
}

// peerAt returns the peer that sent a heartbeat. It creates an entry for a new address, and resets
// the entry for a new incarnation. It returns nil for a new address if there are already maxPeers
// peers.
func (d *Decider) peerAt(from *coordpb.Member) *peer {
	p := d.peers[from.Address]
	if p == nil {
		if len(d.peers) >= maxPeers {
			return nil
		}
		p = &peer{}
		d.peers[from.Address] = p
	}
	if p.member == nil || p.member.Identity != from.Identity {
		*p = peer{member: from, firstHeartbeatAt: d.now, aliveSince: d.now, heartbeatAt: d.now}
		if d.config.Eligible || d.isAcceptor() {
			d.sendHeartbeat(from.Address) // so that the peer learns that this process receives its heartbeats
		}
	}
	return p
}

// update records the contents of a heartbeat that has just arrived.
func (p *peer) update(now time.Duration, h *coordpb.Heartbeat, self uint64) {
	if now-p.heartbeatAt >= suspectTimeout {
		p.aliveSince = now
	}
	p.heartbeatAt = now
	p.epoch = h.Epoch
	p.healthy = h.Healthy
	p.founder = h.Founder
	p.draining = h.Leaving
	p.eligible = h.Eligible
	switch {
	case h.Healthy:
		p.unhealthySince = 0
	case p.unhealthySince == 0:
		p.unhealthySince = now
	}
	p.receivesFromSelf = slices.Contains(h.Heard, self)
	if p.position = h.Position; p.position == nil {
		p.position = &coordpb.Position{}
	}
}
