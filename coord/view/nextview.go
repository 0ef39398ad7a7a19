package view

import (
	"cmp"
	"slices"

	"reachspread/coord/coordpb"
)

// foundingView returns the first view, with the seeds before other processes; nil if no process
// is eligible.
func (d *Decider) foundingView() *coordpb.View {
	all := d.candidates()
	slices.SortStableFunc(all, func(a, b *coordpb.Member) int {
		return cmp.Compare(indexOrLen(d.config.Seeds, a.Address), indexOrLen(d.config.Seeds, b.Address))
	})
	all = all[:min(len(all), TargetMembers(d.config.Tolerance))]
	if len(all) == 0 {
		return nil
	}
	v := &coordpb.View{Epoch: 1, Members: all, MembersSince: 1}
	for _, m := range all {
		v.Chain = append(v.Chain, m.Identity)
	}
	v.Duties = d.assignShards(v, nil)
	return v
}

// nextView returns the view after the present one, given the promises of a majority of its
// members; nil if none is possible now.
func (d *Decider) nextView(promises map[string]*promiseFrom) *coordpb.View {
	source := d.syncSource(promises)
	if source == nil {
		return nil
	}
	v := &coordpb.View{Epoch: d.view.Epoch + 1, MembersSince: d.view.MembersSince}
	v.Members = d.nextMembers(source.from, func(identity uint64) bool {
		m := MemberOf(d.view, identity)
		p := promises[m.GetAddress()]
		return p != nil && p.from.Identity == identity && p.Position.StateEpoch == d.view.Epoch
	})
	if !sameMembers(v.Members, d.view.Members) {
		v.MembersSince = v.Epoch
	}
	v.Chain = d.nextChain(v, source, promises)
	if len(v.Chain) < MinChainLength(len(v.Members), d.config.Tolerance) {
		return nil
	}
	v.Duties = d.assignShards(v, promises)
	return v
}

// syncSource returns the promise of the member whose state the next epoch begins with: the
// furthest of those that promised. That state has all committed changes, if the member has
// completed the epoch before the present members came, or a later one: each epoch since then
// was of the same members, and one of those that promised was in its chain, so nothing was
// committed in the epochs that the source hasn't completed. Otherwise nothing can be said, and
// syncSource returns nil.
func (d *Decider) syncSource(promises map[string]*promiseFrom) *promiseFrom {
	var best *promiseFrom
	for _, m := range promises {
		if best == nil || IsAhead(m.Position, best.Position) || !IsAhead(best.Position, m.Position) && d.preferredAsSource(m, best) {
			best = m
		}
	}
	if best == nil || best.Position.StateEpoch+1 < d.view.MembersSince {
		return nil
	}
	return best
}

// preferredAsSource reports whether of two members with the same state a goes first: the
// healthier one, or the one further ahead in the present chain.
func (d *Decider) preferredAsSource(a, b *promiseFrom) bool {
	if a.state() != b.state() {
		return a.state() > b.state()
	}
	return d.compareChainOrder(a.from, b.from) < 0
}

// compareChainOrder compares members by their order in the present chain. Those outside it come
// last, by address.
func (d *Decider) compareChainOrder(a, b *coordpb.Member) int {
	chainIndex := func(m *coordpb.Member) int {
		if i := slices.Index(d.view.Chain, m.Identity); i >= 0 {
			return i
		}
		return len(d.view.Chain)
	}
	return cmp.Or(cmp.Compare(chainIndex(a), chainIndex(b)), cmp.Compare(a.Address, b.Address))
}

// nextChain returns the chain of the next view: the source, then the healthy members that are
// in the present chain or have caught up; if these are too few also draining ones, then lagging
// ones.
func (d *Decider) nextChain(v *coordpb.View, source *promiseFrom, promises map[string]*promiseFrom) []uint64 {
	var ready, draining, lagging []*coordpb.Member
	for _, m := range v.Members {
		if m.Identity == source.from.Identity {
			continue
		}
		state, position := d.stateAndPosition(m, promises)
		inChain := slices.Contains(d.view.Chain, m.Identity)
		switch {
		case state == peerDraining:
			draining = append(draining, m)
		case state == peerHealthy && (inChain || lagRank(position, source.Position) == 0):
			ready = append(ready, m)
		case state == peerHealthy:
			lagging = append(lagging, m)
		}
	}
	lists := [][]uint64{{source.from.Identity}}
	for _, list := range [][]*coordpb.Member{ready, draining, lagging} {
		slices.SortStableFunc(list, d.compareChainOrder)
		lists = append(lists, identities(list))
	}
	lists[0] = append(lists[0], lists[1]...)
	return padChain(MinChainLength(len(v.Members), d.config.Tolerance), lists[0], lists[2], lists[3])
}

// stateAndPosition returns the state and position of a member of the next view: as it promised,
// or as was last heard of it if it had no vote. A voter that didn't promise counts as dead.
func (d *Decider) stateAndPosition(m *coordpb.Member, promises map[string]*promiseFrom) (peerState, *coordpb.Position) {
	if p := promises[m.Address]; p != nil && p.from.Identity == m.Identity {
		return p.state(), p.Position
	}
	if MemberOf(d.view, m.Identity) != nil {
		return peerDead, nil
	}
	return d.stateOfIdentity(m.Identity), d.positionOf(m.Identity)
}

// padChain returns the first list, and as much of the others as it takes to get to a length.
func padChain(minLength int, lists ...[]uint64) []uint64 {
	all := slices.Clone(lists[0])
	for _, list := range lists[1:] {
		missing := max(minLength-len(all), 0)
		all = append(all, list[:min(missing, len(list))]...)
	}
	return all
}
