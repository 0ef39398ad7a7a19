package configuration

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net/http"

	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
)

const (
	digestLen = 16 // bytes
	// MaxDigests is the maximum number of applied orders whose digests the store retains. An order
	// that is sent again is acknowledged again as long as its digest is retained.
	MaxDigests = 8192
)

// Store is the replicated state machine. It holds the configuration, the version pins with their
// history, and the digests of applied orders. It implements chain.Machine.
type Store struct {
	state       *State // nil before the first configuration
	digests     map[[digestLen]byte]bool
	digestOrder [][digestLen]byte    // the same digests, oldest first
	pinHistory  []*message.PinChange // the last pins.MaxChanges changes, oldest first
}

// NewStore returns a store without a configuration.
func NewStore() *Store { return &Store{digests: map[[digestLen]byte]bool{}} }

// Value implements chain.Machine. It returns a *State, which is nil before the first configuration.
func (s *Store) Value() any { return s.state }

// digest returns the hash by which the store recognizes an order that is sent again. Orders of the
// same kind, for the same version and with the same body are the same order.
func digest(o *message.Order) (d [digestLen]byte) {
	h := sha256.New()
	fmt.Fprintf(h, "%d %d ", o.Kind, o.IfMatch)
	h.Write(o.Body)
	copy(d[:], h.Sum(nil))
	return d
}

// Decide implements chain.Machine. The command is an encoded message.Order, the change an encoded
// message.Change and the reply an encoded message.OrderReply. Decide runs only at the head of the
// chain. For an order that is rejected or already applied it returns no change.
func (s *Store) Decide(command []byte) (change, reply []byte) {
	order := &message.Order{}
	if err := proto.Unmarshal(command, order); err != nil {
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

// rejectionStatus returns the HTTP status for an order that is based on another version than the
// one in force. Versions only increase, so an order for an older version can never be applied. An
// order for a later version may still be applied, for example by a retry that is in flight, so its
// sender may retry.
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

// next returns the state after an order, or an error that states why the order is rejected.
func (s *Store) next(order *message.Order) (*State, error) {
	next, err := Next(s.state, order)
	if err != nil {
		return nil, err
	}
	if next.Version() <= s.state.Version() {
		reason := fmt.Sprintf("%d is not above %d, which is in force", next.Version(), s.state.Version())
		return nil, &InvalidError{"the configuration", versionField, reason}
	}
	return next, nil
}

// Apply implements chain.Machine. All members apply the same changes in the same sequence.
func (s *Store) Apply(encoded []byte) {
	change := &message.Change{}
	if proto.Unmarshal(encoded, change) != nil || len(change.Digest) != digestLen {
		return
	}
	if isPinOrder(change.Order) {
		if s.applyPin(change.Order) {
			s.addDigest([digestLen]byte(change.Digest))
		}
		return
	}
	next, err := Next(s.state, change.Order)
	if err != nil {
		return // Decide has checked the order; a failure here occurs on all members alike
	}
	s.state = next
	s.addDigest([digestLen]byte(change.Digest))
}

// addDigest records the digest of an applied order. If the store then holds more than MaxDigests
// digests, addDigest removes the oldest.
func (s *Store) addDigest(d [digestLen]byte) {
	if s.digests[d] {
		return
	}
	s.digests[d] = true
	if s.digestOrder = append(s.digestOrder, d); len(s.digestOrder) > MaxDigests {
		delete(s.digests, s.digestOrder[0])
		s.digestOrder = s.digestOrder[1:]
	}
}

// Snapshot implements chain.Machine. It returns an encoded message.Stored.
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

// Restore implements chain.Machine. If it returns an error, the store is unchanged.
func (s *Store) Restore(snapshot []byte) error {
	stored := &message.Stored{}
	if err := proto.Unmarshal(snapshot, stored); err != nil {
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
		next.addDigest([digestLen]byte(chunk))
	}
	*s = *next
	return nil
}

// bytesChunks iterates over copies of the consecutive chunks of the given length. It drops an
// incomplete chunk at the end.
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
