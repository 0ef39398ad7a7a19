package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	mapset "github.com/deckarep/golang-set/v2"
)

// Parse parses a complete configuration. It returns a *SyntaxError if the text can't be parsed, and
// an *InvalidError if an item is invalid regardless of the other items.
func Parse(text []byte) (*Document, error) { return ParseAfter(nil, text) }

// ParseAfter parses a complete configuration that replaces another one, which may be nil. It
// returns the same as Parse, but it reuses an item of the replaced document instead of parsing an
// item with the same text again.
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

// member is one member of a JSON object.
type member struct {
	name  string
	value json.RawMessage
}

// readObject returns the members of a JSON object in their order. A duplicate name is an error. The
// subject names the object in errors.
func readObject(text []byte, subject string) ([]member, error) {
	if !json.Valid(text) {
		return nil, &SyntaxError{subject, "is not whole JSON"}
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	if t, err := decoder.Token(); err != nil || t != json.Delim('{') {
		return nil, &SyntaxError{subject, "is not a JSON object"}
	}
	var members []member
	for decoder.More() {
		t, err := decoder.Token()
		if err != nil {
			return nil, &SyntaxError{subject, err.Error()}
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

// readField parses a member of the document as a list of named items or as any other value. The
// argument before is the field of the same name in the replaced document, or nil.
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

// readItems parses the items of a list, whose names must be unique. It reuses items with the same
// text from the argument before, which may be nil.
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

// readItem parses one item of a list and validates it regardless of the other items.
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

func compact(raw json.RawMessage) json.RawMessage {
	var out bytes.Buffer
	if err := json.Compact(&out, raw); err != nil {
		return raw
	}
	return out.Bytes()
}
