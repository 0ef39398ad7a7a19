package members

import (
	"cmp"
	"slices"
	"time"
)

// maxScannedZones limits the size of zoneScannedAt. If the map is larger, scanZone clears it, so a
// zone may be scanned again before zoneScanInterval has passed.
const maxScannedZones = 64

// maxDoublings limits the exponent of grace periods and accusation backoffs.
const maxDoublings = 8

// suspicion is the state of a suspected member (the suspect) until the suspicion is refuted or
// enough witnesses confirm it.
type suspicion struct {
	entry            *entry // the suspect
	incarnation      uint32 // incarnation of the suspect that is suspected
	startedAt        time.Duration
	watching         bool // the local member pings the suspect, because it is the accuser or a witness
	watchedFromStart bool // watching was set when the suspicion started
	watchingSince    time.Duration
	lastPingAt       time.Duration // 0 if the local member sent no ping to the suspect yet
	rankedAt         time.Duration // when the local member last computed its rank as a witness
	confirmed        bool          // the local member confirmed the suspicion
	confirmations    []memberID    // witnesses that got no answer within the suspicion timeout
}

// restart resets the timeouts of a suspicion and withdraws the local confirmation, after the local
// member stalled.
func (s *suspicion) restart(now time.Duration, self memberID) {
	s.startedAt, s.watchingSince = now, now
	s.lastPingAt, s.rankedAt = 0, 0
	s.confirmed = false
	s.confirmations = slices.DeleteFunc(s.confirmations, func(id memberID) bool { return id == self })
}

// nextEvent returns the time at which a ping, a computation of the witness rank, or
// undecidedTimeout is due.
func (s *suspicion) nextEvent() time.Duration {
	if s.watching {
		return s.lastPingAt + pingInterval
	}
	return min(s.rankedAt+witnessRankInterval, s.startedAt+undecidedTimeout)
}

// suspicionTimeout returns how long a witness waits for an answer from the suspect before the
// witness confirms the suspicion. Long recent round trips extend the timeout.
func (d *Decider) suspicionTimeout() time.Duration {
	return baseSuspicionTimeout + 2*max(d.recentRTT-pingInterval, 0)
}

// nextSuspicionEvent returns the time of the next event of all suspicions.
func (d *Decider) nextSuspicionEvent() time.Duration {
	next := never
	for _, s := range d.suspicions {
		next = min(next, s.nextEvent())
	}
	return next
}

// suspectMember applies an update that says that the local member or another member suspects e. It
// starts a suspicion if necessary, and counts the confirmation if the update contains one.
func (d *Decider) suspectMember(e *entry, u update) {
	if u.incarnation < e.Incarnation || e == d.self || !e.isLive() {
		return
	}
	s := d.suspicions[e.id]
	if s == nil || u.incarnation > s.incarnation {
		if d.now < e.readHistory().graceUntil || len(d.suspicions) >= maxSuspicions {
			return
		}
		u.confirms = d.startSuspicion(e, u)
		s = d.suspicions[e.id]
	}
	if u.confirms && len(s.confirmations) < witnessCount+1 && !slices.Contains(s.confirmations, u.reporter) {
		s.confirmations = append(s.confirmations, u.reporter)
		d.broadcast(u)
		d.declareDeadIfConfirmed(s)
	}
}

// startSuspicion starts a suspicion and gossips it. It reports whether the update also contains a
// confirmation by another member.
func (d *Decider) startSuspicion(e *entry, u update) (confirms bool) {
	s := &suspicion{entry: e, incarnation: u.incarnation, startedAt: d.now, watchingSince: d.now}
	d.suspicions[e.id] = s
	d.setState(e, Suspected, u.incarnation)
	d.stats.Suspicions++
	s.watching = u.reporter == d.self.id && !u.confirms
	if !s.watching {
		d.becomeWitness(s)
	}
	s.watchedFromStart = s.watching
	u.confirms = u.confirms && u.reporter != d.self.id
	d.broadcast(u)
	d.scanZone(e.Zone)
	return u.confirms
}

// becomeWitness makes the local member a witness of a suspicion if the local member is among the
// first witnessCount alive members in the rendezvous hashing order for the suspect.
func (d *Decider) becomeWitness(s *suspicion) {
	s.rankedAt = d.now
	weight, higherRanked := rendezvousWeight(d.self.id, s.entry.id), 0
	for _, e := range d.entries {
		if e.State == Alive && e != d.self && rendezvousWeight(e.id, s.entry.id) > weight {
			if higherRanked++; higherRanked >= witnessCount {
				return
			}
		}
	}
	s.watching, s.watchingSince = true, d.now
}

