package view

import (
	"cmp"
	"slices"
	"time"

	"reachspread/coord/coordpb"
)

// Peer is another process that may be a member, as this process sees it, for status pages.
type Peer struct {
	Member           *coordpb.Member
	Position         *coordpb.Position
	Epoch            uint64         // of the last view that it reported
	LastHeartbeatAge *time.Duration // the age of its last heartbeat, nil where that isn't known
	Healthy          bool           // its writes get to the disk in time
	Draining         bool           // it is about to shut down
}

// Peers are the processes that have sent heartbeats, by address.
func (d *Decider) Peers(now time.Duration) []Peer {
	var all []Peer
	for _, p := range d.peers {
		age := max(now-p.heartbeatAt, 0)
		all = append(all, Peer{Member: p.member, Position: p.position, Epoch: p.epoch, LastHeartbeatAge: &age, Healthy: p.healthy, Draining: p.draining})
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.Member.Address, b.Member.Address) })
	return all
}
