package chain

import (
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

const (
	// ConfirmInterval is the time between two confirmations of the epoch, while nothing waits for
	// one.
	ConfirmInterval = 200 * time.Millisecond
	// confirmTimeout is after how long a confirmation that a majority hasn't answered is begun
	// again.
	confirmTimeout = 400 * time.Millisecond
	// maxDeferredReplies bounds the replies that wait for a confirmation. Further reads are
	// redirected.
	maxDeferredReplies = 1024
)

// confirmation is the state of asking the members whether the epoch is still the last one. If a
// majority says so, no later view had been chosen when they were asked.
type confirmation struct {
	nonce       uint64
	startedAt   time.Duration // of the latest round
	active      bool          // a round is in progress
	answers     map[string]bool
	confirmedAt time.Duration // when the last successful round began, below 0 for never
}

// deferredReply is a reply that waits for a confirmation of the epoch that began after its request
// came.
type deferredReply struct {
	arrivedAt     time.Duration
	origin        *coordpb.Origin
	reply         []byte
	read          bool   // the reply is the state at the time of the confirmation
	knownSequence uint64 // of a read: the sequence of the state that the client has, 0 for none
}

// ConfirmedAt is the time at which the epoch was certainly the last one, on the owner's clock;
// ok is false if it isn't known.
func (r *Replica) ConfirmedAt() (at time.Duration, ok bool) {
	return r.confirmation.confirmedAt, r.confirmation.confirmedAt >= 0 && !r.sealed
}

// startConfirm begins a round of confirmations, unless one is in progress.
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

// runConfirmTimers begins a round where one is due or replies wait for it, and gives up one
// that takes too long.
func (r *Replica) runConfirmTimers() {
	c := &r.confirmation
	if c.active && r.now >= c.startedAt+confirmTimeout {
		c.active = false
	}
	if len(r.deferred) > 0 || !r.sealed && r.synced && r.index() >= 0 && (c.confirmedAt < 0 || r.now >= c.confirmedAt+ConfirmInterval) {
		r.startConfirm()
	}
}

// handleConfirm confirms that the epoch of the sender is the last one known here, unless this
// process has sealed it.
func (r *Replica) handleConfirm(from string, c *coordpb.Confirm) {
	if c.Epoch != r.view.Epoch || r.sealed || view.MemberOf(r.view, r.self.Identity) == nil {
		return
	}
	r.confirmedTo[from] = r.now
	answer := &coordpb.Message{From: r.self, Body: &coordpb.Message_Confirmed{Confirmed: &coordpb.Confirmed{Epoch: c.Epoch, Nonce: c.Nonce}}}
	r.emit(Send{To: from, Message: answer, Immediate: true})
}

// handleConfirmed counts a confirmation of the round in progress.
func (r *Replica) handleConfirmed(from string, c *coordpb.Confirmed) {
	if c.Epoch != r.view.Epoch || r.sealed || !r.confirmation.active || c.Nonce != r.confirmation.nonce {
		return
	}
	r.confirmation.answers[from] = true
	r.completeConfirm()
}

// Confirmations are the members that this process has confirmed the epoch to, with the ages of
// the last confirmations.
func (r *Replica) Confirmations() (all []*coordpb.Answered) {
	for _, m := range r.view.Members {
		if at, ok := r.confirmedTo[m.Address]; ok {
			all = append(all, &coordpb.Answered{Identity: m.Identity, AgeMs: uint64((r.now - at).Milliseconds())})
		}
	}
	return all
}

// completeConfirm ends a round that a majority has answered, and sends the replies that waited
// for it.
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

// sendDeferred sends a reply that is certain by now.
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

// handleRead defers a read until a round of confirmations that begins after it.
func (r *Replica) handleRead(from string, read *coordpb.Read) {
	if !r.Readable() || len(r.deferred) >= maxDeferredReplies {
		r.redirect(from, read.Id)
		return
	}
	r.deferred = append(r.deferred, deferredReply{arrivedAt: r.now, origin: &coordpb.Origin{Address: from, Id: read.Id}, read: true, knownSequence: read.Known})
	r.startConfirm()
}
