// Package configuration is the operator's configuration: the document as it was sent, item by item, the changes of it, and the typed
// form that routers act on. It is pure.
//
// A Document keeps each item as the operator wrote it, with fields that nobody here knows of, so that what is read back is what was
// sent. Compile gives the typed form and finds every fault for which a configuration is refused.
package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	mapset "github.com/deckarep/golang-set/v2"
)

// Document is a configuration as the operator wrote it. It is not to be changed once it was made.
type Document struct {
	Version int64
	fields  []field // in the order of their first coming, without version
}

// field is one member of the document: a list of named items, or any other value.
type field struct {
	name  string
	list  bool
	items []item
	value json.RawMessage // where it is no list
}

// item is one of a list. It is not to be changed.
type item struct {
	name  string
	raw   json.RawMessage
	typed any // a *Route, *Service or *Tenant, checked by itself; nil in lists that nobody here knows of
}

const versionField = "version"

// SyntaxError says that a configuration could not be read.
type SyntaxError struct {
	Field  string // at fault
	Reason string
}

// Error implements error.
func (e *SyntaxError) Error() string { return e.Field + ": " + e.Reason }

// Parse reads a whole configuration.
func Parse(text []byte) (*Document, error) { return ParseAfter(nil, text) }

// ParseAfter reads a whole configuration that comes after another one, nil for none. Items that are the same in both are read once.
func ParseAfter(before *Document, text []byte) (*Document, error) {
	members, err := readObject(text, "the configuration")
	if err != nil {
		return nil, err
	}
	d := &Document{}
	found := false
	for _, m := range members {
		if m.name == versionField {
			found = true
			if err := json.Unmarshal(m.value, &d.Version); err != nil {
				return nil, &SyntaxError{versionField, "is not a whole number"}
			}
			continue
		}
		f, err := readField(m, before.find(m.name))
		if err != nil {
			return nil, err
		}
		d.fields = append(d.fields, f)
	}
	if !found {
		return nil, &SyntaxError{versionField, "is missing"}
	}
	return d, nil
}

// member is one of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// readObject reads the members of a JSON object in their order. A name that comes twice is a fault.
func readObject(text []byte, what string) ([]member, error) {
	if !json.Valid(text) {
		return nil, &SyntaxError{what, "is not whole JSON"}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	if t, err := decoder.Token(); err != nil || t != json.Delim('{') {
		return nil, &SyntaxError{what, "is not a JSON object"}
	}
	var members []member
	for decoder.More() {
		t, err := decoder.Token()
		if err != nil {
			return nil, &SyntaxError{what, err.Error()}
		}
		m := member{name: t.(string)}
		if err := decoder.Decode(&m.value); err != nil {
			return nil, &SyntaxError{m.name, err.Error()}
		}
		if slices.ContainsFunc(members, func(o member) bool { return o.name == m.name }) {
			return nil, &SyntaxError{m.name, "is there twice"}
		}
		members = append(members, m)
	}
	return members, nil
}

// readField tells lists of named items from other values. Before is the same field of the document before, nil for none.
func readField(m member, before *field) (field, error) {
	var raws []json.RawMessage
	if json.Unmarshal(m.value, &raws) != nil || raws == nil {
		if decoders[m.name] != nil && !bytes.Equal(m.value, []byte("null")) {
			return field{}, &SyntaxError{m.name, "is not a list"}
		}
		return field{name: m.name, value: compact(m.value)}, nil
	}
	items, err := readItems(m.name, raws, before)
	return field{name: m.name, list: true, items: items}, err
}

// readItems reads the items of a list, which must have names of their own.
func readItems(list string, raws []json.RawMessage, before *field) ([]item, error) {
	known := before.byText()
	items := make([]item, 0, len(raws))
	seen := mapset.NewThreadUnsafeSetWithSize[string](len(raws))
	for i, raw := range raws {
		it, ok := known[string(raw)]
		if !ok {
			var err error
			if it, err = readItem(list, i, raw); err != nil {
				return nil, err
			}
		}
		if !seen.Add(it.name) {
			return nil, &SyntaxError{fmt.Sprintf("%s[%d].name", list, i), fmt.Sprintf("%q is there twice", it.name)}
		}
		items = append(items, it)
	}
	return items, nil
}

// readItem reads one item of a list, and checks what can be told from the item alone.
func readItem(list string, i int, raw json.RawMessage) (item, error) {
	var named struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(raw, &named); err != nil {
		return item{}, &SyntaxError{fmt.Sprintf("%s[%d]", list, i), "is not an object with a name"}
	}
	if named.Name == "" {
		return item{}, &SyntaxError{fmt.Sprintf("%s[%d].name", list, i), "is missing"}
	}
	it := item{name: named.Name, raw: compact(raw)}
	decode := decoders[list]
	if decode == nil {
		return it, nil
	}
	var err error
	it.typed, err = decode(fmt.Sprintf("%s %q", strings.TrimSuffix(list, "s"), it.name), it.raw)
	return it, err
}

// byText are the items of a field by what the operator wrote.
func (f *field) byText() map[string]item {
	if f == nil {
		return nil
	}
	all := make(map[string]item, len(f.items))
	for _, it := range f.items {
		all[string(it.raw)] = it
	}
	return all
}

func compact(raw json.RawMessage) json.RawMessage {
	var out bytes.Buffer
	if err := json.Compact(&out, raw); err != nil {
		return raw
	}
	return out.Bytes()
}

// JSON writes the document whole.
func (d *Document) JSON() []byte {
	out := make([]byte, 0, d.size())
	out = fmt.Appendf(out, `{"version":%d`, d.Version)
	for _, f := range d.fields {
		out = append(out, ',')
		out = appendName(out, f.name)
		if !f.list {
			out = append(out, f.value...)
			continue
		}
		out = append(out, '[')
		for i, it := range f.items {
			if i > 0 {
				out = append(out, ',')
			}
			out = append(out, it.raw...)
		}
		out = append(out, ']')
	}
	return append(out, '}')
}

// headBytes is more than the version takes, and perField more than a field does beside its name and value.
const (
	documentOverhead = 64
	fieldOverhead    = 8
)

// size is at least the length of the document in bytes.
func (d *Document) size() int {
	n := documentOverhead
	for _, f := range d.fields {
		n += len(f.name) + len(f.value) + fieldOverhead
		for _, it := range f.items {
			n += len(it.raw) + 1
		}
	}
	return n
}

func appendName(out []byte, name string) []byte {
	text, _ := json.Marshal(name)
	return append(append(out, text...), ':')
}

// find returns the field of a name, nil if there is none.
func (d *Document) find(name string) *field {
	if d == nil {
		return nil
	}
	for i := range d.fields {
		if d.fields[i].name == name {
			return &d.fields[i]
		}
	}
	return nil
}

// clone returns a copy whose lists may be changed.
func (d *Document) clone() *Document {
	c := &Document{Version: d.Version, fields: slices.Clone(d.fields)}
	for i := range c.fields {
		c.fields[i].items = slices.Clone(c.fields[i].items)
	}
	return c
}
