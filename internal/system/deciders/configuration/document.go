package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Document is a configuration as the operator wrote it, including unknown fields. It is immutable
// once a function of this package has returned it.
type Document struct {
	Version int64
	fields  []field // in the operator's order; excludes the field version
}

// field is a top-level member of the document: either a list of named items or any other value.
type field struct {
	name  string
	list  bool            // whether the field is a list of named items
	items []item          // of a list
	value json.RawMessage // of a field that is not a list
}

// item is a named item of a list. It is immutable.
type item struct {
	name  string
	raw   json.RawMessage // the item as the operator wrote it, without insignificant white space
	typed any             // a valid *Route, *Service or *Tenant; nil in lists unknown to this package
}

const versionField = "version"

// JSON returns the document as JSON text.
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

// Upper bounds of sizes in the JSON text, in bytes.
const (
	documentOverhead = 64 // the version with its name, and the enclosing braces
	fieldOverhead    = 8  // a field without its name and value
)

// size returns an estimate of the length of the JSON text, for allocation. It is an upper bound
// unless the name of a field needs escapes.
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

// find returns the field with the given name, or nil. It returns nil for a nil document.
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

// byText returns the items of a field by their JSON text. It returns nil for a nil field.
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

// clone returns a copy of the document whose fields and lists may be changed.
func (d *Document) clone() *Document {
	c := &Document{Version: d.Version, fields: slices.Clone(d.fields)}
	for i := range c.fields {
		c.fields[i].items = slices.Clone(c.fields[i].items)
	}
	return c
}

// equal reports whether two documents have the same version and the same fields and items in the
// same order.
func (d *Document) equal(o *Document) bool {
	return d.Version == o.Version && slices.EqualFunc(d.fields, o.fields, func(f, g field) bool {
		return f.name == g.name && f.list == g.list && equalText(f.value, g.value) &&
			slices.EqualFunc(f.items, g.items, func(a, b item) bool { return equalText(a.raw, b.raw) })
	})
}

// equalText reports whether two texts are equal. It compares the addresses first, because documents
// share most of their texts if one was derived from the other.
func equalText(a, b json.RawMessage) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0] || bytes.Equal(a, b))
}
