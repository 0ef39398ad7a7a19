package members

import (
	"net/netip"
	"slices"
	"time"
)

// pendingUpdate is an update that the local member gossips twice: soon after it was enqueued, and
// once more after regossipDelay.
type pendingUpdate struct {
	update
	withRecord bool // send the member's record instead of the update
	sendAt     time.Duration
	timesSent  int
}

// broadcast enqueues an update to be gossiped.
func (d *Decider) broadcast(u update) { d.enqueue(pendingUpdate{update: u}) }

// enqueue adds an update to the next batch and removes the pending updates that it supersedes. If
// maxPendingUpdates are pending, enqueue discards the new update; anti-entropy spreads it later.
func (d *Decider) enqueue(p pendingUpdate) {
	d.pendingUpdates = slices.DeleteFunc(d.pendingUpdates, func(x pendingUpdate) bool {
		return x.id == p.id && (x.incarnation < p.incarnation || x.state != p.state && p.state != Suspected)
	})
	if len(d.pendingUpdates) >= maxPendingUpdates {
		return
	}
	p.sendAt = d.now + gossipBatchDelay
	d.pendingUpdates = append(d.pendingUpdates, p)
	if d.nextFlushAt == 0 || p.sendAt < d.nextFlushAt {
		d.nextFlushAt = p.sendAt
	}
}

// flushUpdates sends the updates that are due. It sends new updates to gossipFanout random members,
// and updates that were sent once before to regossipFanout random members.
func (d *Decider) flushUpdates() {
	if d.nextFlushAt == 0 || d.now < d.nextFlushAt {
		return
	}
	if d.liveCount < 2 && !d.shuttingDown { // no other live member could receive the updates
		d.nextFlushAt = d.now + regossipDelay
		return
	}
	first, repeated := d.takeDueUpdates()
	if len(first) > 0 {
		for _, e := range d.randomMembers(gossipFanout, (*entry).isLive) {
			d.sendUpdates(e.Addr, first)
		}
	}
	if len(repeated) > 0 {
		for _, e := range d.randomMembers(regossipFanout, (*entry).isLive) {
			d.sendUpdates(e.Addr, repeated)
		}
	}
}

// takeDueUpdates returns the updates that are due for the first time and those that are due for the
// second time. Updates that are due for the first time stay pending.
func (d *Decider) takeDueUpdates() (first, repeated []pendingUpdate) {
	d.nextFlushAt = 0
	waiting := d.pendingUpdates[:0]
	for _, p := range d.pendingUpdates {
		if d.now >= p.sendAt {
			p.timesSent++
			p.sendAt = d.now + regossipDelay
			if p.timesSent > 1 {
				repeated = append(repeated, p)
				continue
			}
			first = append(first, p)
		}
		waiting = append(waiting, p)
		if d.nextFlushAt == 0 || p.sendAt < d.nextFlushAt {
			d.nextFlushAt = p.sendAt
		}
	}
	d.pendingUpdates = waiting
	return first, repeated
}

// sendUpdates sends updates to one member in as few datagrams as possible. It sends at most
// maxDatagramsPerTarget full datagrams, plus two that are not full. Updates that do not fit are not
// sent to this member.
func (d *Decider) sendUpdates(to netip.AddrPort, all []pendingUpdate) {
	updates, records := newDatagram(updatesMsg), newDatagram(recordsMsg)
	sent := 0
	for _, p := range all {
		if sent >= maxDatagramsPerTarget {
			return
		}
		if p.withRecord {
			if _, e := d.find(p.id); e != nil {
				if records = appendRecord(records, e.toMember()); len(records) > maxLenBeforeChecksum-maxRecordLen {
					d.send(to, records)
					records = newDatagram(recordsMsg)
					sent++
				}
				continue
			}
		}
		if updates = appendUpdate(updates, p.update); len(updates) > maxLenBeforeChecksum-maxUpdateLen {
			d.send(to, updates)
			updates = newDatagram(updatesMsg)
			sent++
		}
	}
	d.sendUnlessEmpty(to, updates)
	d.sendUnlessEmpty(to, records)
}

// sendUnlessEmpty sends a datagram unless it consists of the header only.
func (d *Decider) sendUnlessEmpty(to netip.AddrPort, b []byte) {
	if len(b) > headerLen {
		d.send(to, b)
	}
}

// onUpdates applies the gossiped updates of a datagram.
func (d *Decider) onUpdates(from netip.AddrPort, r *reader) {
	updates := r.updates()
	if r.err != nil {
		return
	}
	for _, u := range updates {
		d.applyUpdate(u, from)
	}
}

