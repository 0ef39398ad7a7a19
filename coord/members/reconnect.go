package members

import "slices"

// seedDraws is how many seeds are drawn at most to find one that no live member has.
const seedDraws = 8

// disputesPerBatch is how many disputed members are pinged at a time.
const disputesPerBatch = 4

// reconnect contacts a dead member, or a seed at which no live member is known: it may be the way
// to the other side of a network partition.
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

// dispute takes note of a member that is dead here and alive to another member: the ping that it is
// sent has the update that it is dead here, which it refutes if it is alive.
func (d *Decider) dispute(e *entry) {
	if len(d.disputed) >= maxRecordRequests || slices.Contains(d.disputed, e.id) {
		return
	}
	d.disputed = append(d.disputed, e.id)
	if d.nextDisputeAt == 0 {
		d.nextDisputeAt = d.now + gossipBatchDelay
	}
}

// pingDisputed pings the next few disputed members.
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
