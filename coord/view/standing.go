package view

import (
	"cmp"
	"slices"

	"reachspread/coord/coordpb"
)

// nearlyCaughtUp is how many changes a process may lack and still be taken into the chain: they come in one message.
const nearlyCaughtUp = 64

// standing is how far another process can be counted on.
type standing int

// The standings. Each is better than those before it.
const (
	gone    standing = iota // nothing is heard of it
	unfit                   // it lives, but its storage fails, or it does not hear this process
	leaving                 // it works, and is about to end
	fit
)

// alive tells that a peer was heard of in time, and that it hears this process.
func (d *Decider) alive(p *peer) bool { return p.member != nil && d.now-p.heard < suspectAfter }

// fit tells that a peer may be in a chain: it lives, hears this process, its storage works, and it is not about to end.
func (d *Decider) fit(p *peer) bool { return d.standingOf(p) == fit }

// standingOf is how far a peer can be counted on. Whether it hears this process is known some time after the first word of it.
func (d *Decider) standingOf(p *peer) standing {
	hears := p.hears || d.now-p.since < suspectAfter
	switch {
	case !d.alive(p):
		return gone
	case !hears || !p.healthy:
		return unfit
	case p.leaving:
		return leaving
	}
	return fit
}

// ownStanding is this process's own.
func (d *Decider) ownStanding() standing {
	switch {
	case !d.status.Healthy:
		return unfit
	case d.status.Leaving:
		return leaving
	}
	return fit
}

// peerOf returns the peer with an identity, nil for none.
func (d *Decider) peerOf(identity uint64) *peer {
	for _, p := range d.peers {
		if p.member.Identity == identity {
			return p
		}
	}
	return nil
}

// standingOfIdentity is how far a process, this one among them, can be counted on. Of one that was never heard of it is not known for a
// while.
func (d *Decider) standingOfIdentity(identity uint64) standing {
	if identity == d.c.Self.Identity {
		return d.ownStanding()
	}
	if p := d.peerOf(identity); p != nil {
		return d.standingOf(p)
	}
	m := MemberOf(d.view, identity)
	otherLife := m != nil && d.peers[m.Address] != nil
	if !otherLife && d.now-d.began < suspectAfter {
		return fit
	}
	return gone
}

// candidates are the processes that may be members and are fit, this one among them, in the order of their addresses.
func (d *Decider) candidates() []*coordpb.Member {
	var all []*coordpb.Member
	if d.c.Core && d.status.Healthy {
		all = append(all, d.c.Self)
	}
	for _, p := range d.peers {
		if d.fit(p) && p.eligible {
			all = append(all, p.member)
		}
	}
	slices.SortFunc(all, func(a, b *coordpb.Member) int { return cmp.Compare(a.Address, b.Address) })
	return all
}

// standBy are the processes that may become members: fit for a while, and none yet. Those that have the state go first.
func (d *Decider) standBy() []*coordpb.Member {
	var all []*coordpb.Member
	for _, m := range d.candidates() {
		if MemberOf(d.view, m.Identity) != nil || m.Identity == d.c.Self.Identity {
			continue
		}
		if p := d.peers[m.Address]; d.now-p.since >= settledAfter {
			all = append(all, m)
		}
	}
	newest := d.newest()
	slices.SortStableFunc(all, func(a, b *coordpb.Member) int {
		return cmp.Compare(behind(d.peers[a.Address].position, newest), behind(d.peers[b.Address].position, newest))
	})
	return all
}

// newest is the position of the state that is furthest, of all that this process knows of.
func (d *Decider) newest() *coordpb.Position {
	newest := d.status.Position
	for _, p := range d.peers {
		if Further(p.position, newest) {
			newest = p.position
		}
	}
	return newest
}

// behind is 0 for a state that lacks a few changes at most, 1 for another.
func behind(p, newest *coordpb.Position) int {
	if p.GetSequence()+nearlyCaughtUp < newest.GetSequence() {
		return 1
	}
	return 0
}

// Further tells whether a state has more in it than another.
func Further(a, b *coordpb.Position) bool {
	return cmp.Or(cmp.Compare(a.GetStateEpoch(), b.GetStateEpoch()), cmp.Compare(a.GetSequence(), b.GetSequence())) > 0
}

