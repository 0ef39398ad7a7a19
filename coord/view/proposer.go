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
	quorumAt       time.Duration           // when a majority had promised, 0 before that
	promises       map[string]*promiseFrom // by address
	value          *coordpb.View           // the view to be accepted, nil in the first phase
	accepted       map[string]bool         // by address
}

// promiseFrom is a promise and the acceptor that sent it.
type promiseFrom struct {
	*coordpb.Promise
	from *coordpb.Member
}

// state returns the state of the acceptor that its promise reports.
func (p *promiseFrom) state() peerState {
	switch {
	case p.Leaving:
		return peerDraining
	case !p.Healthy:
		return peerUnhealthy
	}
	return peerHealthy
}

// voters returns the addresses of the acceptors of the next view.
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

// isVoter reports whether the sender of a message is an acceptor of the next view. Once there is a
// first view, the identity of the sender's storage must match as well.
func (d *Decider) isVoter(from *coordpb.Member) bool {
	if d.view.Epoch == 0 {
		return slices.Contains(d.config.Seeds, from.Address)
	}
	m := MemberOf(d.view, from.Identity)
	return m != nil && m.Address == from.Address
}

// driveProposal continues the proposal in progress. If there is none, it begins one when another
// view is needed.
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

// continueProposal abandons a proposal whose current phase takes too long, and begins its second
// phase once the promises are complete.
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

// earliestProposal returns the earliest time at which this process may propose, if another view
// remains needed until then. Members propose one after the other. A sealed member waits while the
// proposal that it promised to may still succeed. Both rules avoid concurrent proposals: these
// reject each other, and the slower the processes are, the more often this happens.
func (d *Decider) earliestProposal() time.Duration {
	delay := time.Duration(d.proposerRank()) * proposalStagger
	if d.IsSealed() && d.promised.Proposer != d.config.Self.Identity {
		return max(d.changeNeededSince, d.lastPromiseAt+sealedTimeout) + delay
	}
	return d.changeNeededSince + delay
}

// proposerRank returns the number of live voters that precede this process in the list of voters.
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

// majorityAlive reports whether a majority of the voters is alive. Before the first view it counts
// only founders, because only they vote.
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

// propose begins the first phase of a proposal with a new number.
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

// viewOrNil returns the current view, or nil before the first one.
func (d *Decider) viewOrNil() *coordpb.View {
	if d.view.Epoch == 0 {
		return nil
	}
	return d.view
}

// broadcast sends a message to every voter, including this process. It calls newMessage once for
// each voter.
func (d *Decider) broadcast(newMessage func() *coordpb.Message) {
	for _, address := range d.voters() {
		d.send(address, newMessage())
	}
}

// handlePromise records a promise for the proposal in progress.
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

// promisesComplete reports whether the proposer needn't wait for further promises. This is the case
// once all voters have promised, once livePromiseTimeout has passed since a majority promised, or
// once promiseTimeout has passed and every member that seems to work has promised.
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

// beginAcceptPhase asks the voters to accept a view. If a promise reports an accepted view, the
// proposer must choose the one with the greatest proposal number, because it may already have been
// chosen. Otherwise the proposer chooses the view that it wants. If no view is possible now, it
// abandons the proposal.
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

// handleAccepted counts an acceptance. Once a majority has accepted the view, the view is chosen,
// and handleAccepted sends it to all processes that may need it.
func (d *Decider) handleAccepted(from *coordpb.Member, m *coordpb.Accepted) {
	p := d.proposal
	if p == nil || p.value == nil || m.Instance != p.instance || !proto.Equal(m.Ballot, p.number) || !d.isVoter(from) {
		return
	}
	p.accepted[from.Address] = true
	if len(p.accepted) < Majority(len(d.voters())) {
		return
	}
	targets := d.heartbeatTargets() // of the old view, some of whose members may not be in the new one
	d.learnView(p.value)
	for _, address := range targets {
		d.send(address, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: d.view}}})
	}
}

// handleReject abandons the proposal in progress if an acceptor has promised a greater number.
func (d *Decider) handleReject(r *coordpb.Reject) {
	if r.Promised != nil {
		d.maxRound = max(d.maxRound, r.Promised.Round)
	}
	if d.proposal != nil && r.Instance == d.proposal.instance && LessProposal(d.proposal.number, r.Promised) {
		d.abandonProposal()
	}
}

// abandonProposal abandons the proposal in progress. The next proposal waits for a random time, so
// that two proposers don't reject each other forever.
func (d *Decider) abandonProposal() {
	d.proposal = nil
	d.nextProposal = d.now + time.Duration(d.rng.Int64N(int64(maxBackoff))) + maxBackoff/4
}
