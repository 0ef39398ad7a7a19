package configuration

import (
	"fmt"
	"sync"

	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
)

// State is a configuration in force, both as a document and in typed form, with the version pins in
// force. It is immutable. A nil *State is the state before the first configuration.
type State struct {
	Document *Document
	Typed    *Configuration
	text     func() []byte
	pins     *pins.Set // nil before the first change of the pins
}

// JSON returns the configuration as JSON text. The first call encodes the text, and later calls
// return the same slice, which callers must not change.
func (s *State) JSON() []byte { return s.text() }

// Version returns the version of the configuration, or 0 for a nil state.
func (s *State) Version() int64 {
	if s == nil {
		return 0
	}
	return s.Document.Version
}

// document returns the document of the state, or nil for a nil state.
func (s *State) document() *Document {
	if s == nil {
		return nil
	}
	return s.Document
}

// Pins returns the version pins in force. The set is empty if there are none.
func (s *State) Pins() *pins.Set {
	if s == nil || s.pins == nil {
		return &pins.Set{}
	}
	return s.pins
}

// WithPins returns a copy of the state with other pins.
func (s *State) WithPins(set *pins.Set) *State {
	next := *s
	next.pins = set
	return &next
}

// Next returns the state after an order that replaces or patches the configuration. The given state
// is nil before the first configuration. The error is ErrNoConfiguration, a *SyntaxError or an
// *InvalidError.
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

// NewState compiles a document and returns its state, without pins. It returns the errors of
// Compile.
func NewState(d *Document) (*State, error) { return newState(nil, d) }

// newState returns the state of a document that replaces the document of an earlier state, which
// may be nil. The new state has the pins of the earlier state.
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
