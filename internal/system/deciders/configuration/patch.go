package configuration

import (
	"encoding/json"
	"fmt"
	"slices"

	mapset "github.com/deckarep/golang-set/v2"
)

// Patch describes changes of a document: fields and named items to set, and named items to remove.
type Patch struct {
	Version int64     // of the changed document
	upsert  []field   // fields to set, and items to replace or append
	remove  []removal // items to remove
}

// removal names the items to remove from one list.
type removal struct {
	list  string
	names []string
}

// ParsePatch parses a patch. It returns a *SyntaxError if the text can't be parsed, and an
// *InvalidError if an item is invalid.
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

// Apply returns a copy of the document with a patch applied. It applies removals first. Removing an
// item that does not exist has no effect.
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

// upsert replaces items that have the name of a changed item and appends the other changed items.
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
