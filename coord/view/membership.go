package view

import (
	"cmp"
	"slices"

	"reachspread/coord/coordpb"
)

// candidates are the healthy processes that may be members, this one included, by address.
func (d *Decider) candidates() []*coordpb.Member {
	var all []*coordpb.Member
	if d.config.Eligible && d.status.Healthy {
		all = append(all, d.config.Self)
	}
	for _, p := range d.peers {
		if d.isHealthy(p) && p.eligible {
			all = append(all, p.member)
		}
	}
	slices.SortFunc(all, func(a, b *coordpb.Member) int { return cmp.Compare(a.Address, b.Address) })
	return all
}

// standbys are the processes that may become members: eligible ones that have been healthy for
// a while and aren't members yet. Those that have caught up come first.
func (d *Decider) standbys() []*coordpb.Member {
	var all []*coordpb.Member
	for _, m := range d.candidates() {
		if MemberOf(d.view, m.Identity) != nil || m.Identity == d.config.Self.Identity {
			continue
		}
		if p := d.peers[m.Address]; d.now-p.aliveSince >= stabilityDelay {
			all = append(all, m)
		}
	}
	newest := d.newestPosition()
	slices.SortStableFunc(all, func(a, b *coordpb.Member) int {
		return cmp.Compare(lagRank(d.peers[a.Address].position, newest), lagRank(d.peers[b.Address].position, newest))
	})
	return all
}

// nextMembers returns the members of the next view: the present ones, with those that are dead,
// unhealthy or draining replaced as far as enough of the others have completed the epoch.
func (d *Decider) nextMembers(source *coordpb.Member, hasCompleted func(identity uint64) bool) []*coordpb.Member {
	for _, threshold := range []peerState{peerDraining, peerDead} {
		members := d.membersReplacing(source, threshold)
		if d.isComplete(members, hasCompleted) {
			return members
		}
	}
	return d.view.Members
}

// membersReplacing returns the present members, with standbys in place of those that can be
// replaced and, up to the target, added to them. With threshold peerDraining draining members
// are replaced as well, with peerDead only those that are lost. The source of the state stays.
func (d *Decider) membersReplacing(source *coordpb.Member, threshold peerState) []*coordpb.Member {
	members := slices.Clone(d.view.Members)
	available := d.standbys()
	for i, m := range members {
		if m.Identity == source.GetIdentity() {
			continue
		}
		if at := d.replacementFor(m, available, threshold); at >= 0 {
			members[i] = available[at]
			available = slices.Delete(available, at, at+1)
		}
	}
	for len(members) < TargetMembers(d.config.Tolerance) && len(available) > 0 {
		members = append(members, available[0])
		available = available[1:]
	}
	return members
}

// replacementFor returns the index of the standby that replaces a member, -1 for none. A lost
// member is replaced by a process at the same address at once, by any other one only when
// isReplaceable. A draining member, which still works, is replaced only by a standby that has
// caught up.
func (d *Decider) replacementFor(m *coordpb.Member, standbys []*coordpb.Member, threshold peerState) int {
	if d.isLost(m) {
		if at := slices.IndexFunc(standbys, func(s *coordpb.Member) bool { return s.Address == m.Address }); at >= 0 {
			return at
		}
	}
	if len(standbys) == 0 {
		return -1
	}
	if d.isReplaceable(m) {
		return 0
	}
	draining := threshold >= peerDraining && d.stateOfIdentity(m.Identity) == peerDraining
	if draining && lagRank(d.positionOf(standbys[0].Identity), d.newestPosition()) == 0 {
		return 0
	}
	return -1
}

// isLost reports whether a member is dead, or another incarnation runs at its address.
func (d *Decider) isLost(m *coordpb.Member) bool {
	if m.Identity == d.config.Self.Identity {
		return false
	}
	p := d.peers[m.Address]
	if p == nil {
		return d.now-d.startedAt >= suspectTimeout
	}
	return p.member.Identity != m.Identity || !d.alive(p)
}

// isReplaceable reports whether a member has been dead, or its storage has failed, for so long
// that another process may take its place.
func (d *Decider) isReplaceable(m *coordpb.Member) bool {
	if m.Identity == d.config.Self.Identity {
		return false
	}
	p := d.peers[m.Address]
	if p == nil {
		return d.now-d.startedAt >= replaceTimeout
	}
	failed := p.unhealthySince > 0 && d.now-p.unhealthySince >= replaceUnhealthyTimeout
	return p.member.Identity != m.Identity || d.now-p.heartbeatAt >= replaceTimeout || failed
}

// isComplete reports whether so many members of the chain have completed the present epoch and
// stay among some members that one of them is left whatever is tolerated. Only then these may
// become the members: they can tell from it that nothing was committed in an epoch whose
// members they can't ask (see syncSource).
func (d *Decider) isComplete(members []*coordpb.Member, hasCompleted func(identity uint64) bool) bool {
	complete := 0
	for _, m := range members {
		if slices.Contains(d.view.Chain, m.Identity) && hasCompleted(m.Identity) {
			complete++
		}
	}
	return complete >= MinChainLength(len(d.view.Members), d.config.Tolerance)
}
