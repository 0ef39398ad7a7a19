package view

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
)

// proposal is an attempt of this process to have a view chosen.
type proposal struct {
	instance       uint64
	number         *coordpb.Ballot
	phaseStartedAt time.Duration
	quorumAt       time.Duration           // when a majority had promised, 0 before
	promises       map[string]*promiseFrom // by address
	value          *coordpb.View           // that is to be accepted, nil in the first phase
	accepted       map[string]bool         // by address
}

// promiseFrom is a promise and the acceptor that gave it.
type promiseFrom struct {
	*coordpb.Promise
	from *coordpb.Member
}

// state is how far the acceptor can be relied on, by its promise.
func (p *promiseFrom) state() peerState {
	switch {
	case p.Leaving:
		return peerDraining
	case !p.Healthy:
		return peerUnhealthy
	}
	return peerHealthy
}

// voters are the addresses of the acceptors of the next view.
func (d *Decider) voters() []string {
	if d.view.Epoch == 0 {
		return d.config.Seeds
	}
	var all []string
	for _, m := range d.view.Members {
		all = append(all, m.Address)
	}
	return all
}

// isVoter reports whether a message is from an acceptor of the next view, and from the
// incarnation of its storage that is a member.
func (d *Decider) isVoter(from *coordpb.Member) bool {
	if d.view.Epoch == 0 {
		return slices.Contains(d.config.Seeds, from.Address)
	}
	m := MemberOf(d.view, from.Identity)
	return m != nil && m.Address == from.Address
}

// driveProposal continues the proposal in progress, or begins one if another view is needed.
func (d *Decider) driveProposal() {
	if d.proposal != nil {
		d.continueProposal(d.proposal)
		return
	}
	if d.now < d.nextEvaluation {
		return
	}
	d.nextEvaluation = d.now + evaluationInterval
	if !d.isAcceptor() || !d.status.Healthy || !d.viewChangeNeeded() {
		d.changeNeededSince = 0
		return
	}
	if d.changeNeededSince == 0 {
		d.changeNeededSince = d.now
	}
	if d.now >= d.nextProposal && d.now >= d.earliestProposal() && d.majorityAlive() {
		d.propose()
	}
}

// continueProposal gives up a proposal whose phase takes too long, and begins its second phase once
// the promises are complete.
func (d *Decider) continueProposal(p *proposal) {
	timeout := min(proposalTimeout<<d.failedProposals, maxProposalTimeout)
	switch {
	case d.now >= p.phaseStartedAt+timeout:
		d.failedProposals = min(d.failedProposals+1, 2)
		d.abandonProposal()
	case p.value == nil && p.quorumAt > 0 && d.promisesComplete(p):
		d.beginAcceptPhase()
	}
}

// earliestProposal is when this process may propose if another view is needed until then.
// Members propose one after the other, and not while the proposal that this process promised to
// may still succeed: concurrent proposals reject each other, more often the slower the
// processes are.
func (d *Decider) earliestProposal() time.Duration {
	delay := time.Duration(d.proposerRank()) * proposalStagger
	if d.IsSealed() && d.promised.Proposer != d.config.Self.Identity {
		return max(d.changeNeededSince, d.lastPromiseAt+sealedTimeout) + delay
	}
	return d.changeNeededSince + delay
}

// proposerRank is the number of live voters before this process.
func (d *Decider) proposerRank() int {
	rank := 0
	for _, address := range d.voters() {
		if address == d.config.Self.Address {
			break
		}
		if p := d.peers[address]; p != nil && d.alive(p) {
			rank++
		}
	}
	return rank
}

// majorityAlive reports whether a majority of the voters is alive. On the first view only founders
// vote.
func (d *Decider) majorityAlive() bool {
	alive := 0
	for _, address := range d.voters() {
		if address == d.config.Self.Address {
			alive++
			continue
		}
		p := d.peers[address]
		if p != nil && d.alive(p) && (d.view.Epoch > 0 || p.founder) {
			alive++
		}
	}
	return alive >= Majority(len(d.voters()))
}

