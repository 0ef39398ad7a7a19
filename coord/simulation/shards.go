package simulation

import (
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// updateShards records the shards that a view assigns to this process, each with the time from
// which the process may act on it.
func (p *Process) updateShards(v *coordpb.View) {
	for shard, duty := range v.Duties {
		if duty.Owner != p.self.Identity {
			delete(p.ownedSince, shard)
			continue
		}
		if _, has := p.ownedSince[shard]; !has || duty.Since == v.Epoch {
			p.ownedSince[shard] = p.world.Now + time.Duration(duty.WaitMs)*time.Millisecond
		}
	}
}

// mayActOn reports whether this process would act on a shard now.
func (p *Process) mayActOn(shard int) bool {
	from, has := p.ownedSince[shard]
	if !p.up || !has || p.frozenUntil > p.world.Now || p.world.Now < from {
		return false
	}
	at, ok := p.Core.ConfirmedAt()
	return p.world.Bug == IgnoredLease || ok && p.clock()-at < view.LeaseDuration
}

// checkShardOwners checks that no other process may act on a shard that this process may act on.
func (p *Process) checkShardOwners() {
	for shard := range p.ownedSince {
		if !p.mayActOn(shard) {
			continue
		}
		for _, other := range p.world.Processes {
			if other != p && other.mayActOn(shard) {
				p.world.Fail("%s and %s both act on shard %d", p.Address, other.Address, shard)
			}
		}
	}
}
