package chain

import (
	"time"

	"reachspread/coord/coordpb"
)

// Seal ends the participation of this process in the current epoch.
func (r *Replica) Seal() { r.sealed = true }

// Resume restores the view that this process knew before it restarted. The process takes no further
// part in the epoch of that view: its disk may have changes that it didn't report to its
// neighbours, so the chain must begin another epoch. The process may have confirmed the epoch to
// any member just before it ended. Resume therefore records that it has confirmed the epoch to
// every member.
func (r *Replica) Resume(v *coordpb.View, sealed bool) {
	r.view, r.sealed, r.resumed, r.epochBeganAt = v, sealed, true, r.now
	for _, m := range v.Members {
		r.confirmedTo[m.Address] = r.now
	}
}

// BeginEpoch begins the epoch of a view that was chosen.
func (r *Replica) BeginEpoch(now time.Duration, v *coordpb.View) []Effect {
	r.startStep(now)
	r.view, r.epochBeganAt = v, r.now
	r.sealed, r.resumed, r.synced, r.successorsSynced = false, false, false, false
	r.inFlight = nil
	r.catchUp.nextRequest, r.catchUp.successorProgress, r.catchUp.progressAt = 0, 0, 0
	r.confirmation = confirmation{nonce: r.confirmation.nonce, confirmedAt: -1}
	r.confirmedTo = map[string]time.Duration{}
	r.redirectWaiting()
	if r.isHead() {
		r.completeSync()
	} else if early := r.earlySync; early.GetEpoch() == v.Epoch {
		r.earlySync = nil
		r.handleSync(r.earlySyncFrom, early)
	}
	return r.effects
}

// redirectWaiting redirects the clients whose requests from the previous epoch still wait. A head
// that remains the head keeps its queue of commands.
func (r *Replica) redirectWaiting() {
	for _, w := range r.deferred {
		r.redirect(w.origin.Address, w.origin.Id)
	}
	r.deferred = nil
	if r.isHead() {
		return
	}
	for _, c := range r.queue {
		r.redirect(c.origin.Address, c.origin.Id)
	}
	r.queue = nil
}

// completeSync records that this replica has the state that the epoch begins with, and synchronizes
// its successor.
func (r *Replica) completeSync() {
	r.synced = true
	r.recordProgress()
	if r.position.StateEpoch != r.view.Epoch {
		r.setStateEpoch(r.view.Epoch)
	}
	if r.isTail() {
		r.completeChainSync()
		return
	}
	r.sendSync()
}

// sendSync sends the successor the position of the state that the epoch begins with.
func (r *Replica) sendSync() {
	r.resendAt = r.now + ResendInterval
	sync := &coordpb.Sync{Epoch: r.view.Epoch, Position: r.position}
	r.send(r.successor(), &coordpb.Message{Body: &coordpb.Message_Sync{Sync: sync}})
}

// completeChainSync records that all members behind this one also have the state, and reports this
// to the predecessor. The head, which has no predecessor, begins to execute commands.
func (r *Replica) completeChainSync() {
	if r.successorsSynced {
		return
	}
	r.successorsSynced = true
	r.commit(r.position.Sequence)
	if !r.isHead() {
		r.send(r.predecessor(), &coordpb.Message{Body: &coordpb.Message_Synced{Synced: &coordpb.Synced{Epoch: r.view.Epoch}}})
		return
	}
	r.executeQueue()
}

// handleSync compares the state of this replica with that of its predecessor, and requests the
// state if they differ. It stores a Sync for an epoch whose view isn't known yet until the view
// arrives.
func (r *Replica) handleSync(from string, s *coordpb.Sync) {
	if s.Epoch > r.view.Epoch {
		r.earlySync, r.earlySyncFrom = s, from
	}
	if !r.isActiveIn(s.Epoch) || from != r.predecessor() || s.Position == nil {
		return
	}
	switch {
	case r.synced && r.successorsSynced:
		r.send(from, &coordpb.Message{Body: &coordpb.Message_Synced{Synced: &coordpb.Synced{Epoch: r.view.Epoch}}})
	case r.synced:
		syncing := &coordpb.Syncing{Epoch: r.view.Epoch, Progress: r.catchUp.progress}
		r.send(from, &coordpb.Message{Body: &coordpb.Message_Syncing{Syncing: syncing}})
	case sameState(s.Position, r.position):
		r.completeSync()
	case r.now >= r.catchUp.nextRequest:
		r.requestState(from, false)
	}
}

// handleSyncing records that the successor has the state and that members behind the successor are
// still getting it.
func (r *Replica) handleSyncing(from string, s *coordpb.Syncing) {
	if !r.isActiveIn(s.Epoch) || from != r.successor() || s.Progress == r.catchUp.successorProgress {
		return
	}
	r.catchUp.successorProgress = s.Progress
	r.recordProgress()
}

// recordProgress records that this replica or a member behind it has received more of the state, so
// that the chain doesn't count as stalled.
func (r *Replica) recordProgress() {
	r.catchUp.progress++
	r.catchUp.progressAt = r.now
}
