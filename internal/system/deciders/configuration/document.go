package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Document is a configuration as the operator wrote it. It never changes once it is returned.
type Document struct {
	Version int64
	fields  []field // in the operator's order, without version
}

// field is one member of the document: a list of named items, or any other value.
type field struct {
	name  string
	list  bool
	items []item
	value json.RawMessage // unless it is a list
}

// item is one item of a list. It never changes.
type item struct {
	name  string
	raw   json.RawMessage
	typed any // a valid *Route, *Service or *Tenant; nil in unknown lists
}

const versionField = "version"

// JSON returns the document as text.
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

// Bounds, in bytes, of what the version takes, and of what a field takes beside its name and value.
const (
	documentOverhead = 64
	fieldOverhead    = 8
)

// size returns an upper bound of the length of JSON.
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

// byText returns the items of a field by what the operator wrote.
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

// clone returns a copy whose fields and lists may be changed.
func (d *Document) clone() *Document {
	c := &Document{Version: d.Version, fields: slices.Clone(d.fields)}
	for i := range c.fields {
		c.fields[i].items = slices.Clone(c.fields[i].items)
	}
	return c
}

// equal reports whether two documents have the same items in the same order.
func (d *Document) equal(o *Document) bool {
	return d.Version == o.Version && slices.EqualFunc(d.fields, o.fields, func(f, g field) bool {
		return f.name == g.name && f.list == g.list && equalText(f.value, g.value) &&
			slices.EqualFunc(f.items, g.items, func(a, b item) bool { return equalText(a.raw, b.raw) })
	})
}

// equalText reports whether two texts are equal. Documents of which one was derived from the other
// share most of their texts.
func equalText(a, b json.RawMessage) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || bytes.Equal(a, b))
}
