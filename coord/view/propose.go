package view

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
)

// proposal is one try of this process to have a view agreed on.
type proposal struct {
	instance uint64
	ballot   *coordpb.Ballot
	began    time.Duration
	enoughAt time.Duration // a majority had promised
	promises map[string]*promised
	value    *coordpb.View // that is voted on, nil while promises are collected
	accepted map[string]bool
}

// promised is a promise with who gave it.
type promised struct {
	*coordpb.Promise
	from *coordpb.Member
}

// voters are the addresses of those who vote on the next view.
func (d *Decider) voters() []string {
	if d.view.Epoch == 0 {
		return d.c.Seeds
	}
	var all []string
	for _, m := range d.view.Members {
		all = append(all, m.Address)
	}
	return all
}

// isVoter tells whether a message is from one of the voters, in the life of its storage that votes.
func (d *Decider) isVoter(from *coordpb.Member) bool {
	if d.view.Epoch == 0 {
		return slices.Contains(d.c.Seeds, from.Address)
	}
	m := MemberOf(d.view, from.Identity)
	return m != nil && m.Address == from.Address
}

// dueProposal begins a proposal where one is called for, and goes on with the one under way.
func (d *Decider) dueProposal() {
	if p := d.proposal; p != nil {
		switch {
		case d.now >= p.began+giveUpAfter:
			d.abandon()
		case p.value == nil && p.enoughAt > 0 && (d.now >= p.enoughAt+collectFor || len(p.promises) == len(d.voters())):
			d.choose()
		}
		return
	}
	if !d.mayVote() || !d.status.Healthy || !d.wanted() {
		d.wantAt = 0
		return
	}
	if d.wantAt == 0 {
		d.wantAt = d.now
	}
	if d.now >= d.notUntil && d.now >= d.wantAt+time.Duration(d.rank())*staggered && d.majorityLives() {
		d.propose()
	}
}

// rank is this process's place among the voters that live.
func (d *Decider) rank() int {
	rank := 0
	for _, address := range d.voters() {
		if address == d.c.Self.Address {
			break
		}
		if p := d.peers[address]; p != nil && d.alive(p) {
			rank++
		}
	}
	return rank
}

func (d *Decider) majorityLives() bool {
	living := 0
	for _, address := range d.voters() {
		p := d.peers[address]
		if address == d.c.Self.Address || p != nil && d.alive(p) && (d.view.Epoch > 0 || p.founder) {
			living++
		}
	}
	return living >= Majority(len(d.voters()))
}

// propose asks all voters for their promises.
func (d *Decider) propose() {
	d.round++
	d.proposal = &proposal{instance: d.view.Epoch + 1, ballot: &coordpb.Ballot{Round: d.round, Proposer: d.c.Self.Identity}, began: d.now,
		promises: map[string]*promised{}, accepted: map[string]bool{}}
	d.toVoters(func() *coordpb.Message {
		return &coordpb.Message{Body: &coordpb.Message_Prepare{Prepare: &coordpb.Prepare{Instance: d.proposal.instance, Ballot: d.proposal.ballot, View: d.viewOrNil()}}}
	})
}

func (d *Decider) viewOrNil() *coordpb.View {
	if d.view.Epoch == 0 {
		return nil
	}
	return d.view
}

// toVoters sends a message to all voters, this process among them.
func (d *Decider) toVoters(make func() *coordpb.Message) {
	for _, address := range d.voters() {
		d.send(address, make())
	}
}

// abandon gives up a proposal; the next one waits for a moment, so that two proposers do not hinder each other for ever.
func (d *Decider) abandon() {
	d.proposal = nil
	d.notUntil = d.now + time.Duration(d.rng.Int64N(int64(mostBackoff))) + mostBackoff/4
}

func (d *Decider) takeReject(r *coordpb.Reject) {
	if r.Promised != nil {
		d.round = max(d.round, r.Promised.Round)
	}
	if d.proposal != nil && r.Instance == d.proposal.instance && less(d.proposal.ballot, r.Promised) {
		d.abandon()
	}
}

func (d *Decider) takePromise(from *coordpb.Member, m *coordpb.Promise) {
	p := d.proposal
	if p == nil || m.Instance != p.instance || !proto.Equal(m.Ballot, p.ballot) || p.value != nil || !d.isVoter(from) {
		return
	}
	if m.Position == nil {
		m.Position = &coordpb.Position{}
	}
	p.promises[from.Address] = &promised{m, from}
	if p.enoughAt == 0 && len(p.promises) >= Majority(len(d.voters())) {
		p.enoughAt = d.now
	}
}

