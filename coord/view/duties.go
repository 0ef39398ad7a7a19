package view

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"reachspread/coord/coordpb"
)

const (
	// Shards is into how many parts the duties are dealt.
	Shards = 32
	// Lease is how long a member may act on its duties after a confirmation of its epoch began.
	Lease = 600 * time.Millisecond
	// leaseMargin is for clocks that do not run alike.
	leaseMargin = 50 * time.Millisecond
)

// Shard is the part of the duties that a key belongs to.
func Shard(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// Owner returns who has the duty of a key in a view; nil where nobody has.
func Owner(v *coordpb.View, key string) (*coordpb.Member, *coordpb.Duty) {
	if len(v.GetDuties()) != Shards {
		return nil, nil
	}
	duty := v.Duties[Shard(key)]
	return MemberOf(v, duty.Owner), duty
}

// duties deals the shards to the chain of a new view. Who has one and is still in the chain keeps it; the others go to those who have
// the fewest.
func (d *Decider) duties(v *coordpb.View, promises map[string]*promised) []*coordpb.Duty {
	before := d.view.GetDuties()
	load := map[uint64]int{}
	all := make([]*coordpb.Duty, Shards)
	for shard, old := range before {
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
		if shard < len(before) {
			all[shard].WaitMs = int32(d.leaseLeft(before[shard], promises).Milliseconds())
		}
	}
	return all
}

// leaseLeft is how long the owner of a shard, or one before it, may still act on it at most; below 0, for so long nobody has. One that has
// promised to leave the epoch does not act any more, and says since when. Of another one it is known by what a majority has confirmed to
// it: a confirmation that succeeds has an answer of at least one of them.
func (d *Decider) leaseLeft(duty *coordpb.Duty, promises map[string]*promised) time.Duration {
	before := time.Duration(duty.WaitMs)*time.Millisecond - (d.now - d.learnedAt)
	left := -mostIdle
	for _, p := range promises {
		if p.from.Identity == duty.Owner {
			return max(before, -time.Duration(p.IdleMs)*time.Millisecond, -mostIdle)
		}
		for _, a := range p.Answered {
			if a.Identity == duty.Owner {
				left = max(left, Lease+leaseMargin-time.Duration(a.AgeMs)*time.Millisecond)
			}
		}
	}
	return max(before, left)
}

// mostIdle bounds for how long nobody is said to have acted.
const mostIdle = 3 * time.Second
