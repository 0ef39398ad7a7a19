package pins

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/message"
)

const (
	// MaxPins is the maximum number of pins in force.
	MaxPins = 256
	// MaxChanges is the maximum number of changes in the pin history.
	MaxChanges = 1024
)

// Set holds the pins in force at one revision. It is immutable.
type Set struct {
	Revision int64          // increases by one with each change; 0 before the first change
	Pins     []*message.Pin // sorted by name
}

// FromMessage returns the set that a message encodes. For nil it returns an empty set.
func FromMessage(m *message.Pins) *Set {
	return &Set{Revision: m.GetRevision(), Pins: m.GetPins()}
}

// Message returns the set as a message.
func (s *Set) Message() *message.Pins { return &message.Pins{Revision: s.Revision, Pins: s.Pins} }

// Match returns the pin that applies to a request, or nil. At most one pin applies, because the
// scopes of pins don't overlap. The model is empty if the request names none. Match returns nil for
// a nil set.
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

// covers reports whether the scope of a pin includes a request.
func covers(p *message.Pin, tenant, route, model string) bool {
	return p.Model == model && (p.Tenant == "" || p.Tenant == tenant) && (p.Route == "" || p.Route == route)
}

// ByName returns the pin with the given name, or nil.
func (s *Set) ByName(name string) *message.Pin {
	i, found := s.find(name)
	if !found {
		return nil
	}
	return s.Pins[i]
}

func (s *Set) find(name string) (i int, found bool) {
	return slices.BinarySearchFunc(s.Pins, name, func(p *message.Pin, name string) int { return strings.Compare(p.Name, name) })
}

// Add returns a copy of the set that includes a pin. The pin replaces an existing pin of the same
// name. The copy has the next revision, which is also the revision of the pin in it. The error is a
// *FieldError or an *OverlapError.
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
	i, found := next.find(p.Name)
	if found {
		next.Pins[i] = p
		return next, nil
	}
	if len(next.Pins) >= MaxPins {
		return nil, &FieldError{"name", fmt.Sprintf("%d pins are in force, and no more can be", MaxPins)}
	}
	next.Pins = slices.Insert(next.Pins, i, p)
	return next, nil
}

// overlap reports whether a request can be in the scope of both pins.
func overlap(p, o *message.Pin) bool {
	intersect := func(a, b string) bool { return a == "" || b == "" || a == b }
	return p.Model == o.Model && intersect(p.Tenant, o.Tenant) && intersect(p.Route, o.Route)
}

// Remove returns a copy of the set, with the next revision, that lacks the pin with the given name.
// The error is an *UnknownError.
func (s *Set) Remove(name string) (*Set, error) {
	i, found := s.find(name)
	if !found {
		return nil, &UnknownError{name}
	}
	return &Set{Revision: s.Revision + 1, Pins: slices.Delete(slices.Clone(s.Pins), i, i+1)}, nil
}

// Equivalent reports whether two pins require the same version of the same model. Each of the pins
// may be nil, which means that no pin applies.
func Equivalent(a, b *message.Pin) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Model == b.Model && a.Version == b.Version
}
