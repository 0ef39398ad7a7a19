package view

import (
	"reachspread/coord/coordpb"
)

// peerState is how far a process can be relied on. A greater state is better.
type peerState int

// The states of a peer.
const (
	peerDead      peerState = iota // nothing was heard of it for suspectTimeout
	peerUnhealthy                  // it is alive, but its storage fails, or it doesn't hear this process
	peerDraining                   // it works, and is about to shut down
	peerHealthy
)

// alive reports whether a heartbeat of a peer came in time.
func (d *Decider) alive(p *peer) bool { return p.member != nil && d.now-p.heartbeatAt < suspectTimeout }

// isHealthy reports whether a peer may be in a chain.
func (d *Decider) isHealthy(p *peer) bool { return d.stateOf(p) == peerHealthy }

// stateOf is the state of a peer. Whether it hears this process is only known some time after
// its first heartbeat.
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

// localState is the state of this process.
func (d *Decider) localState() peerState {
	switch {
	case !d.status.Healthy:
		return peerUnhealthy
	case d.status.Draining:
		return peerDraining
	}
	return peerHealthy
}

// stateOfIdentity is the state of a process, which may be this one. A process that was never
// heard of counts as healthy until there was time to hear of it, unless another incarnation runs
// at its address.
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

// peerOf returns the peer with an identity, nil for none.
func (d *Decider) peerOf(identity uint64) *peer {
	for _, p := range d.peers {
		if p.member.Identity == identity {
			return p
		}
	}
	return nil
}

// maxReplicationLag is how many changes a process may lack and still be taken into the chain
// without being counted as lagging. So many come in one message.
const maxReplicationLag = 64

// lagRank is 0 for a state that lags behind the newest one by maxReplicationLag changes at
// most, else 1.
func lagRank(p, newest *coordpb.Position) int {
	if p.GetSequence()+maxReplicationLag < newest.GetSequence() {
		return 1
	}
	return 0
}

// newestPosition is the furthest position that this process knows of.
func (d *Decider) newestPosition() *coordpb.Position {
	newest := d.status.Position
	for _, p := range d.peers {
		if IsAhead(p.position, newest) {
			newest = p.position
		}
	}
	return newest
}

// positionOf is the last reported position of a process, nil if it isn't known.
func (d *Decider) positionOf(identity uint64) *coordpb.Position {
	if identity == d.config.Self.Identity {
		return d.status.Position
	}
	if p := d.peerOf(identity); p != nil {
		return p.position
	}
	return nil
}

// hasCompletedEpoch reports whether a process is known to have the state that the present epoch
// began with.
func (d *Decider) hasCompletedEpoch(identity uint64) bool {
	return d.stateOfIdentity(identity) != peerDead && d.positionOf(identity).GetStateEpoch() == d.view.Epoch
}
