package members

import (
	"cmp"
	"slices"
	"time"
)

// suspect is a suspicion under way.
type suspect struct {
	e      *entry
	inc    uint32
	began  time.Duration // at this decider
	mine   bool          // this decider accused
	follow bool          // this decider is a witness, or the one who accused
	own    time.Duration // since when it pings
	pinged time.Duration // last
	ranked time.Duration // when it was last worked out who is a witness
	said   bool          // that it heard nothing
	by     []ref         // witnesses who heard nothing
}

// restart has a suspicion begin anew, as its decider stood still.
func (s *suspect) restart(now time.Duration, self ref) {
	s.began, s.own, s.pinged, s.ranked, s.said = now, now, 0, 0, false
	s.by = slices.DeleteFunc(s.by, func(r ref) bool { return r == self })
}

// next is when something of it is due.
func (s *suspect) next() time.Duration {
	if s.follow {
		return s.pinged + pingEvery
	}
	return min(s.ranked+rankEvery, s.began+given)
}

// suspectOf takes a word that a member is suspected, own or heard.
func (d *Decider) suspectOf(e *entry, w word) {
	if w.inc < e.Incarnation || e == d.self || !e.lives() {
		return
	}
	s := d.suspects[e.ref]
	if s == nil || w.inc > s.inc {
		if d.now < e.has().calm || len(d.suspects) >= mostFollow {
			return
		}
		s = &suspect{e: e, inc: w.inc, began: d.now, own: d.now}
		d.suspects[e.ref] = s
		d.set(e, Suspected, w.inc)
		d.figures.Suspicions++
		s.follow = w.by == d.self.ref && !w.witness
		if !s.follow {
			d.rank(s)
		}
		s.mine = s.follow
		w.witness = w.witness && w.by != d.self.ref
		d.tellAll(w)
		d.doubtZone(e.Zone)
	}
	if w.witness && len(s.by) < witnesses+1 && !slices.Contains(s.by, w.by) {
		s.by = append(s.by, w.by)
		d.tellAll(w)
		d.mayDie(s)
	}
}

// doubtZone has others of a zone be looked at once two of it are in doubt: if the zone is lost, all of it is to be known at
// once. Each is looked at by a few members, drawn by a hash of the two.
func (d *Decider) doubtZone(zone string) {
	if at, ok := d.doubtful[zone]; ok && d.now < at+doubtAgain {
		return
	}
	n := 0
	for _, s := range d.suspects {
		if s.e.Zone == zone {
			n++
		}
	}
	if n < 2 || zone == d.self.Zone {
		return
	}
	if len(d.doubtful) > 64 {
		clear(d.doubtful)
	}
	d.doubtful[zone] = d.now
	for _, e := range d.list {
		if e.State == Alive && e.Zone == zone && weight(d.self.ref, e.ref)%uint64(max(d.living, 1)) < lookers {
			d.soon(e)
		}
	}
}

// rank works out whether this decider is a witness: among the first of all that live and are not in doubt themselves, by
// rendezvous of them and the suspect.
func (d *Decider) rank(s *suspect) {
	s.ranked = d.now
	own, before := weight(d.self.ref, s.e.ref), 0
	for _, e := range d.list {
		if e.State == Alive && e != d.self && weight(e.ref, s.e.ref) > own {
			if before++; before >= witnesses {
				return
			}
		}
	}
	s.follow, s.own = true, d.now
}

func weight(a, b ref) uint64 {
	x := uint64(a)*0x9e3779b97f4a7c15 ^ uint64(b)*0xc2b2ae3d27d4eb4f
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

func (d *Decider) dueSuspects() {
	for _, s := range d.ordered() {
		if d.suspects[s.e.ref] != s {
			continue // decided meanwhile
		}
		if !s.follow && d.now >= s.ranked+rankEvery {
			if d.mayDie(s) {
				continue
			}
			d.rank(s)
		}
		if !s.follow && d.now >= s.began+given {
			s.follow, s.own = true, d.now // nobody has decided it
		}
		if !s.follow || d.now < s.pinged+pingEvery {
			continue
		}
		if s.pinged == 0 {
			s.own = d.now
		}
		s.pinged = d.now
		if silent := d.now - s.own; silent >= d.doubt() && d.now >= d.mute {
			if !s.said {
				s.said = true
				s.by = append(s.by, d.self.ref)
				d.tellAll(word{ref: s.e.ref, state: Suspected, inc: s.inc, witness: true, by: d.self.ref})
			}
			if d.mayDie(s) {
				continue
			}
		}
		d.ping(s.e, anySeq)
	}
}

// ordered returns the suspicions by their members, so that the same events give the same actions.
func (d *Decider) ordered() []*suspect {
	if len(d.suspects) == 0 {
		return nil
	}
	all := make([]*suspect, 0, len(d.suspects))
	for _, s := range d.suspects {
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b *suspect) int { return cmp.Compare(a.e.ref, b.e.ref) })
	return all
}

// mayDie has a member be dead if enough witnesses heard nothing of it, or if there is nobody but this decider to be one and
// it heard nothing for twice as long.
func (d *Decider) mayDie(s *suspect) bool {
	if d.now < d.mute {
		return false // what it hears now may have waited while it stood still, and the refutation behind it
	}
	if len(s.by) < enough && !(s.said && d.now-s.own >= alone+d.doubt()-suspicion && !d.others(s.e)) {
		return false
	}
	d.die(s.e)
	return true
}

// others tells whether anybody but this decider is there to be a witness.
func (d *Decider) others(of *entry) bool {
	for _, e := range d.list {
		if e != d.self && e != of && e.State == Alive {
			return true
		}
	}
	return false
}

func (d *Decider) die(e *entry) {
	delete(d.suspects, e.ref)
	d.set(e, Dead, e.Incarnation)
	d.figures.Deaths++
	if d.heldAt == 0 {
		d.heldAt = d.now + holdMost
	}
}

// lives takes word that a member lives, at an incarnation beyond the one that it is suspected or dead at.
func (d *Decider) lives(e *entry, inc uint32) {
	was := e.State
	if s := d.suspects[e.ref]; s != nil && s.mine {
		p := e.had()
		p.spare = d.now + min(spareFirst<<min(p.spares, 8), calmMost)
		p.spares = min(p.spares+1, 8)
	}
	delete(d.suspects, e.ref)
	if was == Suspected {
		d.figures.Refuted++
	}
	if was == Dead {
		p := e.had()
		if d.now-e.Since > 2*calmMost {
			p.calms = 0
		}
		p.calm = d.now + min(calmFirst<<min(p.calms, 8), calmMost)
		p.calms = min(p.calms+1, 8)
	}
	d.set(e, Alive, inc)
}
