package members

import (
	"net/netip"
	"slices"
	"time"
)

// joinReplyRecords is how many records of random members the answer to a join has.
const joinReplyRecords = 3

// nextJoinEvent is when the local member asks seeds again, or has waited long enough to be the
// first of its fleet.
func (d *Decider) nextJoinEvent() time.Duration {
	if d.nameTaken {
		return d.nextJoinAt
	}
	return min(d.nextJoinAt, d.joinDeadline)
}

// runJoin asks random seeds for what is known of the local name. The join is complete when an alive
// member has answered, or at the deadline.
func (d *Decider) runJoin() {
	if d.now >= d.joinDeadline && !d.nameTaken {
		d.completeJoin()
		return
	}
	if d.now < d.nextJoinAt {
		return
	}
	d.nextJoinAt = d.now + joinInterval
	if d.nameTaken {
		d.nextJoinAt = d.now + reconnectInterval
	}
	seeds := d.config.Seeds
	for range min(indirectProbers, len(seeds)) {
		if seed := seeds[d.rng.IntN(len(seeds))]; seed != d.self.Addr {
			d.sendJoin(seed)
		}
	}
}

// sendJoin sends the local record.
func (d *Decider) sendJoin(to netip.AddrPort) {
	d.send(to, appendRecord(newDatagram(joinMsg), d.self.toMember()))
}

// completeJoin makes the local member alive.
func (d *Decider) completeJoin() {
	d.setState(d.self, Alive, d.self.Incarnation)
	d.unpublished[d.self.id] = d.self
	d.enqueue(pendingUpdate{update: aliveUpdate(d.self), withRecord: true})
	for _, peer := range d.joiningPeers { // they did not know this member either, and are alive by now
		d.sendJoin(peer)
	}
	d.joiningPeers = nil
}

// addJoiningPeer keeps the address of a process that joins at the same time.
func (d *Decider) addJoiningPeer(addr netip.AddrPort) {
	if d.self.State == Joining && len(d.joiningPeers) < maxJoiningPeers && !slices.Contains(d.joiningPeers, addr) {
		d.joiningPeers = append(d.joiningPeers, addr)
	}
}

// onJoin answers a process that introduces itself with the local record, what is known of it, and a
// few other members.
func (d *Decider) onJoin(from netip.AddrPort, r *reader) {
	m := r.record()
	if r.err != nil || m.Addr != from || d.shuttingDown {
		return
	}
	_, e := d.find(idOf(m.Name))
	if e != nil && (e.Name != m.Name || d.conflicts(e, &m)) {
		d.rejectClaim(&m)
		return
	}
	d.sendJoinReply(from, e)
	if m.State == Alive {
		d.applyRecord(m, from)
	} else {
		d.addJoiningPeer(from)
	}
}

// sendJoinReply answers a join. Known is the entry of the process that joins, nil for none.
func (d *Decider) sendJoinReply(to netip.AddrPort, known *entry) {
	local := *d.self.toMember()
	if local.State == Alive && d.now < local.Since+joinTimeout {
		local.State = Joining // a member that has only just joined may not know the name of the other
	}
	b := appendRecord(newDatagram(recordsMsg), &local)
	if known != nil && known != d.self {
		b = appendRecord(b, known.toMember())
	}
	for _, e := range d.randomMembers(joinReplyRecords, isAlive) {
		if e != known && len(b) <= maxLenBeforeChecksum-maxRecordLen {
			b = appendRecord(b, e.toMember())
		}
	}
	d.send(to, b)
}

// conflicts reports whether a record claims the name of an alive member from another address.
func (d *Decider) conflicts(e *entry, m *Member) bool {
	return m.Addr != e.Addr && (e == d.self || e.State == Alive)
}

// rejectClaim notifies a process that its name is taken, and reports that to the owner once.
func (d *Decider) rejectClaim(m *Member) {
	d.send(m.Addr, appendText(newDatagram(nameTakenMsg), m.Name))
	key := m.Name + " " + m.Addr.String()
	if !d.reportedConflicts[key] && len(d.reportedConflicts) < maxReportedConflicts {
		d.reportedConflicts[key] = true
		d.actions = append(d.actions, NameConflict{m.Name, m.Addr})
	}
}

// onNameTaken takes note that another member has the local name. A member that is alive has it
// itself and goes on: others will find out which of the two is to be rejected.
func (d *Decider) onNameTaken(from netip.AddrPort, r *reader) {
	if name := r.text(MaxNameLen); r.err != nil || name != d.config.Name || d.self.State != Joining {
		return
	}
	if !d.nameTaken {
		d.nameTaken = true
		d.actions = append(d.actions, LocalNameTaken{from})
	}
}

// leave announces that this process ends, unless another process of the same name takes over.
func (d *Decider) leave(replaced bool) {
	if d.shuttingDown {
		return
	}
	d.shuttingDown = true
	if replaced || d.self.State != Alive {
		return
	}
	d.setState(d.self, Left, d.self.Incarnation)
	left := pendingUpdate{update: update{id: d.self.id, state: Left, incarnation: d.self.Incarnation}}
	for _, e := range d.randomMembers(gossipFanout, (*entry).isLive) {
		d.sendUpdates(e.Addr, []pendingUpdate{left})
	}
	d.enqueue(left)
}
