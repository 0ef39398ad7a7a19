package configuration

import (
	"bytes"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"sync"

	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
)

const (
	digestLen = 16
	// MostDigests is how many orders are remembered, so that each is acknowledged again whenever it comes again.
	MaxDigests = 8192
)

// State is a configuration in force, in all its forms, and the version pins beside it. It never changes.
type State struct {
	Document *Document
	Typed    *Configuration
	text     func() []byte
	pins     *pins.Set // nil for none
}

// JSON is the configuration as text. It is written when it is first asked for, and is not to be changed.
func (s *State) JSON() []byte { return s.text() }

// Version is the version of a state, 0 for none.
func (s *State) Version() int64 {
	if s == nil {
		return 0
	}
	return s.Document.Version
}

// document is that of a state, nil for none.
func (s *State) document() *Document {
	if s == nil {
		return nil
	}
	return s.Document
}

// Store is the state that the register replicates: the configuration, the version pins with their history, and which orders were taken. It
// implements chain.Machine.
type Store struct {
	state       *State // nil before the first configuration
	digests     map[[digestLen]byte]bool
	digestOrder [][digestLen]byte    // the digests, the oldest first
	pinHistory  []*message.PinChange // of late, the oldest first
}

// NewStore returns a store without a configuration.
func NewStore() *Store { return &Store{digests: map[[digestLen]byte]bool{}} }

// Value implements chain.Machine: a *State, nil for none.
func (s *Store) Value() any { return s.state }

// digest names an order: the same bytes on top of the same version are the same order.
func digest(o *message.Order) (d [digestLen]byte) {
	h := sha256.New()
	fmt.Fprintf(h, "%d %d ", o.Kind, o.IfMatch)
	h.Write(o.Body)
	copy(d[:], h.Sum(nil))
	return d
}

// Decide implements chain.Machine: orders and changes are those of package message.
func (s *Store) Decide(text []byte) (change, reply []byte) {
	order := &message.Order{}
	if err := proto.Unmarshal(text, order); err != nil {
		return nil, s.reply(http.StatusBadRequest, err.Error())
	}
	d := digest(order)
	if s.digests[d] {
		if isPinOrder(order) {
			return nil, s.pinReply(http.StatusOK, "taken before")
		}
		return nil, s.reply(http.StatusOK, "taken before")
	}
	if isPinOrder(order) {
		return s.decidePin(order)
	}
	if order.IfMatch != s.state.Version() {
		text := fmt.Sprintf("version %d is in force, not %d", s.state.Version(), order.IfMatch)
		return nil, s.reply(rejectionStatus(order.IfMatch, s.state.Version()), text)
	}
	next, err := s.next(order)
	if err != nil {
		return nil, s.reply(http.StatusBadRequest, err.Error())
	}
	change, err = proto.Marshal(&message.Change{Order: order, Digest: d[:]})
	if err != nil {
		return nil, s.reply(http.StatusInternalServerError, err.Error())
	}
	return change, marshalReply(&message.OrderReply{Status: http.StatusOK, Version: next.Version()})
}

// refusal is the status of an order that does not build on what is in force. Versions only rise, so one that builds on an older version
// never can be taken. One that builds on a version to come may be, perhaps as a copy of it that is still on its way: it is not refused for
// good, and its sender may send it again.
func rejectionStatus(base, inForce int64) int {
	if base > inForce {
		return http.StatusServiceUnavailable
	}
	return http.StatusPreconditionFailed
}

func (s *Store) reply(status int, text string) []byte {
	return marshalReply(&message.OrderReply{Status: int32(status), Text: text, Version: s.state.Version()})
}

func marshalReply(r *message.OrderReply) []byte {
	out, _ := proto.Marshal(r)
	return out
}

// ErrNothing says that there is no configuration to be changed.
var ErrNoConfiguration = errors.New("no configuration is in force yet")

// next is the state after an order, or why it is refused.
func (s *Store) next(order *message.Order) (*State, error) {
	next, err := Next(s.state, order)
	if err != nil {
		return nil, err
	}
	if next.Version() <= s.state.Version() {
		return nil, &InvalidError{"the configuration", versionField, fmt.Sprintf("%d is not above %d, which is in force", next.Version(), s.state.Version())}
	}
	return next, nil
}

// Next is the state that an order makes of another, which is nil where there is none; or why it can't be.
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

// NewState compiles a document.
func NewState(d *Document) (*State, error) { return newState(nil, d) }

// newState compiles a document that comes after a state, nil for none.
func newState(before *State, d *Document) (*State, error) {
	var typed *Configuration
	var pinned *pins.Set
	if before != nil {
		typed, pinned = before.Typed, before.pins
	}
	typed, err := compileAfter(typed, d)
	if err != nil {
		return nil, err
	}
	return &State{Document: d, Typed: typed, text: sync.OnceValue(d.JSON), pins: pinned}, nil
}

// Apply implements chain.Machine.
func (s *Store) Apply(text []byte) {
	change := &message.Change{}
	if proto.Unmarshal(text, change) != nil || len(change.Digest) != digestLen {
		return
	}
	if isPinOrder(change.Order) {
		if s.applyPin(change.Order) {
			s.remember([digestLen]byte(change.Digest))
		}
		return
	}
	next, err := Next(s.state, change.Order)
	if err != nil {
		return // the head has seen that it can be; a fault of this kind is the same on all
	}
	s.state = next
	s.remember([digestLen]byte(change.Digest))
}

func (s *Store) remember(d [digestLen]byte) {
	if s.digests[d] {
		return
	}
	s.digests[d] = true
	if s.digestOrder = append(s.digestOrder, d); len(s.digestOrder) > MaxDigests {
		delete(s.digests, s.digestOrder[0])
		s.digestOrder = s.digestOrder[1:]
	}
}

// Snapshot implements chain.Machine.
func (s *Store) Snapshot() []byte {
	out := &message.Stored{PinHistory: s.pinHistory}
	if s.state != nil {
		out.Document = s.state.JSON()
	}
	if set := s.state.Pins(); set.Revision > 0 {
		out.Pins = set.Message()
	}
	for _, d := range s.digestOrder {
		out.Digests = append(out.Digests, d[:]...)
	}
	text, _ := proto.Marshal(out)
	return text
}

// Restore implements chain.Machine.
func (s *Store) Restore(text []byte) error {
	stored := &message.Stored{}
	if err := proto.Unmarshal(text, stored); err != nil {
		return err
	}
	next := NewStore()
	if len(stored.Document) > 0 {
		document, err := Parse(stored.Document)
		if err != nil {
			return err
		}
		if next.state, err = NewState(document); err != nil {
			return err
		}
		if stored.Pins != nil {
			next.state = next.state.WithPins(pins.FromMessage(stored.Pins))
		}
	}
	next.pinHistory = stored.PinHistory
	for chunk := range bytesChunks(stored.Digests, digestLen) {
		next.remember([digestLen]byte(chunk))
	}
	*s = *next
	return nil
}

// bytesChunks gives the whole pieces of a length, one after the other.
func bytesChunks(text []byte, length int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(text) >= length {
			if !yield(bytes.Clone(text[:length])) {
				return
			}
			text = text[length:]
		}
	}
}