// rendezvousWeight returns the rendezvous hashing weight of member a for member b.
func rendezvousWeight(a, b memberID) uint64 {
	x := uint64(a)*0x9e3779b97f4a7c15 ^ uint64(b)*0xc2b2ae3d27d4eb4f
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// scanZone probes alive members of a zone as soon as two members of the zone are suspected, so that
// the loss of a whole zone is detected quickly. Each member of the zone is probed by
// zoneScanProbers other members on average. A hash of the ids of prober and target selects the
// probers. The local zone is not scanned.
func (d *Decider) scanZone(zone string) {
	if at, ok := d.zoneScannedAt[zone]; ok && d.now < at+zoneScanInterval {
		return
	}
	suspected := 0
	for _, s := range d.suspicions {
		if s.entry.Zone == zone {
			suspected++
		}
	}
	if suspected < 2 || zone == d.self.Zone {
		return
	}
	if len(d.zoneScannedAt) > maxScannedZones {
		clear(d.zoneScannedAt)
	}
	d.zoneScannedAt[zone] = d.now
	for _, e := range d.entries {
		if e.State != Alive || e.Zone != zone {
			continue
		}
		if rendezvousWeight(d.self.id, e.id)%uint64(max(d.liveCount, 1)) < zoneScanProbers {
			d.probeSoon(e)
		}
	}
}

// runSuspicions advances all suspicions in the order of the member ids, so that the same events
// produce the same actions.
func (d *Decider) runSuspicions() {
	for _, s := range d.sortedSuspicions() {
		if d.suspicions[s.entry.id] == s { // the suspicion has not ended in the meantime
			d.advanceSuspicion(s)
		}
	}
}

// advanceSuspicion performs the actions of a suspicion that are due: it computes the witness rank
// of the local member, pings the suspect and confirms the suspicion.
func (d *Decider) advanceSuspicion(s *suspicion) {
	if !s.watching && d.now >= s.rankedAt+witnessRankInterval {
		if d.declareDeadIfConfirmed(s) {
			return
		}
		d.becomeWitness(s)
	}
	if !s.watching && d.now >= s.startedAt+undecidedTimeout {
		s.watching, s.watchingSince = true, d.now
	}
	if !s.watching || d.now < s.lastPingAt+pingInterval {
		return
	}
	if s.lastPingAt == 0 {
		s.watchingSince = d.now
	}
	s.lastPingAt = d.now
	if d.now-s.watchingSince >= d.suspicionTimeout() && d.now >= d.noAccusationUntil {
		d.confirm(s)
		if d.declareDeadIfConfirmed(s) {
			return
		}
	}
	d.sendPing(s.entry, untrackedSeq)
}

// confirm adds the local member's confirmation to a suspicion and gossips it. Further calls do
// nothing.
func (d *Decider) confirm(s *suspicion) {
	if s.confirmed {
		return
	}
	s.confirmed = true
	s.confirmations = append(s.confirmations, d.self.id)
	d.broadcast(update{id: s.entry.id, state: Suspected, incarnation: s.incarnation, confirms: true, reporter: d.self.id})
}

// sortedSuspicions returns the suspicions sorted by the id of the suspect.
func (d *Decider) sortedSuspicions() []*suspicion {
	if len(d.suspicions) == 0 {
		return nil
	}
	all := make([]*suspicion, 0, len(d.suspicions))
	for _, s := range d.suspicions {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *suspicion) int { return cmp.Compare(a.entry.id, b.entry.id) })
	return all
}

// declareDeadIfConfirmed declares a suspect dead in two cases: if deathConfirmations witnesses
// confirmed the suspicion, or if no other member can be a witness and the suspect did not answer
// the local member for loneWitnessTimeout, which is longer than the suspicion timeout. It reports
// whether it declared the suspect dead.
func (d *Decider) declareDeadIfConfirmed(s *suspicion) bool {
	if d.now < d.noAccusationUntil {
		return false // after a stall, the refutation may have arrived but not been read yet
	}
	timeout := loneWitnessTimeout + d.suspicionTimeout() - baseSuspicionTimeout
	alone := s.confirmed && d.now-s.watchingSince >= timeout && !d.hasOtherWitness(s.entry)
	if len(s.confirmations) < deathConfirmations && !alone {
		return false
	}
	d.setDead(s.entry)
	return true
}

// hasOtherWitness reports whether any alive member other than the local one can be a witness for a
// suspect.
func (d *Decider) hasOtherWitness(suspect *entry) bool {
	for _, e := range d.entries {
		if e != d.self && e != suspect && e.State == Alive {
			return true
		}
	}
	return false
}

// setDead ends the suspicion of a member and sets the member to Dead.
func (d *Decider) setDead(e *entry) {
	delete(d.suspicions, e.id)
	d.setState(e, Dead, e.Incarnation)
	d.stats.Deaths++
	if d.deathsDelayedUntil == 0 {
		d.deathsDelayedUntil = d.now + maxPublishDelay
	}
}

// setAlive sets a member to Alive at an incarnation above the one at which the member was suspected
// or dead. If the local member pinged the suspect from the start of the suspicion, the local member
// was wrong and does not accuse the member again during a backoff period. A member that was dead
// gets a grace period during which it is not suspected.
func (d *Decider) setAlive(e *entry, incarnation uint32) {
	previous := e.State
	if s := d.suspicions[e.id]; s != nil && s.watchedFromStart {
		h := e.ensureHistory()
		h.noAccusationUntil = d.now + min(minAccusationBackoff<<min(h.wrongAccusations, maxDoublings), maxGracePeriod)
		h.wrongAccusations = min(h.wrongAccusations+1, maxDoublings)
	}
	delete(d.suspicions, e.id)
	if previous == Suspected {
		d.stats.Refutations++
	}
	if previous == Dead {
		h := e.ensureHistory()
		if d.now-e.Since > 2*maxGracePeriod {
			h.returns = 0
		}
		h.graceUntil = d.now + min(minGracePeriod<<min(h.returns, maxDoublings), maxGracePeriod)
		h.returns = min(h.returns+1, maxDoublings)
	}
	d.setState(e, Alive, incarnation)
}
