package pins

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"reachspread/internal/system/message"
)

func pin(name, tenant, route string, version int64) *message.Pin {
	return &message.Pin{Name: name, Tenant: tenant, Route: route, Model: "m", Version: version, By: "ann", Why: "trial"}
}

// Check returns an error that names the first invalid field of a pin.
func TestCheckNamesInvalidField(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(p *message.Pin)
		field  string // name of the invalid field, empty for a valid pin
	}{
		{"valid", func(*message.Pin) {}, ""},
		{"route without tenant", func(p *message.Pin) { p.Tenant, p.Route = "", "r" }, ""},
		{"no name", func(p *message.Pin) { p.Name = "" }, "name"},
		{"a name that is a path", func(p *message.Pin) { p.Name = "a/b" }, "name"},
		{"a long name", func(p *message.Pin) { p.Name = strings.Repeat("a", 65) }, "name"},
		{"neither tenant nor route", func(p *message.Pin) { p.Tenant = "" }, "tenant"},
		{"no model", func(p *message.Pin) { p.Model = "" }, "model"},
		{"no version", func(p *message.Pin) { p.Version = 0 }, "version"},
		{"a negative version", func(p *message.Pin) { p.Version = -3 }, "version"},
		{"blank author", func(p *message.Pin) { p.By = " " }, "by"},
		{"no reason", func(p *message.Pin) { p.Why = "" }, "why"},
		{"a reason that is too long", func(p *message.Pin) { p.Why = strings.Repeat("a", maxTextLen+1) }, "why"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := pin("p", "x", "", 1)
			c.change(p)
			err := Check(p)
			var fieldErr *FieldError
			is.Equal(errors.As(err, &fieldErr), c.field != "")
			if fieldErr != nil {
				is.Equal(fieldErr.Field, c.field)
			}
		})
	}
}

// Match returns the pin whose scope includes the request.
func TestMatchByScope(t *testing.T) {
	is := is.New(t)
	s := &Set{}
	for _, p := range []*message.Pin{pin("all-of-x", "x", "", 1), pin("y-on-r", "y", "r", 2), pin("all-on-q", "", "q", 3)} {
		if p.Name == "all-on-q" {
			p.Model = "n" // with model m the scope would overlap with the others
		}
		next, err := s.Add(p)
		is.NoErr(err)
		s = next
	}
	is.Equal(s.Revision, int64(3))
	for _, c := range []struct {
		tenant, route, model, pin string
	}{
		{"x", "r", "m", "all-of-x"}, {"x", "q", "m", "all-of-x"}, {"x", "q", "n", "all-on-q"}, {"y", "r", "m", "y-on-r"},
		{"y", "q", "m", ""}, {"z", "r", "m", ""}, {"", "q", "n", "all-on-q"}, {"x", "r", "", ""},
	} {
		is.Equal(s.Match(c.tenant, c.route, c.model).GetName(), c.pin)
	}
	is.Equal((*Set)(nil).Match("x", "r", "m"), nil)
}

// Add rejects a pin whose scope overlaps with that of another pin. The error names both pins.
func TestOverlapIsRejected(t *testing.T) {
	for _, c := range []struct {
		tenant, route string
		overlaps      bool
	}{
		{"x", "", true}, {"x", "r", true}, {"", "r", true}, {"", "q", false}, {"y", "", false}, {"x", "q", false}, {"y", "r", false},
	} {
		is := is.New(t)
		s, err := (&Set{}).Add(pin("old", "x", "r", 1))
		is.NoErr(err)
		_, err = s.Add(pin("new", c.tenant, c.route, 2))
		var overlap *OverlapError
		is.Equal(errors.As(err, &overlap), c.overlaps)
		if c.overlaps {
			is.True(strings.Contains(err.Error(), "old") && strings.Contains(err.Error(), "new"))
		}
		other := pin("new", c.tenant, c.route, 2)
		other.Model = "n"
		_, err = s.Add(other)
		is.NoErr(err) // pins of different models don't overlap
	}
}

// Add and Remove return a new set and leave their receiver unchanged.
func TestAddAndRemoveLeaveSetUnchanged(t *testing.T) {
	is := is.New(t)
	one, err := (&Set{}).Add(pin("a", "x", "", 1))
	is.NoErr(err)
	two, err := one.Add(pin("a", "x", "", 2)) // replaces the first
	is.NoErr(err)
	is.Equal(one.ByName("a").Version, int64(1))
	is.Equal(two.ByName("a").Version, int64(2))
	is.Equal(two.ByName("a").Revision, int64(2))
	is.Equal(len(two.Pins), 1)
	three, err := two.Remove("a")
	is.NoErr(err)
	is.Equal(len(three.Pins), 0)
	is.Equal(three.Revision, int64(3))
	_, err = three.Remove("a")
	var unknown *UnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(FromMessage(two.Message()).ByName("a").Version, int64(2))
	is.Equal(FromMessage(nil).Revision, int64(0))
}

// Add rejects a new pin if MaxPins pins are in force, but still replaces an existing pin.
func TestPinsAreBounded(t *testing.T) {
	is := is.New(t)
	s := &Set{}
	for i := range MaxPins {
		next, err := s.Add(pin(fmt.Sprint("p", i), fmt.Sprint("x", i), "", 1))
		is.NoErr(err)
		s = next
	}
	_, err := s.Add(pin("more", "y", "", 1))
	var fieldErr *FieldError
	is.True(errors.As(err, &fieldErr))
	_, err = s.Add(pin("p3", "x3", "", 2)) // replaces the pin p3
	is.NoErr(err)
}

// Pins are equivalent if they require the same version of the same model.
func TestEquivalent(t *testing.T) {
	is := is.New(t)
	is.True(Equivalent(nil, nil))
	is.True(!Equivalent(nil, pin("a", "x", "", 1)))
	is.True(Equivalent(pin("b", "y", "", 1), pin("a", "x", "", 1)))
	is.True(!Equivalent(pin("a", "x", "", 2), pin("a", "x", "", 1)))
}
