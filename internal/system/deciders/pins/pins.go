package pins

import (
	"fmt"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/message"
)

const (
	// MaxPins bounds the pins in force.
	MaxPins = 256
	// MaxChanges bounds the changes that the history has.
	MaxChanges = 1024
)

// Set is the pins in force.
type Set struct {
	Revision int64          // grows with each change, 0 before the first
	Pins     []*message.Pin // sorted by name
}

// FromMessage returns the set of a message; nil is a set without pins.
func FromMessage(m *message.Pins) *Set {
	return &Set{Revision: m.GetRevision(), Pins: m.GetPins()}
}

// Message returns the set as a message.
func (s *Set) Message() *message.Pins { return &message.Pins{Revision: s.Revision, Pins: s.Pins} }

// Match returns the pin of a request, nil for none. Scopes don't overlap, so there is at most one.
// An empty model is that of a request which names none. Match of a nil set returns nil.
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

// covers reports whether a request is in the scope of a pin.
func covers(p *message.Pin, tenant, route, model string) bool {
	return p.Model == model && (p.Tenant == "" || p.Tenant == tenant) && (p.Route == "" || p.Route == route)
}

// ByName returns the pin of a name, nil for none.
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

// Add returns a set with one more pin, or with a pin in place of the one of its name. The pin gets
// the new revision. It returns a *FieldError or an *OverlapError.
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

// overlap reports whether a request can be in the scopes of both pins.
func overlap(p, o *message.Pin) bool {
	intersect := func(a, b string) bool { return a == "" || b == "" || a == b }
	return p.Model == o.Model && intersect(p.Tenant, o.Tenant) && intersect(p.Route, o.Route)
}

// Remove returns a set without the pin of a name. It returns an *UnknownError.
func (s *Set) Remove(name string) (*Set, error) {
	i, found := s.find(name)
	if !found {
		return nil, &UnknownError{name}
	}
	return &Set{Revision: s.Revision + 1, Pins: slices.Delete(slices.Clone(s.Pins), i, i+1)}, nil
}

// Equivalent reports whether two pins, each of which may be nil, serve a request by the same
// version.
func Equivalent(a, b *message.Pin) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Model == b.Model && a.Version == b.Version
}
