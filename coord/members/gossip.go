package members

import (
	"net/netip"
	"slices"
	"time"
)

// pendingUpdate is an update that is gossiped twice.
type pendingUpdate struct {
	update
	withRecord bool // the member's record goes out in place of the update
	sendAt     time.Duration
	timesSent  int
}

// broadcast gossips an update.
func (d *Decider) broadcast(u update) { d.enqueue(pendingUpdate{update: u}) }

// enqueue adds an update to the next batch and removes those that it supersedes. Beyond
// maxPendingUpdates it is left out: anti-entropy repairs that.
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

// flushUpdates sends the updates that are due: new ones to gossipFanout random members, and those
// that went out before to regossipFanout more.
func (d *Decider) flushUpdates() {
	if d.nextFlushAt == 0 || d.now < d.nextFlushAt {
		return
	}
	if d.liveCount < 2 && !d.shuttingDown { // nobody is there to receive them
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

// takeDueUpdates returns the updates that are due for the first and for the second time. Those of
// the first time stay pending.
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

// sendUpdates sends updates to one member in as few datagrams as they fit, at most
// maxDatagramsPerTarget and two that are not full.
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

// sendUnlessEmpty sends a datagram that has more than its header.
func (d *Decider) sendUnlessEmpty(to netip.AddrPort, b []byte) {
	if len(b) > headerLen {
		d.send(to, b)
	}
}

func (d *Decider) onUpdates(from netip.AddrPort, r *reader) {
	updates := r.updates()
	if r.err != nil {
		return
	}
	for _, u := range updates {
		d.applyUpdate(u, from)
	}
}

// applyUpdate applies an update of a member, which may be the local one.
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

// applyAlive applies an update that a member is alive. Where the sender does not know of its death,
// its leave or its new process, the sender or the member is notified.
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
		// The new process has the incarnation of the old one and raises it once it knows.
		d.send(e.Addr, appendRecord(newDatagram(recordsMsg), e.toMember()))
	case e.State == Dead:
		d.send(from, appendUpdate(newDatagram(updatesMsg), deadUpdate(e)))
		d.dispute(e)
	case e.State == Left && sameProcess:
		// Anti-entropy exchanges live members only, so nothing else would notify the sender.
		d.send(from, appendUpdate(newDatagram(updatesMsg), update{id: e.id, state: Left, incarnation: e.Incarnation}))
	}
}

// applySuspected applies an update that a member is suspected.
func (d *Decider) applySuspected(e *entry, u update, from netip.AddrPort) {
	switch {
	case !e.isLive() && u.incarnation <= e.Incarnation:
		if e.State == Dead {
			d.send(from, appendUpdate(newDatagram(updatesMsg), deadUpdate(e)))
		}
	case u.incarnation > e.Incarnation:
		d.requestRecord(u.id, from) // it was alive since, perhaps as another process
	default:
		d.suspectMember(e, u)
	}
}

// applyDead applies an update that a member is dead. It is believed of a suspect only; of any other
// member it leads to a probe.
func (d *Decider) applyDead(e *entry, u update) {
	switch {
	case u.incarnation < e.Incarnation || !e.isLive():
	case e.State == Suspected && d.now >= d.noAccusationUntil:
		d.setDead(e)
	default:
		d.probeSoon(e)
	}
}

// applyLeft applies an update that a member has left.
func (d *Decider) applyLeft(e *entry, u update) {
	if u.incarnation < e.Incarnation || !e.isLive() {
		return
	}
	delete(d.suspicions, e.id)
	d.setState(e, Left, u.incarnation)
	d.broadcast(u)
}

// applyUpdateOfSelf refutes whatever is held against the local member, or held of an earlier
// process of it.
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

// raiseIncarnation raises the local incarnation above one that was heard of, and gossips it.
func (d *Decider) raiseIncarnation(above uint32) {
	if above == 1<<32-1 {
		return // nothing is above it: the sender is wrong
	}
	if d.self.State == Joining {
		d.self.Incarnation = max(d.self.Incarnation, above+1)
		return
	}
	if d.incarnationRaisedAt > 0 && d.now < d.incarnationRaisedAt+refutationInterval {
		return // two processes of one name would drive each other on; the update comes again
	}
	d.incarnationRaisedAt = d.now
	d.setState(d.self, d.self.State, above+1)
	d.broadcast(aliveUpdate(d.self))
}