// positionOf is that of a process, as it last told; nil where it is not known.
func (d *Decider) positionOf(identity uint64) *coordpb.Position {
	if identity == d.c.Self.Identity {
		return d.status.Position
	}
	if p := d.peerOf(identity); p != nil {
		return p.position
	}
	return nil
}

// settled tells that so many of the chain have completed the present epoch, and stay among some members, that one of them is left whatever
// is tolerated. Only then these may become the members: they can tell by it that nothing was committed in an epoch of members whom they
// can't ask.
func (d *Decider) settled(members []*coordpb.Member, hasCompleted func(identity uint64) bool) bool {
	complete := 0
	for _, m := range members {
		if slices.Contains(d.view.Chain, m.Identity) && hasCompleted(m.Identity) {
			complete++
		}
	}
	return complete >= LeastChain(len(d.view.Members), d.c.Tolerance)
}

// hasCompleted tells whether a process is known to have completed the present epoch.
func (d *Decider) hasCompleted(identity uint64) bool {
	return d.standingOfIdentity(identity) != gone && d.positionOf(identity).GetStateEpoch() == d.view.Epoch
}

// nextMembers are the members of the view to follow: the present ones, with those that are gone, fail or are about to end replaced as far
// as enough of the others have the state. The source of the state stays.
func (d *Decider) nextMembers(source *coordpb.Member, hasCompleted func(identity uint64) bool) []*coordpb.Member {
	for _, least := range []standing{leaving, gone} {
		members := d.members(source, least)
		if d.settled(members, hasCompleted) {
			return members
		}
	}
	return d.view.Members
}

// members are the present ones, with those whose standing is no better than one replaced by processes that stand by.
func (d *Decider) members(source *coordpb.Member, replace standing) []*coordpb.Member {
	members := slices.Clone(d.view.Members)
	spare := d.standBy()
	for i, m := range members {
		if m.Identity == source.GetIdentity() {
			continue
		}
		if at := d.substitute(m, spare, replace); at >= 0 {
			members[i] = spare[at]
			spare = slices.Delete(spare, at, at+1)
		}
	}
	for len(members) < Target(d.c.Tolerance) && len(spare) > 0 {
		members = append(members, spare[0])
		spare = spare[1:]
	}
	return members
}

// substitute is the place of the process that takes a member's seat, below 0 for none: one at the same address once the member is lost,
// any other once it has been for a while. The seat of a member that still works and is about to end goes to one that has the state.
func (d *Decider) substitute(m *coordpb.Member, spare []*coordpb.Member, replace standing) int {
	if d.lost(m) {
		if at := slices.IndexFunc(spare, func(s *coordpb.Member) bool { return s.Address == m.Address }); at >= 0 {
			return at
		}
	}
	switch {
	case len(spare) == 0:
		return -1
	case d.replaced(m):
		return 0
	case replace < leaving || d.standingOfIdentity(m.Identity) != leaving || behind(d.positionOf(spare[0].Identity), d.newest()) > 0:
		return -1
	}
	return 0
}

// lost tells that a member can't be heard of, or that its address has another life by now.
func (d *Decider) lost(m *coordpb.Member) bool {
	if m.Identity == d.c.Self.Identity {
		return false
	}
	p := d.peers[m.Address]
	if p == nil {
		return d.now-d.began >= suspectAfter
	}
	return p.member.Identity != m.Identity || !d.alive(p)
}

// replaced tells that a member has been gone, or has failed, for so long that another process may take its place.
func (d *Decider) replaced(m *coordpb.Member) bool {
	if m.Identity == d.c.Self.Identity {
		return false
	}
	p := d.peers[m.Address]
	if p == nil {
		return d.now-d.began >= replaceAfter
	}
	failed := p.unfit > 0 && d.now-p.unfit >= replaceUnfit
	return p.member.Identity != m.Identity || d.now-p.heard >= replaceAfter || failed
}