// choose asks the voters to vote for a view: the one that may have been decided already, or else the one that is wanted.
func (d *Decider) choose() {
	p := d.proposal
	var best *promised
	for _, m := range p.promises {
		if m.AcceptedView != nil && (best == nil || less(best.AcceptedBallot, m.AcceptedBallot)) {
			best = m
		}
	}
	switch {
	case best != nil:
		p.value = best.AcceptedView
	case p.instance == 1:
		p.value = d.first()
	default:
		p.value = d.next(p.promises)
	}
	if p.value == nil {
		d.abandon()
		return
	}
	d.toVoters(func() *coordpb.Message {
		return &coordpb.Message{Body: &coordpb.Message_Accept{Accept: &coordpb.Accept{Instance: p.instance, Ballot: p.ballot, View: p.value}}}
	})
}

func (d *Decider) takeAccepted(from *coordpb.Member, m *coordpb.Accepted) {
	p := d.proposal
	if p == nil || p.value == nil || m.Instance != p.instance || !proto.Equal(m.Ballot, p.ballot) || !d.isVoter(from) {
		return
	}
	p.accepted[from.Address] = true
	if len(p.accepted) < Majority(len(d.voters())) {
		return
	}
	before := d.targets()
	d.learn(p.value)
	for _, address := range before {
		d.send(address, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: d.view}}})
	}
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

// first is the first view: seeds go before others.
func (d *Decider) first() *coordpb.View {
	all := d.candidates()
	slices.SortStableFunc(all, func(a, b *coordpb.Member) int {
		return cmp.Compare(place(d.c.Seeds, a.Address), place(d.c.Seeds, b.Address))
	})
	all = all[:min(len(all), Target(d.c.Tolerance))]
	if len(all) == 0 {
		return nil
	}
	v := &coordpb.View{Epoch: 1, Members: all, MembersSince: 1}
	for _, m := range all {
		v.Chain = append(v.Chain, m.Identity)
	}
	v.Duties = d.duties(v, nil)
	return v
}

// place is the index of an address, or the number of addresses for none.
func place(addresses []string, address string) int {
	if i := slices.Index(addresses, address); i >= 0 {
		return i
	}
	return len(addresses)
}

// next is the view to follow the present one, from the promises of a majority of its members; nil where none can be had now.
func (d *Decider) next(promises map[string]*promised) *coordpb.View {
	source := d.source(promises)
	if source == nil {
		return nil
	}
	v := &coordpb.View{Epoch: d.view.Epoch + 1, Members: d.view.Members, MembersSince: d.view.MembersSince}
	if d.settled(promises) {
		v.Members = d.members(promises)
	}
	if !sameMembers(v.Members, d.view.Members) {
		v.MembersSince = v.Epoch
	}
	if MemberOf(v, source.Identity) == nil {
		return nil
	}
	v.Chain = d.chain(v, source, promises)
	if len(v.Chain) < LeastChain(len(v.Members), d.c.Tolerance) {
		return nil
	}
	v.Duties = d.duties(v, promises)
	return v
}

// settled tells that so many have completed the present epoch that one of them is left whatever is tolerated. Only then the members may
// change: the next ones can tell by it that nothing was committed in an epoch of members whom they can't ask.
func (d *Decider) settled(promises map[string]*promised) bool {
	complete := 0
	for _, m := range promises {
		if m.Position.StateEpoch == d.view.Epoch && slices.Contains(d.view.Chain, m.from.Identity) {
			complete++
		}
	}
	return complete >= LeastChain(len(d.view.Members), d.c.Tolerance)
}

// source is the member whose state is complete: of those that promised the one that is furthest. All epochs after the last one that it
// completed are of the present members, and had one of those that promised in their chain, so nothing was committed in them. Where there
// are others between, nothing can be said.
func (d *Decider) source(promises map[string]*promised) *coordpb.Member {
	var best *promised
	for _, m := range promises {
		if best == nil || further(m.Position, best.Position) || !further(best.Position, m.Position) && d.better(m, best) {
			best = m
		}
	}
	if best == nil || best.Position.StateEpoch+1 < d.view.MembersSince {
		return nil
	}
	return best.from
}

// better tells which of two members goes first of those whose states are the same: one that can go on, as it was in the present chain.
func (d *Decider) better(a, b *promised) bool {
	if a.Healthy != b.Healthy {
		return a.Healthy
	}
	return d.order(a.from, b.from) < 0
}

// further tells whether a state has more in it than another.
func further(a, b *coordpb.Position) bool {
	return cmp.Or(cmp.Compare(a.StateEpoch, b.StateEpoch), cmp.Compare(a.Sequence, b.Sequence)) > 0
}

