package members

import "slices"

// seedDraws is how many random seeds reconnect tries at most to find one whose address belongs to
// no live member.
const seedDraws = 8

// disputesPerBatch is how many disputed members pingDisputed pings in one batch.
const disputesPerBatch = 4

// reconnect contacts a dead member, or a seed whose address belongs to no known live member. The
// contacted process may be on the other side of a network partition; if it answers, the two sides
// can merge again.
func (d *Decider) reconnect() {
	if d.self.State != Alive || d.now < d.nextReconnectAt {
		return
	}
	d.nextReconnectAt = d.now + reconnectInterval
	if d.deadCount > 0 && d.rng.IntN(2) == 0 {
		if dead := d.deadMembers(); len(dead) > 0 {
			d.sendPing(dead[d.rng.IntN(len(dead))], untrackedSeq)
			return
		}
	}
	seeds := d.config.Seeds
	for range seedDraws {
		if len(seeds) == 0 {
			return
		}
		seed := seeds[d.rng.IntN(len(seeds))]
		if e := d.byAddr[addrKey(seed)]; seed != d.self.Addr && (e == nil || !e.isLive()) {
			d.sendJoin(seed)
			return
		}
	}
}

// dispute schedules a ping of a member that is dead in the local list and alive in another member's
// list. The ping contains the update that says that the member is dead. If the member is alive, it
// refutes this update.
func (d *Decider) dispute(e *entry) {
	if len(d.disputed) >= maxRecordRequests || slices.Contains(d.disputed, e.id) {
		return
	}
	d.disputed = append(d.disputed, e.id)
	if d.nextDisputeAt == 0 {
		d.nextDisputeAt = d.now + gossipBatchDelay
	}
}

// pingDisputed pings the next disputesPerBatch disputed members.
func (d *Decider) pingDisputed() {
	if d.nextDisputeAt == 0 || d.now < d.nextDisputeAt {
		return
	}
	d.nextDisputeAt = 0
	n := min(disputesPerBatch, len(d.disputed))
	for _, id := range d.disputed[:n] {
		if _, e := d.find(id); e != nil && e.State == Dead {
			d.sendPing(e, untrackedSeq)
		}
	}
	if d.disputed = slices.Delete(d.disputed, 0, n); len(d.disputed) > 0 {
		d.nextDisputeAt = d.now + gossipBatchDelay
	}
}
