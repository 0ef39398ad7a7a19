package members

import (
	"cmp"
	"slices"
)

// Roster is an initial membership for a Decider, for example one that was persisted. Several
// Deciders can use the same Roster and then share the memory of the members' identities.
type Roster struct {
	identities   []*identity
	incarnations []uint32
}

// NewRoster returns a Roster of the given members.
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

// Restore inserts the members of a Roster. The owner must call Restore before the first Step. The
// first published view contains these members, but its list of changes does not. The Decider probes
// these members like all others.
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