// order compares the places of members in a new chain: as it was in the present one, those outside last.
func (d *Decider) order(a, b *coordpb.Member) int {
	in := func(m *coordpb.Member) int {
		if i := slices.Index(d.view.Chain, m.Identity); i >= 0 {
			return i
		}
		return len(d.view.Chain)
	}
	return cmp.Or(cmp.Compare(in(a), in(b)), cmp.Compare(a.Address, b.Address))
}

// members are those of the next view: the present ones, with those that are gone replaced by processes that stand by.
func (d *Decider) members(promises map[string]*promised) []*coordpb.Member {
	members := slices.Clone(d.view.Members)
	spare := d.standBy()
	for i, m := range members {
		if promises[m.Address] != nil || !d.lost(m) {
			continue
		}
		at := slices.IndexFunc(spare, func(s *coordpb.Member) bool { return s.Address == m.Address })
		if at < 0 && d.replaced(m) && len(spare) > 0 {
			at = 0
		}
		if at >= 0 {
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

// standBy are the processes that may become members: fit for a while, and none yet.
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
	return all
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

// replaced tells that a member has been gone for so long that another process may take its place.
func (d *Decider) replaced(m *coordpb.Member) bool {
	p := d.peers[m.Address]
	if p == nil {
		return d.now-d.began >= replaceAfter
	}
	return p.member.Identity != m.Identity || d.now-p.heard >= replaceAfter
}

// chain is the chain of the next view: the source first, then all others that are fit.
func (d *Decider) chain(v *coordpb.View, source *coordpb.Member, promises map[string]*promised) []uint64 {
	rest := slices.DeleteFunc(slices.Clone(v.Members), func(m *coordpb.Member) bool {
		if m.Identity == source.Identity {
			return true
		}
		if p := promises[m.Address]; p != nil && p.from.Identity == m.Identity {
			return !p.Healthy
		}
		return MemberOf(d.view, m.Identity) != nil || !d.fitIdentity(m.Identity)
	})
	slices.SortStableFunc(rest, d.order)
	chain := []uint64{source.Identity}
	for _, m := range rest {
		chain = append(chain, m.Identity)
	}
	return chain
}

func sameMembers(a, b []*coordpb.Member) bool {
	return slices.EqualFunc(a, b, func(x, y *coordpb.Member) bool { return x.Identity == y.Identity && x.Address == y.Address })
}

// wanted tells whether another view is called for.
func (d *Decider) wanted() bool {
	if d.view.Epoch == 0 {
		return d.mayFound()
	}
	if d.IsSealed() && d.now >= d.sealedAt+sealedFor || d.status.Stuck {
		return true
	}
	fit := 0
	settled := true
	for _, m := range d.view.Members {
		inChain := slices.Contains(d.view.Chain, m.Identity)
		if !d.fitIdentity(m.Identity) {
			settled = settled && !inChain
			continue
		}
		fit++
		if p := d.peers[m.Address]; !inChain && (p == nil || d.now-p.since >= settledAfter) {
			settled = false
		}
	}
	if !settled && fit >= LeastChain(len(d.view.Members), d.c.Tolerance) && fit >= Majority(len(d.view.Members)) {
		return true
	}
	return fit >= Majority(len(d.view.Members)) && d.complete() && !sameMembers(d.members(nil), d.view.Members)
}

// complete tells whether so many are known to have completed the present epoch that the members may change.
func (d *Decider) complete() bool {
	complete := 0
	for _, identity := range d.view.Chain {
		position := d.status.Position
		if identity != d.c.Self.Identity {
			p := d.peerOf(identity)
			if p == nil || !d.alive(p) {
				continue
			}
			position = p.position
		}
		if position.GetStateEpoch() == d.view.Epoch {
			complete++
		}
	}
	return complete >= LeastChain(len(d.view.Members), d.c.Tolerance)
}

// mayFound tells whether the first view may be proposed: enough processes are there and nobody new has come for a while, or it has
// been waited for long enough.
func (d *Decider) mayFound() bool {
	all := d.candidates()
	last := d.began
	for _, p := range d.peers {
		last = max(last, p.first)
	}
	seeds := 0
	for _, m := range all {
		if slices.Contains(d.c.Seeds, m.Address) {
			seeds++
		}
	}
	enough := len(all) >= Target(d.c.Tolerance) && seeds >= Majority(len(d.c.Seeds))
	if enough && (d.now >= last+foundAfter || len(all) >= Target(d.c.Tolerance) && seeds == len(d.c.Seeds)) {
		return true
	}
	return d.now >= d.began+foundAtLast && seeds >= Majority(len(d.c.Seeds))
}
