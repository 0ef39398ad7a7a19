package chain

import (
	"reachspread/coord/coordpb"
	"reachspread/coord/view"
)

// command is a submitted command that waits at the head for its execution.
type command struct {
	origin *coordpb.Origin
	data   []byte
}

// handleSubmit queues a command at the head. It ignores a command that is already queued or in
// flight for the same client. It redirects the client if this process isn't an active head or the
// queue is full.
func (r *Replica) handleSubmit(from string, s *coordpb.Submit) {
	if r.sealed || !r.isHead() || len(r.queue) >= MaxQueuedCommands {
		r.redirect(from, s.Id)
		return
	}
	if r.isPending(from, s.Id) {
		return
	}
	r.queue = append(r.queue, command{&coordpb.Origin{Address: from, Id: s.Id}, s.Order})
	r.executeQueue()
}

// isPending reports whether a command of a client is queued or in flight.
func (r *Replica) isPending(from string, id uint64) bool {
	for _, c := range r.queue {
		if c.origin.Address == from && c.origin.Id == id {
			return true
		}
	}
	a := r.inFlight
	return a != nil && a.Sequence > r.committed && a.Origin.GetAddress() == from && a.Origin.GetId() == id
}

// redirect informs a client that this process can't answer its request, and sends it the last view
// that this process knows.
func (r *Replica) redirect(to string, id uint64) {
	m := &coordpb.Redirect{Id: id}
	if r.view.Epoch > 0 {
		m.View = r.view
	}
	r.send(to, &coordpb.Message{Body: &coordpb.Message_Redirect{Redirect: m}})
}

// executeQueue executes queued commands. It executes a command only once the change of the previous
// one is committed. The reply to a command without a change is deferred until the epoch is
// confirmed.
func (r *Replica) executeQueue() {
	for len(r.queue) > 0 && r.canExecute() {
		next := r.queue[0]
		r.queue = r.queue[1:]
		change, reply := r.machine.Decide(next.data)
		if change == nil {
			r.deferred = append(r.deferred, deferredReply{arrivedAt: r.now, origin: next.origin, reply: reply})
			r.startConfirm()
			continue
		}
		r.replicate(&coordpb.Append{
			Epoch:         r.view.Epoch,
			Sequence:      r.position.Sequence + 1,
			PreviousEpoch: r.position.EntryEpoch,
			Change:        change,
			Origin:        next.origin,
			Reply:         reply,
		})
	}
}

// canExecute reports whether this process is the head of a synced chain with no change in flight.
func (r *Replica) canExecute() bool {
	if !r.isHead() || r.sealed || !r.successorsSynced {
		return false
	}
	return r.inFlight == nil || r.inFlight.Sequence <= r.committed
}

// handleAppend handles a change from the predecessor. It replicates the next change. It forwards
// the last change again if that arrives a second time, because the first copy may have been lost
// further down the chain. If changes are missing, it requests them.
func (r *Replica) handleAppend(from string, a *coordpb.Append) {
	if !r.isActiveIn(a.Epoch) || !r.synced || from != r.predecessor() {
		return
	}
	switch {
	case a.Sequence == r.position.Sequence+1 && a.PreviousEpoch == r.position.EntryEpoch:
		r.replicate(a)
	case a.Sequence == r.position.Sequence && r.inFlight != nil && r.inFlight.Sequence == a.Sequence:
		r.forward(r.inFlight)
	case a.Sequence > r.position.Sequence:
		r.requestState(from, false)
	}
}

// replicate applies a change on this replica and forwards it.
func (r *Replica) replicate(a *coordpb.Append) {
	r.apply(&coordpb.Entry{Epoch: a.Epoch, Sequence: a.Sequence, Change: a.Change})
	r.inFlight, r.inFlightSince = a, r.now
	r.forward(a)
}

// forward sends a change to the successor. At the tail the change is committed instead: forward
// sends the reply to the client and notifies all members of the chain.
func (r *Replica) forward(a *coordpb.Append) {
	r.resendAt = r.now + ResendInterval
	if !r.isTail() {
		r.send(r.successor(), &coordpb.Message{Body: &coordpb.Message_Append{Append: a}})
		return
	}
	if a.Origin != nil {
		reply := &coordpb.Reply{Id: a.Origin.Id, Reply: a.Reply, Position: r.position}
		r.send(a.Origin.Address, &coordpb.Message{Body: &coordpb.Message_Reply{Reply: reply}})
	}
	for _, identity := range r.view.Chain {
		if m := view.MemberOf(r.view, identity); m != nil {
			commit := &coordpb.Commit{Epoch: r.view.Epoch, Sequence: a.Sequence}
			r.send(m.Address, &coordpb.Message{Body: &coordpb.Message_Commit{Commit: commit}})
		}
	}
}

// handleCommit handles the notification from the tail that all members of the chain have a change.
func (r *Replica) handleCommit(from string, c *coordpb.Commit) {
	if !r.isActiveIn(c.Epoch) || !r.synced || from != Tail(r.view) || c.Sequence <= r.committed || c.Sequence > r.position.Sequence {
		return
	}
	r.commit(c.Sequence)
	r.executeQueue()
}

// commit records that all members of the chain have the changes up to a sequence number.
func (r *Replica) commit(sequence uint64) {
	r.committed = sequence
	if sequence == r.position.Sequence {
		r.emit(Committed{r.position, r.machine.Value()})
	}
}

// apply applies a change to the machine and writes it to the log.
func (r *Replica) apply(e *coordpb.Entry) {
	r.machine.Apply(e.Change)
	r.catchUp.recent.add(recentChange{e, r.position.EntryEpoch})
	r.position = &coordpb.Position{StateEpoch: r.position.StateEpoch, Sequence: e.Sequence, EntryEpoch: e.Epoch}
	r.emit(Write{&coordpb.Record{Body: &coordpb.Record_Entry{Entry: e}}})
}
