package configuration

import (
	"bytes"
	"encoding/json"
	"slices"
)

// change is a patch as text.
type patchText struct {
	Version int64                      `json:"version"`
	Upsert  map[string]json.RawMessage `json:"upsert,omitempty"`
	Remove  map[string][]string        `json:"remove,omitempty"`
}

// Difference is the patch that makes one document of another; ok is false where none does, as fields went or items changed places.
func Difference(before, after *Document) (text []byte, ok bool) {
	out := patchText{Version: after.Version, Upsert: map[string]json.RawMessage{}, Remove: map[string][]string{}}
	for _, f := range before.fields {
		if g := after.find(f.name); g == nil || g.list != f.list {
			return nil, false
		}
	}
	for i := range after.fields {
		out.add(before.find(after.fields[i].name), &after.fields[i])
	}
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false) // items go as they were written
	if err := encoder.Encode(out); err != nil {
		return nil, false
	}
	text = buffer.Bytes()
	patch, err := ParsePatch(text)
	if err != nil {
		return nil, false
	}
	made, err := before.Apply(patch)
	return text, err == nil && made.equal(after)
}

// add adds what makes one field of another.
func (c *patchText) add(before, after *field) {
	if !after.list {
		if before == nil || !bytes.Equal(before.value, after.value) {
			c.Upsert[after.name] = after.value
		}
		return
	}
	old := map[string]item{}
	if before != nil {
		for _, it := range before.items {
			old[it.name] = it
		}
	}
	var changed []json.RawMessage
	for _, it := range after.items {
		if had, ok := old[it.name]; !ok || !equalText(had.raw, it.raw) {
			changed = append(changed, it.raw)
		}
		delete(old, it.name)
	}
	if len(changed) > 0 || before == nil {
		c.Upsert[after.name] = joinItems(changed)
	}
	for name := range old {
		c.Remove[after.name] = append(c.Remove[after.name], name)
	}
	slices.Sort(c.Remove[after.name])
}

// joinItems writes a list.
func joinItems(items []json.RawMessage) json.RawMessage {
	out := []byte{'['}
	for i, it := range items {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, it...)
	}
	return append(out, ']')
}

// sameText tells whether two texts are the same. Documents that were made of each other share most of theirs.
func equalText(a, b json.RawMessage) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || bytes.Equal(a, b))
}

// equal tells whether two documents say the same in the same order.
func (d *Document) equal(o *Document) bool {
	return d.Version == o.Version && slices.EqualFunc(d.fields, o.fields, func(f, g field) bool {
		return f.name == g.name && f.list == g.list && equalText(f.value, g.value) &&
			slices.EqualFunc(f.items, g.items, func(a, b item) bool { return equalText(a.raw, b.raw) })
	})
}
