package view

import (
	"cmp"
	"slices"

	"reachspread/coord/coordpb"
)

// candidates returns the healthy processes that may be members, this one included, sorted by
// address.
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

// standbys returns the processes that may become members: healthy, eligible peers that aren't
// members yet and have sent heartbeats without a gap for stabilityDelay. Standbys that have caught
// up come first.
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

// nextMembers returns the members of the next view: the current members, with standbys in place of
// dead, unhealthy and draining ones. Draining members stay if too few of the new members would have
// completed the epoch. If there are still too few, the current members stay.
func (d *Decider) nextMembers(source *coordpb.Member, hasCompleted func(identity uint64) bool) []*coordpb.Member {
	for _, threshold := range []peerState{peerDraining, peerDead} {
		members := d.membersReplacing(source, threshold)
		if d.isComplete(members, hasCompleted) {
			return members
		}
	}
	return d.view.Members
}

// membersReplacing returns the current members with standbys in place of those that can be
// replaced, and with further standbys up to the target number of members. With threshold
// peerDraining it also replaces draining members; with peerDead it replaces only lost or failed
// ones. It never replaces the source of the state.
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

// replacementFor returns the index of the standby that replaces a member, or -1 for none. A process
// at the same address replaces a lost member at once. Any other standby replaces a member only if
// isReplaceable reports true. A draining member still works, so only a standby that has caught up
// replaces it.
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

// isLost reports whether a member is dead or another incarnation runs at its address.
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

// isReplaceable reports whether any standby may replace a member: the member has been dead for
// replaceTimeout, its storage has failed for replaceUnhealthyTimeout, or another incarnation runs
// at its address.
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

// isComplete reports whether a list of members may become the members of the next view. At least
// MinChainLength of them must be in the current chain and have completed the current epoch, so that
// one of these survives any tolerated loss. The state of that one shows the new members that
// nothing was committed in an epoch whose members they can't ask (see syncSource).
func (d *Decider) isComplete(members []*coordpb.Member, hasCompleted func(identity uint64) bool) bool {
	complete := 0
	for _, m := range members {
		if slices.Contains(d.view.Chain, m.Identity) && hasCompleted(m.Identity) {
			complete++
		}
	}
	return complete >= MinChainLength(len(d.view.Members), d.config.Tolerance)
}
