package configuration

import (
	"encoding/json"
	"fmt"
	"slices"

	mapset "github.com/deckarep/golang-set/v2"
)

// Patch changes items of a document by name.
type Patch struct {
	Version int64
	upsert  []field
	remove  []removal
}

// removal names items of a list to remove.
type removal struct {
	list  string
	names []string
}

// ParsePatch parses a patch. It returns a *SyntaxError, or an *InvalidError for an invalid item.
func ParsePatch(text []byte) (*Patch, error) {
	members, err := readObject(text, "the change")
	if err != nil {
		return nil, err
	}
	p := &Patch{}
	found := false
	for _, m := range members {
		switch m.name {
		case versionField:
			found = true
			if err := json.Unmarshal(m.value, &p.Version); err != nil {
				return nil, &SyntaxError{versionField, "is not a whole number"}
			}
		case "upsert":
			if p.upsert, err = readUpsert(m.value); err != nil {
				return nil, err
			}
		case "remove":
			if p.remove, err = readRemove(m.value); err != nil {
				return nil, err
			}
		default:
			return nil, &SyntaxError{m.name, "is not a member of a change; it has version, upsert and remove"}
		}
	}
	if !found {
		return nil, &SyntaxError{versionField, "is missing"}
	}
	return p, nil
}

func readUpsert(text json.RawMessage) ([]field, error) {
	members, err := readObject(text, "upsert")
	if err != nil {
		return nil, err
	}
	var all []field
	for _, m := range members {
		f, err := readField(m, nil)
		if err != nil {
			return nil, err
		}
		all = append(all, f)
	}
	return all, nil
}

func readRemove(text json.RawMessage) ([]removal, error) {
	members, err := readObject(text, "remove")
	if err != nil {
		return nil, err
	}
	var all []removal
	for _, m := range members {
		r := removal{list: m.name}
		if err := json.Unmarshal(m.value, &r.names); err != nil {
			return nil, &SyntaxError{"remove." + m.name, "is not a list of names"}
		}
		all = append(all, r)
	}
	return all, nil
}

// Apply returns the document with a patch applied, and leaves its receiver unchanged. Removing what
// does not exist has no effect.
func (d *Document) Apply(p *Patch) (*Document, error) {
	next := d.clone()
	next.Version = p.Version
	for _, r := range p.remove {
		f := next.find(r.list)
		if f == nil || !f.list {
			continue
		}
		removed := mapset.NewThreadUnsafeSet(r.names...)
		f.items = slices.DeleteFunc(f.items, func(it item) bool { return removed.ContainsOne(it.name) })
	}
	for _, u := range p.upsert {
		f := next.find(u.name)
		switch {
		case f == nil:
			next.fields = append(next.fields, u)
		case f.list != u.list:
			return nil, &SyntaxError{"upsert." + u.name, fmt.Sprintf("list is %v, as it is in force it is %v", u.list, f.list)}
		case !u.list:
			f.value = u.value
		default:
			f.items = upsert(f.items, u.items)
		}
	}
	return next, nil
}

// upsert replaces items by name and appends new ones.
func upsert(items, changed []item) []item {
	pending := make(map[string]item, len(changed))
	for _, it := range changed {
		pending[it.name] = it
	}
	for i := range items {
		if it, ok := pending[items[i].name]; ok {
			items[i] = it
			delete(pending, it.name)
		}
	}
	for _, it := range changed {
		if _, ok := pending[it.name]; ok {
			items = append(items, it)
		}
	}
	return items
}
