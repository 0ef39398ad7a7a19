package view

import (
	"cmp"
	"slices"
	"time"

	"reachspread/coord/coordpb"
)

// Peer is another process that may be a member, as this one knows it, for staff to see.
type Peer struct {
	Member   *coordpb.Member
	Position *coordpb.Position
	Epoch    uint64         // of the last view that it told of
	HeardAge *time.Duration // the last heartbeat is so old
	Healthy  bool           // what it writes gets to its disk in time
	Leaving  bool           // it is about to end
}

// Peers are the processes of which heartbeats came, by their addresses.
func (d *Decider) Peers(now time.Duration) []Peer {
	var all []Peer
	for _, p := range d.peers {
		age := max(now-p.heard, 0)
		all = append(all, Peer{Member: p.member, Position: p.position, Epoch: p.epoch, HeardAge: &age, Healthy: p.healthy, Leaving: p.leaving})
	}
	slices.SortFunc(all, func(a, b Peer) int { return cmp.Compare(a.Member.Address, b.Member.Address) })
	return all
}