// wanted tells whether another view is called for.
func (d *Decider) wanted() bool {
	if d.view.Epoch == 0 {
		return d.mayFound()
	}
	if d.IsSealed() && d.now >= d.sealedAt+sealedFor || d.status.Stuck {
		return true
	}
	chain := d.wantedChain(d.mayJoin())
	if len(chain) >= LeastChain(len(d.view.Members), d.c.Tolerance) && d.majorityWorks() && !sameIdentities(chain, d.view.Chain) {
		return true
	}
	return d.majorityWorks() && !sameMembers(d.nextMembers(nil, d.hasCompleted), d.view.Members)
}

// majorityWorks tells whether a majority of the members can vote.
func (d *Decider) majorityWorks() bool {
	working := 0
	for _, m := range d.view.Members {
		if d.standingOfIdentity(m.Identity) >= leaving {
			working++
		}
	}
	return working >= Majority(len(d.view.Members))
}

// mayJoin tells whether another member may be taken into the chain: where views did not change the chain, one that seems fit did not answer
// in time, and it is asked more and more seldom.
func (d *Decider) mayJoin() bool {
	if d.same == 0 {
		return true
	}
	wait := min(joinAgain<<min(d.same-1, 8), mostJoinAgain)
	return d.now >= d.learnedAt+wait
}

// wantedChain is who of the members would be in a chain that began now: those that are fit, and joined it before or have the state; and
// where these are too few, those that are about to end, then those that lack much of the state.
func (d *Decider) wantedChain(mayJoin bool) []uint64 {
	var ready, ending, lacking []uint64
	newest := d.newest()
	for _, m := range d.view.Members {
		inChain := slices.Contains(d.view.Chain, m.Identity)
		switch d.standingOfIdentity(m.Identity) {
		case fit:
			p := d.peers[m.Address]
			settled := inChain || mayJoin && (p == nil || d.now-p.since >= settledAfter)
			if settled && (inChain || behind(d.positionOf(m.Identity), newest) == 0) {
				ready = append(ready, m.Identity)
			} else if settled {
				lacking = append(lacking, m.Identity)
			}
		case leaving:
			ending = append(ending, m.Identity)
		}
	}
	return longEnough(LeastChain(len(d.view.Members), d.c.Tolerance), ready, ending, lacking)
}

// longEnough is the first of some lists, and as much of the others as makes it so long.
func longEnough(least int, lists ...[]uint64) []uint64 {
	all := slices.Clone(lists[0])
	for _, list := range lists[1:] {
		missing := max(least-len(all), 0)
		all = append(all, list[:min(missing, len(list))]...)
	}
	return all
}

func sameIdentities(a, b []uint64) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}

// MayEnd tells whether the others can do without this process, which is about to end: as many have the state of the present epoch as are
// needed, and its seat went to another where there is one for it.
func (d *Decider) MayEnd() bool {
	if d.view.Epoch == 0 {
		return true
	}
	member := MemberOf(d.view, d.c.Self.Identity) != nil
	if member && len(d.standBy()) > 0 {
		return false
	}
	others := slices.DeleteFunc(slices.Clone(d.view.Members), func(m *coordpb.Member) bool { return m.Identity == d.c.Self.Identity })
	return d.settled(others, d.hasCompleted) || d.allLeave(others)
}

// allLeave tells that all members end: nobody is there for whom to wait.
func (d *Decider) allLeave(members []*coordpb.Member) bool {
	return !slices.ContainsFunc(members, func(m *coordpb.Member) bool { return d.standingOfIdentity(m.Identity) != leaving })
}

// Bears is how many members more may be lost at once without the state being lost or the register standing still, as this process knows it;
// the tolerance at most.
func (d *Decider) Bears() int {
	if MemberOf(d.view, d.c.Self.Identity) == nil {
		return 0
	}
	working, whole := 0, 0
	for _, m := range d.view.Members {
		if d.standingOfIdentity(m.Identity) != fit {
			continue
		}
		working++
		if slices.Contains(d.view.Chain, m.Identity) && d.hasCompleted(m.Identity) {
			whole++
		}
	}
	return max(min(working-Majority(len(d.view.Members)), whole-1, d.c.Tolerance), 0)
}