// propose begins the first phase with a new proposal number.
func (d *Decider) propose() {
	d.maxRound++
	d.proposal = &proposal{
		instance:       d.view.Epoch + 1,
		number:         &coordpb.Ballot{Round: d.maxRound, Proposer: d.config.Self.Identity},
		phaseStartedAt: d.now,
		promises:       map[string]*promiseFrom{},
		accepted:       map[string]bool{},
	}
	d.broadcast(func() *coordpb.Message {
		prepare := &coordpb.Prepare{Instance: d.proposal.instance, Ballot: d.proposal.number, View: d.viewOrNil()}
		return &coordpb.Message{Body: &coordpb.Message_Prepare{Prepare: prepare}}
	})
}

// viewOrNil is the present view, nil before the first one.
func (d *Decider) viewOrNil() *coordpb.View {
	if d.view.Epoch == 0 {
		return nil
	}
	return d.view
}

// broadcast sends a message to all voters, this process included. Each gets its own.
func (d *Decider) broadcast(newMessage func() *coordpb.Message) {
	for _, address := range d.voters() {
		d.send(address, newMessage())
	}
}

// handlePromise counts a promise for the proposal in progress.
func (d *Decider) handlePromise(from *coordpb.Member, m *coordpb.Promise) {
	p := d.proposal
	if p == nil || p.value != nil || m.Instance != p.instance || !proto.Equal(m.Ballot, p.number) || !d.isVoter(from) {
		return
	}
	if m.Position == nil {
		m.Position = &coordpb.Position{}
	}
	p.promises[from.Address] = &promiseFrom{m, from}
	if p.quorumAt == 0 && len(p.promises) >= Majority(len(d.voters())) {
		p.quorumAt = d.now
	}
}

// promisesComplete reports whether no further promises are waited for: all voters have
// promised, or there was time enough for those that are alive, and for the others.
func (d *Decider) promisesComplete(p *proposal) bool {
	if len(p.promises) == len(d.voters()) || d.now >= p.quorumAt+livePromiseTimeout {
		return true
	}
	for _, m := range d.view.Members {
		if p.promises[m.Address] == nil && d.stateOfIdentity(m.Identity) >= peerDraining {
			return false
		}
	}
	return d.now >= p.quorumAt+promiseTimeout
}

// beginAcceptPhase asks the voters to accept a view: the one that has the greatest accepted
// number among the promises, as it may have been chosen already, or else the one that this
// process wants.
func (d *Decider) beginAcceptPhase() {
	p := d.proposal
	var best *promiseFrom
	for _, m := range p.promises {
		if m.AcceptedView != nil && (best == nil || LessProposal(best.AcceptedBallot, m.AcceptedBallot)) {
			best = m
		}
	}
	switch {
	case best != nil:
		p.value = best.AcceptedView
	case p.instance == 1:
		p.value = d.foundingView()
	default:
		p.value = d.nextView(p.promises)
	}
	if p.value == nil {
		d.abandonProposal()
		return
	}
	p.phaseStartedAt = d.now
	d.broadcast(func() *coordpb.Message {
		return &coordpb.Message{Body: &coordpb.Message_Accept{Accept: &coordpb.Accept{Instance: p.instance, Ballot: p.number, View: p.value}}}
	})
}

// handleAccepted counts an acceptance. The view is chosen once a majority has accepted it; then
// all processes that may need it are informed.
func (d *Decider) handleAccepted(from *coordpb.Member, m *coordpb.Accepted) {
	p := d.proposal
	if p == nil || p.value == nil || m.Instance != p.instance || !proto.Equal(m.Ballot, p.number) || !d.isVoter(from) {
		return
	}
	p.accepted[from.Address] = true
	if len(p.accepted) < Majority(len(d.voters())) {
		return
	}
	targets := d.heartbeatTargets() // of the view before, some of which may be members no more
	d.learnView(p.value)
	for _, address := range targets {
		d.send(address, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: d.view}}})
	}
}

// handleReject gives up the proposal in progress if an acceptor has promised a greater number.
func (d *Decider) handleReject(r *coordpb.Reject) {
	if r.Promised != nil {
		d.maxRound = max(d.maxRound, r.Promised.Round)
	}
	if d.proposal != nil && r.Instance == d.proposal.instance && LessProposal(d.proposal.number, r.Promised) {
		d.abandonProposal()
	}
}

// abandonProposal gives up the proposal in progress. The next one waits for a random time, so
// that two proposers don't reject each other for ever.
func (d *Decider) abandonProposal() {
	d.proposal = nil
	d.nextProposal = d.now + time.Duration(d.rng.Int64N(int64(maxBackoff))) + maxBackoff/4
}
