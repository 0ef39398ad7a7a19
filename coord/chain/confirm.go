package chain

import (
	"time"

	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

const (
	// ConfirmEvery is the time between two confirmations at the tail.
	ConfirmEvery = 200 * time.Millisecond
	confirmFor   = 400 * time.Millisecond // then it is asked again
	mostWaiting  = 1024
)

// confirming asks the members whether the epoch is still the last one: once a majority says so, no later view had been decided when it
// was asked.
type confirming struct {
	nonce   uint64
	asked   time.Duration // when, of the round under way
	under   bool          // a round is under way
	answers map[string]bool
	at      time.Duration // when the last round that succeeded began; below 0 for never
}

// ConfirmedAt is the time, on the owner's clock, at which the epoch was the last one for certain; ok is false if it never was.
func (r *Replica) ConfirmedAt() (at time.Duration, ok bool) {
	return r.confirm.at, r.confirm.at >= 0 && !r.sealed
}

// startConfirm begins a round, unless one is under way.
func (r *Replica) startConfirm() {
	if r.confirm.under || r.sealed || r.index() < 0 {
		return
	}
	c := &r.confirm
	c.nonce++
	c.asked, c.under, c.answers = r.now, true, map[string]bool{}
	for _, m := range r.view.Members {
		if m.Identity == r.self.Identity {
			c.answers[m.Address] = true
			r.answered[m.Address] = r.now
			continue
		}
		ask := &coordpb.Message{From: r.self, Body: &coordpb.Message_Confirm{Confirm: &coordpb.Confirm{Epoch: r.view.Epoch, Nonce: c.nonce}}}
		r.do(Send{To: m.Address, Message: ask, Informal: true})
	}
	r.judgeConfirm()
}

// dueConfirm keeps the tail's confirmation young, and asks again where answers are missing.
func (r *Replica) dueConfirm() {
	c := &r.confirm
	if c.under && r.now >= c.asked+confirmFor {
		c.under = false
	}
	if len(r.waiting) > 0 || !r.sealed && r.synced && r.index() >= 0 && (c.at < 0 || r.now >= c.at+ConfirmEvery) {
		r.startConfirm()
	}
}

func (r *Replica) takeConfirm(from string, c *coordpb.Confirm) {
	if c.Epoch != r.view.Epoch || r.sealed || view.MemberOf(r.view, r.self.Identity) == nil {
		return
	}
	r.answered[from] = r.now
	answer := &coordpb.Message{From: r.self, Body: &coordpb.Message_Confirmed{Confirmed: &coordpb.Confirmed{Epoch: c.Epoch, Nonce: c.Nonce}}}
	r.do(Send{To: from, Message: answer, Informal: true})
}

func (r *Replica) takeConfirmed(from string, c *coordpb.Confirmed) {
	if c.Epoch != r.view.Epoch || r.sealed || !r.confirm.under || c.Nonce != r.confirm.nonce {
		return
	}
	r.confirm.answers[from] = true
	r.judgeConfirm()
}

// Answered is how long ago this process last confirmed its epoch, and to whom.
func (r *Replica) Answered() (all []*coordpb.Answered) {
	for _, m := range r.view.Members {
		if at, ok := r.answered[m.Address]; ok {
			all = append(all, &coordpb.Answered{Identity: m.Identity, AgeMs: uint64((r.now - at).Milliseconds())})
		}
	}
	return all
}

// judgeConfirm ends a round that a majority has answered, and gives the replies that waited for it.
func (r *Replica) judgeConfirm() {
	c := &r.confirm
	if len(c.answers) < view.Majority(len(r.view.Members)) {
		return
	}
	c.under, c.at = false, c.asked
	left := r.waiting[:0]
	for _, w := range r.waiting {
		if w.since > c.at {
			left = append(left, w)
			continue
		}
		r.answer(w)
	}
	clear(r.waiting[len(left):])
	r.waiting = left
	if len(r.waiting) > 0 {
		r.startConfirm()
	}
}

// answer gives a reply that is certain by now.
func (r *Replica) answer(w waiting) {
	reply := &coordpb.Reply{Id: w.origin.Id, Reply: w.reply, Position: r.position}
	if w.read {
		if !r.Readable() {
			r.redirect(w.origin.Address, w.origin.Id)
			return
		}
		if reply.Unchanged = w.known > 0 && w.known == r.position.Sequence; !reply.Unchanged {
			reply.Reply = r.machine.Snapshot()
		}
	}
	r.send(w.origin.Address, &coordpb.Message{Body: &coordpb.Message_Reply{Reply: reply}})
}

// takeRead has a read wait for a confirmation that begins after it.
func (r *Replica) takeRead(from string, read *coordpb.Read) {
	if !r.Readable() || len(r.waiting) >= mostWaiting {
		r.redirect(from, read.Id)
		return
	}
	r.waiting = append(r.waiting, waiting{since: r.now, origin: &coordpb.Origin{Address: from, Id: read.Id}, read: true, known: read.Known})
	r.startConfirm()
}
