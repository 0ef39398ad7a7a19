package view

import (
	"slices"

	"reachspread/coord/coordpb"
)

// isAcceptor reports whether this process votes on the view that follows the known one.
func (d *Decider) isAcceptor() bool {
	if d.view.Epoch == 0 {
		return d.config.Founder && slices.Contains(d.config.Seeds, d.config.Self.Address)
	}
	return MemberOf(d.view, d.config.Self.Identity) != nil
}

// handlePrepare promises not to accept proposals with lower numbers, seals the current epoch, and
// reports which view this process has accepted.
func (d *Decider) handlePrepare(from *coordpb.Member, p *coordpb.Prepare) {
	d.learnView(p.View)
	if !d.isNextInstance(from, p.Instance) || !d.isAcceptor() || p.Ballot == nil {
		return
	}
	d.maxRound = max(d.maxRound, p.Ballot.Round)
	if LessProposal(p.Ballot, d.promised) {
		d.reject(from, p.Instance)
		return
	}
	d.promise(p.Ballot)
	promise := &coordpb.Promise{
		Instance:       p.Instance,
		Ballot:         p.Ballot,
		AcceptedBallot: d.acceptedNumber,
		AcceptedView:   d.acceptedView,
		Position:       d.status.Position,
		Healthy:        d.status.Healthy && !d.status.Draining,
		Leaving:        d.status.Draining,
		Answered:       d.status.Confirmations,
		IdleMs:         uint64(d.status.Idle.Milliseconds()),
	}
	d.send(from.Address, &coordpb.Message{Body: &coordpb.Message_Promise{Promise: promise}})
}

// handleAccept accepts a view, unless this process has promised a greater proposal number.
func (d *Decider) handleAccept(from *coordpb.Member, a *coordpb.Accept) {
	if !d.isNextInstance(from, a.Instance) || !d.isAcceptor() || a.Ballot == nil || a.View == nil || a.View.Epoch != a.Instance {
		return
	}
	d.maxRound = max(d.maxRound, a.Ballot.Round)
	if LessProposal(a.Ballot, d.promised) {
		d.reject(from, a.Instance)
		return
	}
	d.promise(a.Ballot)
	d.acceptedNumber, d.acceptedView = a.Ballot, a.View
	d.emit(Write{&coordpb.Record{Body: &coordpb.Record_Accepted{Accepted: &coordpb.AcceptedView{Ballot: a.Ballot, View: a.View}}}})
	d.send(from.Address, &coordpb.Message{Body: &coordpb.Message_Accepted{Accepted: &coordpb.Accepted{Instance: a.Instance, Ballot: a.Ballot}}})
}

// promise records a promise for a proposal number, and seals the current epoch.
func (d *Decider) promise(b *coordpb.Ballot) {
	d.lastPromiseAt = d.now
	if d.promised == nil {
		d.emit(Sealed{})
	}
	if d.promised == nil || LessProposal(d.promised, b) {
		d.promised = b
		d.emit(Write{&coordpb.Record{Body: &coordpb.Record_Promised{Promised: &coordpb.Promised{Ballot: b}}}})
	}
}

// isNextInstance reports whether a message is about the view that follows the known one. It sends
// the known view to a sender that is behind.
func (d *Decider) isNextInstance(from *coordpb.Member, instance uint64) bool {
	if instance <= d.view.Epoch {
		d.send(from.Address, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: d.view}}})
	}
	return instance == d.view.Epoch+1
}

// reject reports the promised number to a proposer whose number is lower, so that the proposer
// continues with a greater one.
func (d *Decider) reject(from *coordpb.Member, instance uint64) {
	d.send(from.Address, &coordpb.Message{Body: &coordpb.Message_Reject{Reject: &coordpb.Reject{Instance: instance, Promised: d.promised}}})
}
