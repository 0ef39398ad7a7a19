package members

import (
	"cmp"
	"slices"
)

// maxRetainedUnpublished is from how many unpublished members on their map is allocated anew: a map
// keeps the memory of its largest size, which is that of a rare day.
const maxRetainedUnpublished = 64

// View returns a snapshot. It copies all members, so it is for whoever asks, not for each change.
func (d *Decider) View() *View {
	v := &View{Version: d.viewVersion, Digest: d.viewDigest, Members: make([]Member, 0, d.liveCount)}
	for _, e := range d.entries {
		if e.isLive() {
			v.Members = append(v.Members, *e.toMember())
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return v
}

// Digest returns the digest of the present view.
func (d *Decider) Digest() uint64 { return d.viewDigest }

// publish notifies users of what became of members. A death waits as long as the fate of other
// members of its zone is undecided, at most maxPublishDelay, so that a lost zone is one change.
func (d *Decider) publish() {
	if len(d.unpublished) == 0 {
		d.deathsDelayedUntil = 0
		return
	}
	if d.self.State != Alive {
		return // a view contains the local member: there is none before it joined or after it left
	}
	if d.deathsDelayedUntil > 0 && d.now < d.deathsDelayedUntil && d.hasUndecidedZone() {
		return
	}
	d.deathsDelayedUntil = 0
	changes := d.takeChanges()
	if len(changes) == 0 {
		return
	}
	d.classifyZoneLosses(changes)
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Member.Name, b.Member.Name) })
	d.viewVersion++
	d.actions = append(d.actions, Changed{Version: d.viewVersion, Digest: d.viewDigest, Changes: changes})
}

// takeChanges returns the changes of all unpublished members, in no order, and marks them
// published.
func (d *Decider) takeChanges() (changes []Change) {
	unpublished := d.unpublished
	if len(unpublished) > maxRetainedUnpublished {
		d.unpublished = map[memberID]*entry{}
	}
	for id, e := range unpublished {
		delete(unpublished, id)
		reason, changed := e.unpublishedChange()
		if !changed {
			continue
		}
		e.published = publishedState{live: e.isLive(), known: true, boot: e.Boot}
		changes = append(changes, Change{*e.toMember(), reason})
	}
	return changes
}

// unpublishedChange compares the member with what users know of it.
func (e *entry) unpublishedChange() (Reason, bool) {
	switch {
	case e.isLive() && !e.published.known:
		return ReasonJoined, true
	case e.isLive() && e.published.boot != e.Boot:
		return ReasonRestarted, true
	case e.isLive() && !e.published.live:
		return ReasonReturned, true
	case !e.isLive() && e.published.live && e.State == Left:
		return ReasonLeft, true
	case !e.isLive() && e.published.live:
		return ReasonCrashed, true
	}
	return "", false
}

// hasUndecidedZone reports whether the zone of an unpublished death has a suspect, or was scanned
// so recently that one may still be found.
func (d *Decider) hasUndecidedZone() bool {
	const scanTime = baseProbeTimeout + baseSuspicionTimeout + 4*regossipDelay
	for _, e := range d.unpublished {
		if !e.isUnpublishedDeath() {
			continue
		}
		if at, scanned := d.zoneScannedAt[e.Zone]; scanned && d.now < at+scanTime {
			return true
		}
		for _, s := range d.suspicions {
			if s.entry.Zone == e.Zone {
				return true
			}
		}
	}
	return false
}

// isUnpublishedDeath reports whether the member is dead and alive to users.
func (e *entry) isUnpublishedDeath() bool { return e.State == Dead && e.published.live }

// classifyZoneLosses gives the deaths of at least half of a zone, and of more than one member,
// their reason.
func (d *Decider) classifyZoneLosses(changes []Change) {
	crashed := map[string]int{}
	for i := range changes {
		if changes[i].Reason == ReasonCrashed {
			crashed[changes[i].Member.Zone]++
		}
	}
	if len(crashed) == 0 {
		return
	}
	live := map[string]int{}
	for _, e := range d.entries {
		if e.isLive() {
			live[e.Zone]++
		}
	}
	for i := range changes {
		zone := changes[i].Member.Zone
		if changes[i].Reason == ReasonCrashed && crashed[zone] > 1 && crashed[zone] >= live[zone] {
			changes[i].Reason = ReasonZoneLost
		}
	}
}
