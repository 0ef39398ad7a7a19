package members

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// recordRequest is that a member is known by its id only, and its record is requested from whoever
// mentioned it.
type recordRequest struct {
	from   netip.AddrPort
	sentAt time.Duration // 0 for not yet
}

// requestRecord has the record of a member requested in the next batch.
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

// sendRecordRequests sends the requests that wait. One without an answer lapses after
// recordRequestTTL, and is made again when the member is mentioned again.
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

// unsentRecordRequests returns the members whose records are to be requested, by whom to ask and
// id, and removes requests that lapsed.
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

// onRecordRequest answers with the records of the live members that are asked for.
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

// onRecords takes records: the answer to a request or to a join, or gossip of new members.
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

// applyRecord takes who a member is and inserts or updates it.
func (d *Decider) applyRecord(m Member, from netip.AddrPort) {
	id := idOf(m.Name)
	delete(d.recordRequests, id)
	i, e := d.find(id)
	switch {
	case e == d.self:
		d.applyRecordOfSelf(m)
		return
	case e != nil && e.Name != m.Name:
		return // two names with one id: one in 10^14
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

// applyRecordOfSelf goes above the incarnation of another process of the local member.
func (d *Decider) applyRecordOfSelf(m Member) {
	otherProcess := m.Name == d.config.Name && m.Boot != d.config.Boot
	if otherProcess && m.Incarnation >= d.self.Incarnation && !d.shuttingDown {
		d.raiseIncarnation(m.Incarnation)
	}
}

// isAddressTaken reports whether an alive member other than e has an address. That member is
// probed: one of the two is wrong.
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

// insertRecord adds a member that was not known.
func (d *Decider) insertRecord(index int, id memberID, m *Member) {
	if len(d.entries) >= d.config.MaxMembers {
		return
	}
	e := d.insert(index, id, identityOf(m), m.Incarnation)
	d.stats.Joins++
	d.enqueue(pendingUpdate{update: aliveUpdate(e), withRecord: true})
}

// updateRecord compares a record with what is known of the member.
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
		// Its new process has not learnt the incarnation of the old one.
		d.send(from, appendRecord(newDatagram(recordsMsg), e.toMember()))
	case m.Boot == e.Boot && e.State == Left, e.State == Dead:
		d.applyUpdate(aliveUpdate(e), from)
	}
}
