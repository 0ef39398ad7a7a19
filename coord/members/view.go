package members

import (
	"cmp"
	"slices"
)

// maxRetainedUnpublished is the largest number of unpublished members for which takeChanges reuses
// the map. A Go map never releases the memory of its largest size, which is rarely needed.
const maxRetainedUnpublished = 64

// View returns a snapshot of the live members. It copies all members; a caller that needs only the
// changes should use Changed.Changes instead.
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

// Digest returns the digest of the current view.
func (d *Decider) Digest() uint64 { return d.viewDigest }

// publish adds a Changed action if the view changed. While a suspicion or a scan in the zone of an
// unpublished death is unresolved, publish waits, at most for maxPublishDelay, so that the loss of
// a whole zone is published as one change.
func (d *Decider) publish() {
	if len(d.unpublished) == 0 {
		d.deathsDelayedUntil = 0
		return
	}
	if d.self.State != Alive {
		return // a view contains the local member, so no view exists before it joined or after it left
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

// takeChanges returns the changes of all unpublished members, in no particular order, and marks
// these members as published.
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

// unpublishedChange compares the member with its published state. It returns the reason of the
// change, and whether there is a change to publish.
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

// hasUndecidedZone reports whether the zone of an unpublished death has a suspected member, or was
// scanned so recently that the scan may still find one.
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

// isUnpublishedDeath reports whether the member is dead but still live in the published view.
func (e *entry) isUnpublishedDeath() bool { return e.State == Dead && e.published.live }

// classifyZoneLosses sets the reason of crashes to ReasonZoneLost if more than one member and at
// least half of the members of the zone crashed.
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