// applyUpdate applies an update about a member, which may be the local one. from is the address of
// the sender of the update.
func (d *Decider) applyUpdate(u update, from netip.AddrPort) {
	_, e := d.find(u.id)
	switch {
	case e == nil:
		if u.state == Alive || u.state == Suspected {
			d.requestRecord(u.id, from)
		}
		return
	case e == d.self:
		d.applyUpdateOfSelf(u)
		return
	}
	switch u.state {
	case Alive:
		d.applyAlive(e, u, from)
	case Suspected:
		d.applySuspected(e, u, from)
	case Dead:
		d.applyDead(e, u)
	case Left:
		d.applyLeft(e, u)
	}
}

// applyAlive applies an update that says that a member is alive. If the sender does not know that
// the member died or left, applyAlive sends the sender an update. If the sender knows another
// process of the member at the same incarnation, applyAlive sends the locally known record to the
// member.
func (d *Decider) applyAlive(e *entry, u update, from netip.AddrPort) {
	sameProcess := u.bootLow == uint16(e.Boot)
	switch {
	case u.incarnation > e.Incarnation && !sameProcess:
		d.requestRecord(u.id, from)
	case u.incarnation > e.Incarnation:
		d.setAlive(e, u.incarnation)
		d.broadcast(u)
	case u.incarnation < e.Incarnation:
	case e.isLive() && !sameProcess:
		// The new process has the same incarnation as the old one. It raises its incarnation when
		// it receives this record.
		d.send(e.Addr, appendRecord(newDatagram(recordsMsg), e.toMember()))
	case e.State == Dead:
		d.send(from, appendUpdate(newDatagram(updatesMsg), deadUpdate(e)))
		d.dispute(e)
	case e.State == Left && sameProcess:
		// Anti-entropy exchanges live members only, so the sender would not learn of the leave
		// otherwise.
		d.send(from, appendUpdate(newDatagram(updatesMsg), update{id: e.id, state: Left, incarnation: e.Incarnation}))
	}
}

// applySuspected applies an update that says that a member is suspected.
func (d *Decider) applySuspected(e *entry, u update, from netip.AddrPort) {
	switch {
	case !e.isLive() && u.incarnation <= e.Incarnation:
		if e.State == Dead {
			d.send(from, appendUpdate(newDatagram(updatesMsg), deadUpdate(e)))
		}
	case u.incarnation > e.Incarnation:
		d.requestRecord(u.id, from) // the member has been alive at u.incarnation, perhaps as another process
	default:
		d.suspectMember(e, u)
	}
}

// applyDead applies an update that says that a member is dead. The local member accepts the update
// only if it already suspects the member; otherwise it probes the member.
func (d *Decider) applyDead(e *entry, u update) {
	switch {
	case u.incarnation < e.Incarnation || !e.isLive():
	case e.State == Suspected && d.now >= d.noAccusationUntil:
		d.setDead(e)
	default:
		d.probeSoon(e)
	}
}

// applyLeft applies an update that says that a member has left.
func (d *Decider) applyLeft(e *entry, u update) {
	if u.incarnation < e.Incarnation || !e.isLive() {
		return
	}
	delete(d.suspicions, e.id)
	d.setState(e, Left, u.incarnation)
	d.broadcast(u)
}

// applyUpdateOfSelf raises the local incarnation to refute an update that says that the local
// member is suspected, is dead or has left. It also raises the local incarnation above that of an
// earlier process with the local name, if an update says that the earlier process is alive.
func (d *Decider) applyUpdateOfSelf(u update) {
	if d.shuttingDown || d.self.State == Joining && u.incarnation < d.self.Incarnation {
		return
	}
	if u.state == Alive && u.incarnation <= d.self.Incarnation || u.incarnation < d.self.Incarnation {
		return
	}
	if u.state == Suspected {
		d.raiseHealthScore()
	}
	d.raiseIncarnation(u.incarnation)
}

// raiseIncarnation raises the local incarnation above a received one and gossips the new
// incarnation.
func (d *Decider) raiseIncarnation(above uint32) {
	if above == 1<<32-1 {
		return // no higher incarnation exists, so the received one must be wrong
	}
	if d.self.State == Joining {
		d.self.Incarnation = max(d.self.Incarnation, above+1)
		return
	}
	if d.incarnationRaisedAt > 0 && d.now < d.incarnationRaisedAt+refutationInterval {
		// Otherwise two processes with the same name would raise their incarnations in a tight
		// loop. A later copy of the update raises the incarnation.
		return
	}
	d.incarnationRaisedAt = d.now
	d.setState(d.self, d.self.State, above+1)
	d.broadcast(aliveUpdate(d.self))
}
