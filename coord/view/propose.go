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
	began    time.Duration // this half of it
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
		case d.now >= p.began+min(giveUpAfter<<d.inVain, mostGiveUp):
			d.inVain = min(d.inVain+1, 2)
			d.abandon()
		case p.value == nil && p.enoughAt > 0 && d.collected(p):
			d.choose()
		}
		return
	}
	if d.now < d.lookAt {
		return
	}
	d.lookAt = d.now + lookEvery
	if !d.mayVote() || !d.status.Healthy || !d.wanted() {
		d.wantAt = 0
		return
	}
	if d.wantAt == 0 {
		d.wantAt = d.now
	}
	if d.now >= d.notUntil && d.now >= d.mayPropose() && d.majorityLives() {
		d.propose()
	}
}

// mayPropose is when this process may propose, if another view is wanted by then: one after the other, and not while the proposal of another
// that it has promised to vote on goes on. Two at once would hinder each other, the more the slower the processes are.
func (d *Decider) mayPropose() time.Duration {
	turn := time.Duration(d.rank()) * staggered
	if d.IsSealed() && d.promised.Proposer != d.c.Self.Identity {
		return max(d.wantAt, d.sealedAt+sealedFor) + turn
	}
	return d.wantAt + turn
}

// collected tells that no further promises are to be waited for: all have come, or all of those that live and the others had their time.
func (d *Decider) collected(p *proposal) bool {
	if len(p.promises) == len(d.voters()) || d.now >= p.enoughAt+collectAtMost {
		return true
	}
	for _, m := range d.view.Members {
		if p.promises[m.Address] == nil && d.standingOfIdentity(m.Identity) >= leaving {
			return false
		}
	}
	return d.now >= p.enoughAt+collectFor
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
	if d.proposal != nil && r.Instance == d.proposal.instance && Less(d.proposal.ballot, r.Promised) {
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
		if m.AcceptedView != nil && (best == nil || Less(best.AcceptedBallot, m.AcceptedBallot)) {
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
	p.began = d.now // the second half
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
	v := &coordpb.View{Epoch: d.view.Epoch + 1, MembersSince: d.view.MembersSince}
	v.Members = d.nextMembers(source.from, func(identity uint64) bool {
		m := MemberOf(d.view, identity)
		p := promises[m.GetAddress()]
		return p != nil && p.from.Identity == identity && p.Position.StateEpoch == d.view.Epoch
	})
	if !sameMembers(v.Members, d.view.Members) {
		v.MembersSince = v.Epoch
	}
	v.Chain = d.chain(v, source, promises)
	if len(v.Chain) < LeastChain(len(v.Members), d.c.Tolerance) {
		return nil
	}
	v.Duties = d.duties(v, promises)
	return v
}

// source is the member whose state is complete: of those that promised the one that is furthest. All epochs after the last one that it
// completed are of the present members, and had one of those that promised in their chain, so nothing was committed in them. Where there
// are others between, nothing can be said.
func (d *Decider) source(promises map[string]*promised) *promised {
	var best *promised
	for _, m := range promises {
		if best == nil || Further(m.Position, best.Position) || !Further(best.Position, m.Position) && d.better(m, best) {
			best = m
		}
	}
	if best == nil || best.Position.StateEpoch+1 < d.view.MembersSince {
		return nil
	}
	return best
}

// better tells which of two members goes first of those whose states are the same: one that can go on, as it was in the present chain.
func (d *Decider) better(a, b *promised) bool {
	if a.standing() != b.standing() {
		return a.standing() > b.standing()
	}
	return d.order(a.from, b.from) < 0
}

// standing is how far who gave a promise can be counted on.
func (p *promised) standing() standing {
	switch {
	case p.Leaving:
		return leaving
	case !p.Healthy:
		return unfit
	}
	return fit
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

// chain is the chain of the next view: the source first, then those that are fit and have the state; where these are too few, also those
// that are about to end, then those that lack much of the state.
func (d *Decider) chain(v *coordpb.View, source *promised, promises map[string]*promised) []uint64 {
	var ready, ending, lacking []*coordpb.Member
	for _, m := range v.Members {
		if m.Identity == source.from.Identity {
			continue
		}
		at, position := d.standingNow(m, promises)
		inChain := slices.Contains(d.view.Chain, m.Identity)
		switch {
		case at == leaving:
			ending = append(ending, m)
		case at == fit && (inChain || behind(position, source.Position) == 0):
			ready = append(ready, m)
		case at == fit:
			lacking = append(lacking, m)
		}
	}
	lists := [][]uint64{{source.from.Identity}}
	for _, list := range [][]*coordpb.Member{ready, ending, lacking} {
		slices.SortStableFunc(list, d.order)
		lists = append(lists, identities(list))
	}
	lists[0] = append(lists[0], lists[1]...)
	return longEnough(LeastChain(len(v.Members), d.c.Tolerance), lists[0], lists[2], lists[3])
}

func identities(members []*coordpb.Member) (all []uint64) {
	for _, m := range members {
		all = append(all, m.Identity)
	}
	return all
}

// standingNow is how far a member of the next view can be counted on, and its position: as it promised, or for one that had no vote as
// was heard of it. A member that did not promise is left out.
func (d *Decider) standingNow(m *coordpb.Member, promises map[string]*promised) (standing, *coordpb.Position) {
	if p := promises[m.Address]; p != nil && p.from.Identity == m.Identity {
		return p.standing(), p.Position
	}
	if MemberOf(d.view, m.Identity) != nil {
		return gone, nil
	}
	return d.standingOfIdentity(m.Identity), d.positionOf(m.Identity)
}

func sameMembers(a, b []*coordpb.Member) bool {
	return slices.EqualFunc(a, b, func(x, y *coordpb.Member) bool { return x.Identity == y.Identity && x.Address == y.Address })
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
