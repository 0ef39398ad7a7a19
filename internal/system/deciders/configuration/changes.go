package configuration

import (
	"slices"
)

// ListChange describes how one list differs between two documents, by the names of its items. A
// field that is not a list counts as a list whose only item has the name of the field.
type ListChange struct {
	List    string   `json:"list"`
	Added   []string `json:"added,omitempty"`
	Changed []string `json:"changed,omitempty"`
	Removed []string `json:"removed,omitempty"`
}

// Changes returns the differences between two documents. They have the order of the fields in the
// later document, followed by the fields that it lacks. The earlier document may be nil. Reordered
// items count as unchanged.
func Changes(before, after *Document) (all []ListChange) {
	if before == nil {
		before = &Document{}
	}
	for i := range after.fields {
		f := &after.fields[i]
		if c := listChange(before.find(f.name), f); !c.empty() {
			all = append(all, c)
		}
	}
	for i := range before.fields {
		if f := &before.fields[i]; after.find(f.name) == nil {
			all = append(all, ListChange{List: f.name, Removed: namesOf(f)})
		}
	}
	return all
}

func (c *ListChange) empty() bool { return len(c.Added)+len(c.Changed)+len(c.Removed) == 0 }

// listChange returns the difference of one field. The argument before is nil for a new field.
func listChange(before, after *field) ListChange {
	c := ListChange{List: after.name}
	switch {
	case before == nil || before.list != after.list:
		c.Added = namesOf(after)
		return c
	case !after.list:
		if !equalText(before.value, after.value) {
			c.Changed = []string{after.name}
		}
		return c
	}
	old := map[string]item{}
	for _, it := range before.items {
		old[it.name] = it
	}
	for _, it := range after.items {
		previous, ok := old[it.name]
		switch {
		case !ok:
			c.Added = append(c.Added, it.name)
		case !equalText(previous.raw, it.raw):
			c.Changed = append(c.Changed, it.name)
		}
		delete(old, it.name)
	}
	for name := range old {
		c.Removed = append(c.Removed, name)
	}
	slices.Sort(c.Removed)
	return c
}

func namesOf(f *field) (all []string) {
	if !f.list {
		return []string{f.name}
	}
	for _, it := range f.items {
		all = append(all, it.name)
	}
	return all
}
