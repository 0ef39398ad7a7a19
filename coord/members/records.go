package members

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// recordRequest is a request for the record of a member. The local member sends the request after
// it received an update about a member whose record it lacks or knows only at an earlier
// incarnation.
type recordRequest struct {
	from   netip.AddrPort // the member that sent the update, to which the request goes
	sentAt time.Duration  // 0 if the request was not sent yet
}

// requestRecord schedules a request for the record of a member. The request goes to the address
// from, in the next batch.
func (d *Decider) requestRecord(id memberID, from netip.AddrPort) {
	_, requested := d.recordRequests[id]
	if requested || len(d.recordRequests) >= maxRecordRequests || len(d.entries) >= d.config.MaxMembers {
		return
	}
	d.recordRequests[id] = recordRequest{from: from}
	if at := d.now + gossipBatchDelay; d.nextRecordRequestAt == 0 || at < d.nextRecordRequestAt {
		d.nextRecordRequestAt = at
	}
}

// sendRecordRequests sends the unsent requests. A request without an answer expires after
// recordRequestTTL. A later update about the same member creates a new request.
func (d *Decider) sendRecordRequests() {
	if d.nextRecordRequestAt == 0 || d.now < d.nextRecordRequestAt {
		return
	}
	d.nextRecordRequestAt = 0
	unsent := d.unsentRecordRequests()
	if len(d.recordRequests) > 0 {
		d.nextRecordRequestAt = d.now + recordRequestTTL
	}
	var b []byte
	var to netip.AddrPort
	flush := func() {
		d.sendUnlessEmpty(to, b)
		b = newDatagram(recordRequestMsg)
	}
	for _, id := range unsent {
		request := d.recordRequests[id]
		if request.from != to || len(b) > maxLenBeforeChecksum-idLen {
			flush()
			to = request.from
		}
		b = appendID(b, id)
		d.recordRequests[id] = recordRequest{request.from, d.now}
	}
	flush()
}

// unsentRecordRequests returns the members with unsent requests, sorted by the address that
// receives the request and then by member id. It removes expired requests.
func (d *Decider) unsentRecordRequests() []memberID {
	unsent := make([]memberID, 0, len(d.recordRequests))
	for id, request := range d.recordRequests {
		switch {
		case request.sentAt == 0:
			unsent = append(unsent, id)
		case d.now-request.sentAt >= recordRequestTTL:
			delete(d.recordRequests, id)
		}
	}
	slices.SortFunc(unsent, func(a, b memberID) int {
		return cmp.Or(d.recordRequests[a].from.Compare(d.recordRequests[b].from), cmp.Compare(a, b))
	})
	return unsent
}

// onRecordRequest answers with the records of those requested members that are live.
func (d *Decider) onRecordRequest(from netip.AddrPort, r *reader) {
	b, sent := newDatagram(recordsMsg), 0
	for r.hasMore() && sent < maxDatagramsPerTarget {
		_, e := d.find(r.id())
		if r.err != nil || e == nil || !e.isLive() {
			continue
		}
		if b = appendRecord(b, e.toMember()); len(b) > maxLenBeforeChecksum-maxRecordLen {
			d.send(from, b)
			b = newDatagram(recordsMsg)
			sent++
		}
	}
	d.sendUnlessEmpty(from, b)
}

// onRecords handles a datagram with records, which is the answer to a record request, the answer to
// a join message, or gossip about new members.
func (d *Decider) onRecords(from netip.AddrPort, r *reader) {
	var all []Member
	for r.hasMore() {
		if m := r.record(); r.err == nil {
			all = append(all, m)
		}
	}
	if r.err != nil {
		return
	}
	for _, m := range all {
		d.applyRecord(m, from)
		if m.State == Joining {
			d.addJoiningPeer(m.Addr)
		}
	}
	if d.self.State == Joining && len(all) > 0 && all[0].Addr == from && all[0].State == Alive {
		d.nameTaken = false
		d.completeJoin()
	}
}

// applyRecord inserts the member that a record describes into the list, or updates the member. from
// is the address of the sender of the record.
func (d *Decider) applyRecord(m Member, from netip.AddrPort) {
	id := idOf(m.Name)
	delete(d.recordRequests, id)
	i, e := d.find(id)
	switch {
	case e == d.self:
		d.applyRecordOfSelf(m)
		return
	case e != nil && e.Name != m.Name:
		return // two names have the same id; the probability is 1 in 10^14
	case m.State != Alive && m.State != Suspected:
		if e != nil && m.State == Left {
			d.applyUpdate(update{id: id, state: Left, incarnation: m.Incarnation}, from)
		}
		return
	case d.isAddressTaken(m.Addr, e):
		return
	}
	if e == nil {
		d.insertRecord(i, id, &m)
		return
	}
	d.updateRecord(e, &m, from)
}

// applyRecordOfSelf raises the local incarnation above that of another process with the local name.
func (d *Decider) applyRecordOfSelf(m Member) {
	otherProcess := m.Name == d.config.Name && m.Boot != d.config.Boot
	if otherProcess && m.Incarnation >= d.self.Incarnation && !d.shuttingDown {
		d.raiseIncarnation(m.Incarnation)
	}
}

// isAddressTaken reports whether an alive member other than e has the address addr. It probes that
// member, because only one of the two members can have the address.
func (d *Decider) isAddressTaken(addr netip.AddrPort, e *entry) bool {
	occupant := d.byAddr[addrKey(addr)]
	if occupant == nil || occupant == e || occupant.State != Alive {
		return false
	}
	if occupant != d.self {
		d.probeSoon(occupant)
	}
	return true
}

// insertRecord adds an unknown member to the list at the given index, unless the list is full, and
// gossips its record.
func (d *Decider) insertRecord(index int, id memberID, m *Member) {
	if len(d.entries) >= d.config.MaxMembers {
		return
	}
	e := d.insert(index, id, identityOf(m), m.Incarnation)
	d.stats.Joins++
	d.enqueue(pendingUpdate{update: aliveUpdate(e), withRecord: true})
}

// updateRecord applies a record of a member that is already in the list. A record with a higher
// incarnation updates the entry, unless the record claims the name of an alive member from another
// address.
func (d *Decider) updateRecord(e *entry, m *Member, from netip.AddrPort) {
	switch {
	case m.Incarnation < e.Incarnation:
	case m.Incarnation > e.Incarnation:
		if d.conflicts(e, m) {
			d.rejectClaim(m)
			return
		}
		d.replaceIdentity(e, m)
		d.setAlive(e, m.Incarnation)
		d.enqueue(pendingUpdate{update: aliveUpdate(e), withRecord: true})
	case m.Boot != e.Boot && m.Addr == from && from == e.Addr:
		// The new process of the member does not know the incarnation of the old process yet. It
		// raises its incarnation when it receives this record.
		d.send(from, appendRecord(newDatagram(recordsMsg), e.toMember()))
	case m.Boot == e.Boot && e.State == Left, e.State == Dead:
		d.applyUpdate(aliveUpdate(e), from)
	}
}
