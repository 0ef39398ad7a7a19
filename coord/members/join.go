package members

import (
	"net/netip"
	"slices"
	"time"
)

// joinReplyRecords is how many records of random members the answer to a join message contains at
// most.
const joinReplyRecords = 3

// nextJoinEvent returns the time at which the local member asks seeds again, or at which it
// concludes that it is the first member of its fleet.
func (d *Decider) nextJoinEvent() time.Duration {
	if d.nameTaken {
		return d.nextJoinAt
	}
	return min(d.nextJoinAt, d.joinDeadline)
}

// runJoin asks random seeds what they know about the local name. The join is complete when an alive
// member has answered, or at joinDeadline if the name is not taken.
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

// sendJoin sends a join message, which contains the record of the local member.
func (d *Decider) sendJoin(to netip.AddrPort) {
	d.send(to, appendRecord(newDatagram(joinMsg), d.self.toMember()))
}

// completeJoin sets the local member to Alive and gossips its record.
func (d *Decider) completeJoin() {
	d.setState(d.self, Alive, d.self.Incarnation)
	d.unpublished[d.self.id] = d.self
	d.enqueue(pendingUpdate{update: aliveUpdate(d.self), withRecord: true})
	// Processes that joined at the same time did not know this member either. They are alive by
	// now.
	for _, peer := range d.joiningPeers {
		d.sendJoin(peer)
	}
	d.joiningPeers = nil
}

// addJoiningPeer stores the address of a process that joins at the same time as the local one, so
// that completeJoin can contact it.
func (d *Decider) addJoiningPeer(addr netip.AddrPort) {
	if d.self.State == Joining && len(d.joiningPeers) < maxJoiningPeers && !slices.Contains(d.joiningPeers, addr) {
		d.joiningPeers = append(d.joiningPeers, addr)
	}
}

// onJoin answers a join message with the record of the local member, the known record of the
// sender, and the records of a few other members. It rejects a sender that claims the name of an
// alive member.
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

// sendJoinReply answers a join message. known is the entry with the name of the joining process,
// nil if the name is unknown.
func (d *Decider) sendJoinReply(to netip.AddrPort, known *entry) {
	local := *d.self.toMember()
	if local.State == Alive && d.now < local.Since+joinTimeout {
		// A member that joined less than joinTimeout ago may not yet know the joining process's
		// name. It reports itself as Joining, so that its answer does not complete the join.
		local.State = Joining
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

// conflicts reports whether the record m claims the name of the alive member e from another
// address.
func (d *Decider) conflicts(e *entry, m *Member) bool {
	return m.Addr != e.Addr && (e == d.self || e.State == Alive)
}

// rejectClaim notifies a process that the name it claims is taken. It reports the conflict to the
// owner once for each name and address.
func (d *Decider) rejectClaim(m *Member) {
	d.send(m.Addr, appendText(newDatagram(nameTakenMsg), m.Name))
	key := m.Name + " " + m.Addr.String()
	if !d.reportedConflicts[key] && len(d.reportedConflicts) < maxReportedConflicts {
		d.reportedConflicts[key] = true
		d.actions = append(d.actions, NameConflict{m.Name, m.Addr})
	}
}

// onNameTaken handles a message that says that another member has the local name. A local member
// that is already alive ignores the message: it holds the name itself, and the other members decide
// which of the two processes to reject.
func (d *Decider) onNameTaken(from netip.AddrPort, r *reader) {
	if name := r.text(MaxNameLen); r.err != nil || name != d.config.Name || d.self.State != Joining {
		return
	}
	if !d.nameTaken {
		d.nameTaken = true
		d.actions = append(d.actions, LocalNameTaken{from})
	}
}

// leave shuts the local member down. It announces the leave unless another process takes over the
// same name.
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
