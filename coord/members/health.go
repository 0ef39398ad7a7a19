package members

import "slices"

// onStall handles a call of Step that came too late, at least stallThreshold after the expected
// time. Answers to the probes in progress may still be unread, so onStall cancels these probes,
// restarts the timeouts of all suspicions, and lets the local member accuse no member for one
// protocol period.
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

// raiseHealthScore raises the local health score (Lifeguard) when the local process itself may be
// at fault. Direct answers to probes lower the score again.
func (d *Decider) raiseHealthScore() {
	d.stats.HealthScore = min(d.stats.HealthScore+1, maxHealthScore)
}

// suspectAll suspects all alive members. It is called when no datagram was received for
// isolationTimeout. On the small side of a network partition, detecting the loss of the other
// members with one probe per protocol period would take too long.
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

// accuse starts a suspicion of a member, with the local member as the accuser.
func (d *Decider) accuse(e *entry) {
	d.suspectMember(e, update{id: e.id, state: Suspected, incarnation: e.Incarnation, reporter: d.self.id})
}
