package members

import (
	"cmp"
	"slices"
)

// Roster is a membership to begin with, such as one that was persisted. One may be handed to many
// deciders, which then share the memory of the members' identities.
type Roster struct {
	identities   []*identity
	incarnations []uint32
}

// NewRoster returns a roster of members.
func NewRoster(all []Member) *Roster {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Member) int { return cmp.Compare(idOf(a.Name), idOf(b.Name)) })
	roster := &Roster{}
	for i := range all {
		roster.identities = append(roster.identities, identityOf(&all[i]))
		roster.incarnations = append(roster.incarnations, all[i].Incarnation)
	}
	return roster
}

// Restore inserts the members of a roster before the first Step. They are in the first view that is
// published, not among its changes, and are probed like any others.
func (d *Decider) Restore(roster *Roster) {
	d.entries = slices.Grow(d.entries, len(roster.identities))
	for i, ident := range roster.identities {
		id := idOf(ident.Name)
		index, e := d.find(id)
		if e != nil || len(d.entries) >= d.config.MaxMembers {
			continue
		}
		e = d.insert(index, id, ident, roster.incarnations[i])
		e.published = publishedState{boot: ident.Boot, live: true, known: true}
	}
	d.unpublished = map[memberID]*entry{}
}
