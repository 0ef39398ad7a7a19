package members

import "slices"

// onStall is called where the owner called too late: the answers to the probes under way may wait
// unread, so they are void, and nobody is accused for a period.
func (d *Decider) onStall() {
	d.stats.Stalls++
	d.raiseHealthScore()
	d.prober.cancelAll()
	d.noAccusationUntil = d.now + protocolPeriod
	for _, s := range d.suspicions {
		s.restart(d.now, d.self.id)
	}
	d.lastReceivedAt = d.now
}

// raiseHealthScore takes note that the local process may be what fails. Answers to probes lower the
// score again.
func (d *Decider) raiseHealthScore() {
	d.stats.HealthScore = min(d.stats.HealthScore+1, maxHealthScore)
}

// suspectEverybody is called once nothing was received for isolationTimeout: a small side of a
// network partition would take long to find that out one probe a period.
func (d *Decider) suspectAll() {
	d.lastReceivedAt = d.now
	for _, e := range slices.Clone(d.entries) {
		if e == d.self || e.State != Alive {
			continue
		}
		if e.history != nil {
			e.graceUntil = 0
		}
		d.accuse(e)
	}
}

// accuse suspects a member by the local member's own probes.
func (d *Decider) accuse(e *entry) {
	d.suspectMember(e, update{id: e.id, state: Suspected, incarnation: e.Incarnation, reporter: d.self.id})
}
