package configuration

import (
	"fmt"
	"sync"

	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
)

// State is a configuration in force, as document and typed, with the version pins. It never
// changes. A nil *State is that before the first configuration.
type State struct {
	Document *Document
	Typed    *Configuration
	text     func() []byte
	pins     *pins.Set // nil for none
}

// JSON returns the configuration as text, encoded on first use. It must not be changed.
func (s *State) JSON() []byte { return s.text() }

// Version returns the version of the configuration, 0 for none.
func (s *State) Version() int64 {
	if s == nil {
		return 0
	}
	return s.Document.Version
}

// document returns the document, nil for none.
func (s *State) document() *Document {
	if s == nil {
		return nil
	}
	return s.Document
}

// Pins returns the version pins in force, an empty set for none.
func (s *State) Pins() *pins.Set {
	if s == nil || s.pins == nil {
		return &pins.Set{}
	}
	return s.pins
}

// WithPins returns the state with other pins.
func (s *State) WithPins(set *pins.Set) *State {
	next := *s
	next.pins = set
	return &next
}

// Next returns the state after an order that replaces or patches the configuration of a state, nil
// for none. It returns ErrNoConfiguration, a *SyntaxError or an *InvalidError.
func Next(state *State, order *message.Order) (*State, error) {
	var document *Document
	var err error
	switch order.Kind {
	case message.Order_PUT:
		document, err = ParseAfter(state.document(), order.Body)
	case message.Order_PATCH:
		var patch *Patch
		if patch, err = ParsePatch(order.Body); err != nil {
			return nil, err
		}
		if state == nil {
			return nil, ErrNoConfiguration
		}
		document, err = state.Document.Apply(patch)
	default:
		return nil, &SyntaxError{"kind", fmt.Sprintf("%d is not known", order.Kind)}
	}
	if err != nil {
		return nil, err
	}
	return newState(state, document)
}

// NewState returns the state of a document, without pins. Its errors are those of Compile.
func NewState(d *Document) (*State, error) { return newState(nil, d) }

// newState returns the state of a document that replaces that of another state, nil for none.
func newState(before *State, d *Document) (*State, error) {
	var typed *Configuration
	var pinSet *pins.Set
	if before != nil {
		typed, pinSet = before.Typed, before.pins
	}
	typed, err := compileAfter(typed, d)
	if err != nil {
		return nil, err
	}
	return &State{Document: d, Typed: typed, text: sync.OnceValue(d.JSON), pins: pinSet}, nil
}
