package configuration

import (
	"bytes"
	"encoding/json"
	"slices"
)

// patchJSON is the JSON form of a patch.
type patchJSON struct {
	Version int64                      `json:"version"`
	Upsert  map[string]json.RawMessage `json:"upsert,omitempty"`
	Remove  map[string][]string        `json:"remove,omitempty"`
}

// Difference returns the text of a patch that turns one document into another. It returns false if
// no patch can do so, for example because fields were removed or items were reordered.
func Difference(before, after *Document) (text []byte, ok bool) {
	out := patchJSON{Version: after.Version, Upsert: map[string]json.RawMessage{}, Remove: map[string][]string{}}
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
	encoder.SetEscapeHTML(false) // send the items as the operator wrote them
	if err := encoder.Encode(out); err != nil {
		return nil, false
	}
	text = buffer.Bytes()
	patch, err := ParsePatch(text)
	if err != nil {
		return nil, false
	}
	patched, err := before.Apply(patch)
	return text, err == nil && patched.equal(after)
}

// add adds the difference of one field to the patch. The argument before is nil for a new field.
func (c *patchJSON) add(before, after *field) {
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
		if previous, ok := old[it.name]; !ok || !equalText(previous.raw, it.raw) {
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

// joinItems returns a JSON array of items.
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
