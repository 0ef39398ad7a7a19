package view

import (
	"cmp"
	"slices"
	"time"

	"reachspread/coord/coordpb"
)

// Peer describes, for status pages, how this process sees another process that may be a member.
type Peer struct {
	Member           *coordpb.Member
	Position         *coordpb.Position
	Epoch            uint64         // the epoch of the last view that the peer reported
	LastHeartbeatAge *time.Duration // nil if unknown
	Healthy          bool           // its writes reach the disk in time
	Draining         bool           // it is about to shut down
}

// Peers returns the processes that have sent heartbeats, sorted by address.
func (d *Decider) Peers(now time.Duration) []Peer {
	var all []Peer
	for _, p := range d.peers {
		age := max(now-p.heartbeatAt, 0)
		all = append(all, Peer{Member: p.member, Position: p.position, Epoch: p.epoch, LastHeartbeatAge: &age, Healthy: p.healthy, Draining: p.draining})
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.Member.Address, b.Member.Address) })
	return all
}
