package members

import (
	"cmp"
	"slices"
	"time"
)

// maxScannedZones bounds zoneScannedAt; beyond it all are forgotten, and may be scanned early.
const maxScannedZones = 64

// maxDoublings bounds the exponent of grace periods and backoffs.
const maxDoublings = 8

// suspicion is that a member may be dead, until it is refuted or confirmed.
type suspicion struct {
	entry            *entry
	incarnation      uint32
	startedAt        time.Duration // at the local member
	watching         bool          // the local member is the accuser or a witness: it pings the suspect
	watchedFromStart bool
	watchingSince    time.Duration
	lastPingAt       time.Duration // 0 for none
	rankedAt         time.Duration // when the local member ranked itself as a witness last
	confirmed        bool          // by the local member
	confirmations    []memberID    // witnesses that heard nothing
}

// restart begins a suspicion anew after the local member stalled.
func (s *suspicion) restart(now time.Duration, self memberID) {
	s.startedAt, s.watchingSince = now, now
	s.lastPingAt, s.rankedAt = 0, 0
	s.confirmed = false
	s.confirmations = slices.DeleteFunc(s.confirmations, func(id memberID) bool { return id == self })
}

// nextEvent is when a ping, a ranking or a decision is due.
func (s *suspicion) nextEvent() time.Duration {
	if s.watching {
		return s.lastPingAt + pingInterval
	}
	return min(s.rankedAt+witnessRankInterval, s.startedAt+undecidedTimeout)
}

// suspicionTimeout is how long a witness hears nothing before it confirms: longer where acks took
// long of late.
func (d *Decider) suspicionTimeout() time.Duration {
	return baseSuspicionTimeout + 2*max(d.recentRTT-pingInterval, 0)
}

// nextSuspicionEvent is when something is due for any suspicion.
func (d *Decider) nextSuspicionEvent() time.Duration {
	next := never
	for _, s := range d.suspicions {
		next = min(next, s.nextEvent())
	}
	return next
}

// suspectMember applies an update that a member is suspected, by the local member or another, and
// counts its confirmation.
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

// startSuspicion begins a suspicion and gossips it. It reports whether the update confirms it, too.
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

// becomeWitness makes the local member a witness of a suspicion if it is among the first of all
// alive members by rendezvous hashing with the suspect.
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

func rendezvousWeight(a, b memberID) uint64 {
	x := uint64(a)*0x9e3779b97f4a7c15 ^ uint64(b)*0xc2b2ae3d27d4eb4f
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// scanZone probes the members of a zone as soon as two of it are suspected: if the zone is lost,
// all of it is to be found at once. Each member is probed by a few others, chosen by a hash of the
// two.
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

// runSuspicions advances all suspicions, in the order of their members so that the same events give
// the same actions.
func (d *Decider) runSuspicions() {
	for _, s := range d.sortedSuspicions() {
		if d.suspicions[s.entry.id] == s { // not decided meanwhile
			d.advanceSuspicion(s)
		}
	}
}

// advanceSuspicion ranks the local member as a witness, pings the suspect and confirms, as far as
// that is due.
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

// confirm adds the local member's confirmation and gossips it, once.
func (d *Decider) confirm(s *suspicion) {
	if s.confirmed {
		return
	}
	s.confirmed = true
	s.confirmations = append(s.confirmations, d.self.id)
	d.broadcast(update{id: s.entry.id, state: Suspected, incarnation: s.incarnation, confirms: true, reporter: d.self.id})
}

// sortedSuspicions returns the suspicions by the id of their members.
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

// declareDeadIfConfirmed makes a suspect dead if enough witnesses confirmed, or if nobody else can
// be a witness and the local member heard nothing for the longer loneWitnessTimeout. It reports
// whether it did.
func (d *Decider) declareDeadIfConfirmed(s *suspicion) bool {
	if d.now < d.noAccusationUntil {
		return false // after a stall the refutation may wait unread
	}
	timeout := loneWitnessTimeout + d.suspicionTimeout() - baseSuspicionTimeout
	alone := s.confirmed && d.now-s.watchingSince >= timeout && !d.hasOtherWitness(s.entry)
	if len(s.confirmations) < deathConfirmations && !alone {
		return false
	}
	d.setDead(s.entry)
	return true
}

// hasOtherWitness reports whether any other member is there to be a witness of a suspect.
func (d *Decider) hasOtherWitness(suspect *entry) bool {
	for _, e := range d.entries {
		if e != d.self && e != suspect && e.State == Alive {
			return true
		}
	}
	return false
}

// setDead ends a suspicion with death.
func (d *Decider) setDead(e *entry) {
	delete(d.suspicions, e.id)
	d.setState(e, Dead, e.Incarnation)
	d.stats.Deaths++
	if d.deathsDelayedUntil == 0 {
		d.deathsDelayedUntil = d.now + maxPublishDelay
	}
}

// setAlive takes a member as alive at an incarnation above the one at which it was suspected or
// dead. A local member that watched it from the start was wrong and backs off; a member that
// returned from death has a grace period.
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
