package chain

import (
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

const (
	// ConfirmInterval is the time between two confirmation rounds of the epoch while no reply waits
	// for one.
	ConfirmInterval = 200 * time.Millisecond
	// confirmTimeout is how long a confirmation round may wait for the answers of a majority before
	// it is abandoned and another round may begin.
	confirmTimeout = 400 * time.Millisecond
	// maxDeferredReplies limits the number of replies that wait for a confirmation round. Further
	// reads are redirected.
	maxDeferredReplies = 1024
)

// confirmation is the state of the rounds in which this replica asks the members whether its epoch
// is still the latest one. If a majority confirms this, no later view had been chosen when the
// replica asked.
type confirmation struct {
	nonce       uint64
	startedAt   time.Duration   // when the latest round began
	active      bool            // a round is in progress
	answers     map[string]bool // members that have confirmed the epoch in the latest round, by address
	confirmedAt time.Duration   // when the last successful round began, below 0 for never
}

// deferredReply is a reply that waits for a successful confirmation round that began after the
// request arrived.
type deferredReply struct {
	arrivedAt     time.Duration
	origin        *coordpb.Origin
	reply         []byte
	read          bool   // the request is a read: the reply is the state at the time of the confirmation
	knownSequence uint64 // the sequence of the state that the reading client has, 0 for none
}

// ConfirmedAt returns the last time, on the caller's clock, at which the epoch is known to have
// been the latest one. ok is false if no such time is known or this process has sealed the epoch.
func (r *Replica) ConfirmedAt() (at time.Duration, ok bool) {
	return r.confirmation.confirmedAt, r.confirmation.confirmedAt >= 0 && !r.sealed
}

// startConfirm begins a confirmation round, unless one is in progress or this process has sealed
// the epoch or isn't in the chain.
func (r *Replica) startConfirm() {
	if r.confirmation.active || r.sealed || r.index() < 0 {
		return
	}
	c := &r.confirmation
	c.nonce++
	c.startedAt, c.active, c.answers = r.now, true, map[string]bool{}
	for _, m := range r.view.Members {
		if m.Identity == r.self.Identity {
			c.answers[m.Address] = true
			r.confirmedTo[m.Address] = r.now
			continue
		}
		request := &coordpb.Message{From: r.self, Body: &coordpb.Message_Confirm{Confirm: &coordpb.Confirm{Epoch: r.view.Epoch, Nonce: c.nonce}}}
		r.emit(Send{To: m.Address, Message: request, Immediate: true})
	}
	r.completeConfirm()
}

// runConfirmTimers abandons a confirmation round that takes too long. It begins a round if one is
// due or replies wait for one.
func (r *Replica) runConfirmTimers() {
	c := &r.confirmation
	if c.active && r.now >= c.startedAt+confirmTimeout {
		c.active = false
	}
	if len(r.deferred) > 0 || !r.sealed && r.synced && r.index() >= 0 && (c.confirmedAt < 0 || r.now >= c.confirmedAt+ConfirmInterval) {
		r.startConfirm()
	}
}

// handleConfirm confirms to the sender that its epoch is the latest one known here. It doesn't
// answer if it knows another epoch, has sealed this one or isn't a member.
func (r *Replica) handleConfirm(from string, c *coordpb.Confirm) {
	if c.Epoch != r.view.Epoch || r.sealed || view.MemberOf(r.view, r.self.Identity) == nil {
		return
	}
	r.confirmedTo[from] = r.now
	answer := &coordpb.Message{From: r.self, Body: &coordpb.Message_Confirmed{Confirmed: &coordpb.Confirmed{Epoch: c.Epoch, Nonce: c.Nonce}}}
	r.emit(Send{To: from, Message: answer, Immediate: true})
}

// handleConfirmed counts an answer in the confirmation round in progress.
func (r *Replica) handleConfirmed(from string, c *coordpb.Confirmed) {
	if c.Epoch != r.view.Epoch || r.sealed || !r.confirmation.active || c.Nonce != r.confirmation.nonce {
		return
	}
	r.confirmation.answers[from] = true
	r.completeConfirm()
}

// Confirmations returns the members to which this process has confirmed the epoch, with the age of
// the last confirmation to each.
func (r *Replica) Confirmations() (all []*coordpb.Answered) {
	for _, m := range r.view.Members {
		if at, ok := r.confirmedTo[m.Address]; ok {
			all = append(all, &coordpb.Answered{Identity: m.Identity, AgeMs: uint64((r.now - at).Milliseconds())})
		}
	}
	return all
}

// completeConfirm ends the confirmation round if a majority has answered, and sends the replies
// that waited for it. If other replies still wait, it begins another round.
func (r *Replica) completeConfirm() {
	c := &r.confirmation
	if len(c.answers) < view.Majority(len(r.view.Members)) {
		return
	}
	c.active, c.confirmedAt = false, c.startedAt
	remaining := r.deferred[:0]
	for _, w := range r.deferred {
		if w.arrivedAt > c.confirmedAt {
			remaining = append(remaining, w)
			continue
		}
		r.sendDeferred(w)
	}
	clear(r.deferred[len(remaining):])
	r.deferred = remaining
	if len(r.deferred) > 0 {
		r.startConfirm()
	}
}

// sendDeferred sends a reply that the confirmation round has shown to be current. It redirects a
// read if this process can no longer answer it.
func (r *Replica) sendDeferred(w deferredReply) {
	reply := &coordpb.Reply{Id: w.origin.Id, Reply: w.reply, Position: r.position}
	if w.read {
		if !r.Readable() {
			r.redirect(w.origin.Address, w.origin.Id)
			return
		}
		if reply.Unchanged = w.knownSequence > 0 && w.knownSequence == r.position.Sequence; !reply.Unchanged {
			reply.Reply = r.machine.Snapshot()
		}
	}
	r.send(w.origin.Address, &coordpb.Message{Body: &coordpb.Message_Reply{Reply: reply}})
}

// handleRead defers the reply to a read until a confirmation round that begins after the read
// arrived.
func (r *Replica) handleRead(from string, read *coordpb.Read) {
	if !r.Readable() || len(r.deferred) >= maxDeferredReplies {
		r.redirect(from, read.Id)
		return
	}
	r.deferred = append(r.deferred, deferredReply{arrivedAt: r.now, origin: &coordpb.Origin{Address: from, Id: read.Id}, read: true, knownSequence: read.Known})
	r.startConfirm()
}
