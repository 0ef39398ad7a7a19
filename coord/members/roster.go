package members

import (
	"cmp"
	"slices"
)

// Kept is a membership to begin with, such as one that was persisted. One may be handed to many
// deciders, which then share the memory of the members' identities.
type Roster struct {
	identities   []*identity
	incarnations []uint32
}

// Keep returns a Kept of members.
func NewRoster(all []Member) *Roster {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(idOf(a.Name), idOf(b.Name)) })
	k := &Roster{}
	for i := range all {
		k.identities = append(k.identities, identityOf(&all[i]))
		k.incarnations = append(k.incarnations, all[i].Incarnation)
	}
	return k
}

// Know inserts members before the first Step. They are in the first view that is published, not
// among its changes, and are probed like any others.
func (d *Decider) Restore(k *Roster) {
	d.entries = slices.Grow(d.entries, len(k.identities))
	for i, who := range k.identities {
		id := idOf(who.Name)
		at, e := d.find(id)
		if e != nil || len(d.entries) >= d.config.MaxMembers {
			continue
		}
		e = d.insert(at, id, who, k.incarnations[i])
		e.published = publishedState{boot: who.Boot, live: true, known: true}
	}
	d.unpublished = map[memberID]*entry{}
}
