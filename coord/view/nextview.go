package view

import (
	"cmp"
	"slices"

	"reachspread/coord/coordpb"
)

// foundingView returns the first view, which lists seeds before other processes. It returns nil if
// no healthy process is eligible.
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

// nextView returns the view that follows the current one, given the promises of a majority of the
// members. It returns nil if no such view is possible now.
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

// syncSource returns the promise of the member whose state the next epoch begins with. This is the
// most advanced state among those that promised. The state has all committed changes if its member
// has completed the last epoch before the current members took over (MembersSince-1) or a later
// one. Every epoch since then had the same members, and one of the members that promised was in its
// chain, so nothing was committed in the epochs that the source hasn't completed. Otherwise the
// state may lack committed changes, and syncSource returns nil.
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

// preferredAsSource reports whether member a is preferred to member b as the source when their
// positions are equal. The healthier member is preferred, then the one nearer to the head of the
// current chain.
func (d *Decider) preferredAsSource(a, b *promiseFrom) bool {
	if a.state() != b.state() {
		return a.state() > b.state()
	}
	return d.compareChainOrder(a.from, b.from) < 0
}

// compareChainOrder compares members by their order in the current chain. Members outside the chain
// come last, by address.
func (d *Decider) compareChainOrder(a, b *coordpb.Member) int {
	chainIndex := func(m *coordpb.Member) int {
		if i := slices.Index(d.view.Chain, m.Identity); i >= 0 {
			return i
		}
		return len(d.view.Chain)
	}
	return cmp.Or(cmp.Compare(chainIndex(a), chainIndex(b)), cmp.Compare(a.Address, b.Address))
}

// nextChain returns the chain of the next view: the source, followed by the healthy members that
// are in the current chain or have caught up. If the chain would be shorter than MinChainLength,
// nextChain adds draining members, then lagging ones.
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

// stateAndPosition returns the state and position of a member of the next view. They come from the
// promise of a voter, and from the last heartbeat of a process that has no vote. A voter that
// didn't promise counts as dead.
func (d *Decider) stateAndPosition(m *coordpb.Member, promises map[string]*promiseFrom) (peerState, *coordpb.Position) {
	if p := promises[m.Address]; p != nil && p.from.Identity == m.Identity {
		return p.state(), p.Position
	}
	if MemberOf(d.view, m.Identity) != nil {
		return peerDead, nil
	}
	return d.stateOfIdentity(m.Identity), d.positionOf(m.Identity)
}

// padChain returns the first list, followed by as many members of the other lists as it needs to
// reach minLength.
func padChain(minLength int, lists ...[]uint64) []uint64 {
	all := slices.Clone(lists[0])
	for _, list := range lists[1:] {
		missing := max(minLength-len(all), 0)
		all = append(all, list[:min(missing, len(list))]...)
	}
	return all
}
