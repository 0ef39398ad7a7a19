package view

import (
	"reachspread/coord/coordpb"
)

// peerState says how usable a process is as a member of the chain. A greater value is better.
type peerState int

// The states of a peer.
const (
	peerDead      peerState = iota // no heartbeat arrived for suspectTimeout
	peerUnhealthy                  // it is alive, but its storage fails or it doesn't receive heartbeats from this process
	peerDraining                   // it works, but is about to shut down
	peerHealthy
)

// alive reports whether a peer has sent a heartbeat within suspectTimeout.
func (d *Decider) alive(p *peer) bool { return p.member != nil && d.now-p.heartbeatAt < suspectTimeout }

// isHealthy reports whether a peer may be in a chain.
func (d *Decider) isHealthy(p *peer) bool { return d.stateOf(p) == peerHealthy }

// stateOf returns the state of a peer. A peer needs some time to report that it receives the
// heartbeats of this process, so stateOf assumes this until the peer has been alive for
// suspectTimeout.
func (d *Decider) stateOf(p *peer) peerState {
	receives := p.receivesFromSelf || d.now-p.aliveSince < suspectTimeout
	switch {
	case !d.alive(p):
		return peerDead
	case !receives || !p.healthy:
		return peerUnhealthy
	case p.draining:
		return peerDraining
	}
	return peerHealthy
}

// localState returns the state of this process.
func (d *Decider) localState() peerState {
	switch {
	case !d.status.Healthy:
		return peerUnhealthy
	case d.status.Draining:
		return peerDraining
	}
	return peerHealthy
}

// stateOfIdentity returns the state of a process, which may be this one. For suspectTimeout after
// the start of this process, a process that has sent no heartbeat counts as healthy, unless another
// incarnation runs at its address.
func (d *Decider) stateOfIdentity(identity uint64) peerState {
	if identity == d.config.Self.Identity {
		return d.localState()
	}
	if p := d.peerOf(identity); p != nil {
		return d.stateOf(p)
	}
	m := MemberOf(d.view, identity)
	otherIncarnation := m != nil && d.peers[m.Address] != nil
	if !otherIncarnation && d.now-d.startedAt < suspectTimeout {
		return peerHealthy
	}
	return peerDead
}

// peerOf returns the peer with an identity, or nil if there is none.
func (d *Decider) peerOf(identity uint64) *peer {
	for _, p := range d.peers {
		if p.member.Identity == identity {
			return p
		}
	}
	return nil
}

// maxReplicationLag is how many changes a process may lack and still join the chain without
// counting as lagging. One message can bring that many changes.
const maxReplicationLag = 64

// lagRank returns 0 for a state that is at most maxReplicationLag changes behind the newest one,
// and 1 otherwise.
func lagRank(p, newest *coordpb.Position) int {
	if p.GetSequence()+maxReplicationLag < newest.GetSequence() {
		return 1
	}
	return 0
}

// newestPosition returns the most advanced position that this process knows of.
func (d *Decider) newestPosition() *coordpb.Position {
	newest := d.status.Position
	for _, p := range d.peers {
		if IsAhead(p.position, newest) {
			newest = p.position
		}
	}
	return newest
}

// positionOf returns the last reported position of a process, or nil if it isn't known.
func (d *Decider) positionOf(identity uint64) *coordpb.Position {
	if identity == d.config.Self.Identity {
		return d.status.Position
	}
	if p := d.peerOf(identity); p != nil {
		return p.position
	}
	return nil
}

// hasCompletedEpoch reports whether a process is not dead and is known to have the state that the
// current epoch began with.
func (d *Decider) hasCompletedEpoch(identity uint64) bool {
	return d.stateOfIdentity(identity) != peerDead && d.positionOf(identity).GetStateEpoch() == d.view.Epoch
}
