package view

import (
	"slices"

	"reachspread/coord/coordpb"
)

// mayVote tells whether this process votes on the view after the one it knows.
func (d *Decider) mayVote() bool {
	if d.view.Epoch == 0 {
		return d.c.Founder && slices.Contains(d.c.Seeds, d.c.Self.Address)
	}
	return MemberOf(d.view, d.c.Self.Identity) != nil
}

// takePrepare promises not to vote for older ballots, and to do nothing in the present epoch any more.
func (d *Decider) takePrepare(from *coordpb.Member, p *coordpb.Prepare) {
	d.learn(p.View)
	if !d.current(from, p.Instance) || !d.mayVote() || p.Ballot == nil {
		return
	}
	d.round = max(d.round, p.Ballot.Round)
	if Less(p.Ballot, d.promised) {
		d.reject(from, p.Instance)
		return
	}
	d.promise(p.Ballot)
	d.send(from.Address, &coordpb.Message{Body: &coordpb.Message_Promise{Promise: &coordpb.Promise{Instance: p.Instance, Ballot: p.Ballot,
		AcceptedBallot: d.acceptedBallot, AcceptedView: d.acceptedView, Position: d.status.Position, Healthy: d.status.Healthy && !d.status.Leaving, Leaving: d.status.Leaving,
		Answered: d.status.Answered, IdleMs: uint64(d.status.Idle.Milliseconds())}}})
}

// takeAccept votes for a view.
func (d *Decider) takeAccept(from *coordpb.Member, a *coordpb.Accept) {
	if !d.current(from, a.Instance) || !d.mayVote() || a.Ballot == nil || a.View == nil || a.View.Epoch != a.Instance {
		return
	}
	d.round = max(d.round, a.Ballot.Round)
	if Less(a.Ballot, d.promised) {
		d.reject(from, a.Instance)
		return
	}
	d.promise(a.Ballot)
	d.acceptedBallot, d.acceptedView = a.Ballot, a.View
	d.do(Write{&coordpb.Record{Body: &coordpb.Record_Accepted{Accepted: &coordpb.AcceptedView{Ballot: a.Ballot, View: a.View}}}})
	d.send(from.Address, &coordpb.Message{Body: &coordpb.Message_Accepted{Accepted: &coordpb.Accepted{Instance: a.Instance, Ballot: a.Ballot}}})
}

// promise takes up a ballot, and seals the present epoch.
func (d *Decider) promise(b *coordpb.Ballot) {
	d.sealedAt = d.now // an agreement goes on
	if d.promised == nil {
		d.do(Sealed{})
	}
	if d.promised == nil || Less(d.promised, b) {
		d.promised = b
		d.do(Write{&coordpb.Record{Body: &coordpb.Record_Promised{Promised: &coordpb.Promised{Ballot: b}}}})
	}
}

// current tells whether a message is about the view after the one that is known. Who is behind is told of it.
func (d *Decider) current(from *coordpb.Member, instance uint64) bool {
	if instance <= d.view.Epoch {
		d.send(from.Address, &coordpb.Message{Body: &coordpb.Message_Learn{Learn: &coordpb.Learn{View: d.view}}})
	}
	return instance == d.view.Epoch+1
}

func (d *Decider) reject(from *coordpb.Member, instance uint64) {
	d.send(from.Address, &coordpb.Message{Body: &coordpb.Message_Reject{Reject: &coordpb.Reject{Instance: instance, Promised: d.promised}}})
}
