// Package pins has the rules of version pins: a pin has the requests of a tenant, of a route or of one tenant on one route served by one
// version of a model. It is pure, and owns nothing: a Set never changes. docs/design/pins.md has the design.
package pins

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/message"
)

const (
	// MostPins bounds the pins in force.
	MaxPins = 256
	// MostChanges bounds the changes that are remembered.
	MaxChanges = 1024
	// mostText bounds the texts of a pin, in bytes.
	maxTextLen = 256
)

// names are those that a pin may have.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

// FieldError says which field of a pin can't be used, and why.
type FieldError struct{ Field, Reason string }

// Error implements error.
func (e *FieldError) Error() string { return "pin: " + e.Field + ": " + e.Reason }

// OverlapError says that a request could be in the scope of two pins.
type OverlapError struct{ New, Other string }

// Error implements error.
func (e *OverlapError) Error() string {
	return fmt.Sprintf("pin %s overlaps with pin %s, which is in force: lift that one first, or narrow the scope", e.New, e.Other)
}

// UnknownError says that no pin of a name is in force.
type UnknownError struct{ Name string }

// Error implements error.
func (e *UnknownError) Error() string { return "no pin " + e.Name + " is in force" }

// Set is the pins in force.
type Set struct {
	Revision int64 // grows with each change, 0 before the first
	Pins     []*message.Pin
}

// FromMessage reads a set; nil is one without pins.
func FromMessage(m *message.Pins) *Set {
	return &Set{Revision: m.GetRevision(), Pins: m.GetPins()}
}

// Message writes a set.
func (s *Set) Message() *message.Pins { return &message.Pins{Revision: s.Revision, Pins: s.Pins} }

// Of is the pin of a request, nil for none. An empty model is that of a request which names none.
func (s *Set) Match(tenant, route, model string) *message.Pin {
	if s == nil {
		return nil
	}
	for _, p := range s.Pins {
		if covers(p, tenant, route, model) {
			return p
		}
	}
	return nil
}

func covers(p *message.Pin, tenant, route, model string) bool {
	return p.Model == model && (p.Tenant == "" || p.Tenant == tenant) && (p.Route == "" || p.Route == route)
}

// Named is the pin of a name, nil for none.
func (s *Set) ByName(name string) *message.Pin {
	at, found := s.find(name)
	if !found {
		return nil
	}
	return s.Pins[at]
}

func (s *Set) find(name string) (at int, found bool) {
	return slices.BinarySearchFunc(s.Pins, name, func(p *message.Pin, name string) int { return strings.Compare(p.Name, name) })
}

// Check tells what is wrong with a pin that is to be set, whatever is in force.
func Check(p *message.Pin) error {
	switch {
	case !namePattern.MatchString(p.Name):
		return &FieldError{"name", fmt.Sprintf("%q is not one of 1 to 64 letters, digits, dots, dashes and underscores that begins with a letter or digit", p.Name)}
	case p.Tenant == "" && p.Route == "":
		return &FieldError{"tenant", "either a tenant or a route must be named"}
	case p.Model == "":
		return &FieldError{"model", "it is missing"}
	case p.Version <= 0:
		return &FieldError{"version", fmt.Sprintf("%d is not a version; they are whole numbers from 1 on", p.Version)}
	}
	return checkTexts(p)
}

// CheckLift tells what is wrong with an order to lift a pin.
func CheckLift(p *message.Pin) error {
	if !namePattern.MatchString(p.Name) {
		return &FieldError{"name", fmt.Sprintf("%q is no pin's", p.Name)}
	}
	return checkTexts(p)
}

// checkTexts looks at who orders and why: both are for the history.
func checkTexts(p *message.Pin) error {
	for _, field := range []struct{ name, text string }{{"by", p.By}, {"why", p.Why}} {
		if strings.TrimSpace(field.text) == "" {
			return &FieldError{field.name, "it is missing"}
		}
	}
	for _, field := range []struct{ name, text string }{{"by", p.By}, {"why", p.Why}, {"tenant", p.Tenant}, {"route", p.Route}, {"model", p.Model}} {
		if len(field.text) > maxTextLen {
			return &FieldError{field.name, fmt.Sprintf("it is longer than %d bytes", maxTextLen)}
		}
	}
	return nil
}

// Add is a set with a pin more, or in place of the one of its name; the pin gets the revision.
func (s *Set) Add(p *message.Pin) (*Set, error) {
	if err := Check(p); err != nil {
		return nil, err
	}
	for _, other := range s.Pins {
		if other.Name != p.Name && overlap(p, other) {
			return nil, &OverlapError{p.Name, other.Name}
		}
	}
	next := &Set{Revision: s.Revision + 1, Pins: slices.Clone(s.Pins)}
	p = proto.Clone(p).(*message.Pin)
	p.Revision = next.Revision
	at, found := next.find(p.Name)
	if found {
		next.Pins[at] = p
		return next, nil
	}
	if len(next.Pins) >= MaxPins {
		return nil, &FieldError{"name", fmt.Sprintf("%d pins are in force, and no more can be", MaxPins)}
	}
	next.Pins = slices.Insert(next.Pins, at, p)
	return next, nil
}

// overlap tells whether a request can be in the scope of both.
func overlap(p, o *message.Pin) bool {
	meet := func(a, b string) bool { return a == "" || b == "" || a == b }
	return p.Model == o.Model && meet(p.Tenant, o.Tenant) && meet(p.Route, o.Route)
}

// Remove is a set without the pin of a name.
func (s *Set) Remove(name string) (*Set, error) {
	at, found := s.find(name)
	if !found {
		return nil, &UnknownError{name}
	}
	return &Set{Revision: s.Revision + 1, Pins: slices.Delete(slices.Clone(s.Pins), at, at+1)}, nil
}

// Same tells whether two pins, of which each may be nil, have a request served alike.
func Equivalent(a, b *message.Pin) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Model == b.Model && a.Version == b.Version
}
