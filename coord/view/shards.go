package view

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/coord/coordpb"
)

const (
	// Shards is the number of shards into which the keys of singleton roles are split.
	Shards = 32
	// LeaseDuration is how long a member may act on its shards. It counts from the time at which
	// the member began a confirmation of its epoch that a majority answered.
	LeaseDuration = 600 * time.Millisecond
	// leaseMargin extends the lease that other members assume, because clocks may run at different
	// speeds.
	leaseMargin = 50 * time.Millisecond
)

// ShardOf returns the shard that a key belongs to.
func ShardOf(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// Owner returns the member that owns the shard of a key in a view, and the assignment of the shard,
// whose Since is the fencing token. Both are nil if the view assigns no shards.
func Owner(v *coordpb.View, key string) (*coordpb.Member, *coordpb.Duty) {
	if len(v.GetDuties()) != Shards {
		return nil, nil
	}
	duty := v.Duties[ShardOf(key)]
	return MemberOf(v, duty.Owner), duty
}

// assignShards assigns the shards to the chain of a new view. An owner that is still in the chain
// keeps its shards. Each other shard goes to the member with the fewest shards.
func (d *Decider) assignShards(v *coordpb.View, promises map[string]*promiseFrom) []*coordpb.Duty {
	previous := d.view.GetDuties()
	load := map[uint64]int{}
	all := make([]*coordpb.Duty, Shards)
	for shard, old := range previous {
		if slices.Contains(v.Chain, old.Owner) {
			all[shard] = &coordpb.Duty{Owner: old.Owner, Since: old.Since, WaitMs: old.WaitMs}
			load[old.Owner]++
		}
	}
	for shard := range all {
		if all[shard] != nil {
			continue
		}
		owner := slices.MinFunc(v.Chain, func(a, b uint64) int { return load[a] - load[b] })
		load[owner]++
		all[shard] = &coordpb.Duty{Owner: owner, Since: v.Epoch}
		if shard < len(previous) {
			all[shard].WaitMs = int32(d.remainingLease(previous[shard], promises).Milliseconds())
		}
	}
	return all
}

// remainingLease returns the longest time for which the owner of a shard, or an earlier owner, may
// still act on the shard. A result below 0 means that no owner has acted on the shard for that
// long. An owner that promised no longer acts, and reports how long ago it stopped. For any other
// owner the time follows from the confirmations that the promises report, because each successful
// confirmation was answered by at least one of the members that promised.
func (d *Decider) remainingLease(duty *coordpb.Duty, promises map[string]*promiseFrom) time.Duration {
	recorded := time.Duration(duty.WaitMs)*time.Millisecond - (d.now - d.learnedAt)
	remaining := -maxIdle
	for _, p := range promises {
		if p.from.Identity == duty.Owner {
			return max(recorded, -time.Duration(p.IdleMs)*time.Millisecond, -maxIdle)
		}
		for _, a := range p.Answered {
			if a.Identity == duty.Owner {
				remaining = max(remaining, LeaseDuration+leaseMargin-time.Duration(a.AgeMs)*time.Millisecond)
			}
		}
	}
	return max(recorded, remaining)
}

// maxIdle bounds the idle time that is recorded for a shard.
const maxIdle = 3 * time.Second
