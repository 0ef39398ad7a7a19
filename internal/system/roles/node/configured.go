package node

import (
	"slices"
	"time"

	"github.com/klauspost/compress/s2"
	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
)

const (
	// mostPast is how many documents before the present one are kept, to tell others only what changed since. They share most items.
	mostPast = 16
	// mostDocument bounds a document, in bytes.
	mostDocument = 64 << 20
)

// configured is the topic of the configuration. Its revisions are the register's sequence numbers, the same everywhere.
type configured struct {
	sequence  uint64
	state     *configuration.State // nil for none
	confirmed time.Duration        // when it was the newest for certain, below 0 for never
	changed   func(*configuration.State)
	failed    func(error)
	now       func() time.Duration
	since     time.Duration // the present one is in force here

	past     []pastDocument    // before the present one, the oldest first
	payloads map[uint64]answer // that were worked out for the present state, by the revision that the receiver has
}

// pastDocument is one that was in force.
type pastDocument struct {
	sequence uint64
	document *configuration.Document
	since    time.Duration // it was in force here
}

// answer is a payload with the revision on which it builds, 0 for none.
type answer struct {
	payload []byte
	since   uint64
}

// Revision implements feed.Topic.
func (c *configured) Revision() uint64 { return c.sequence }

// Shared implements feed.Topic.
func (c *configured) Shared() bool { return true }

// Delta implements feed.Topic: what changed since a revision where that is known and shorter, or the whole.
func (c *configured) Delta(after uint64) (payload []byte, since uint64) {
	if c.state == nil {
		return nil, 0
	}
	if a, ok := c.payloads[after]; ok {
		return a.payload, a.since
	}
	a, ok := c.difference(after)
	if !ok {
		a = c.whole()
	}
	c.payloads[after] = a
	return a.payload, a.since
}

// difference is what changed since a revision; ok is false where that isn't known or not worth it.
func (c *configured) difference(after uint64) (a answer, ok bool) {
	at := slices.IndexFunc(c.past, func(p pastDocument) bool { return p.sequence == after })
	if at < 0 {
		return answer{}, false
	}
	patch, ok := configuration.Difference(c.past[at].document, c.state.Document)
	if !ok || len(patch) > len(c.whole().payload) {
		return answer{}, false
	}
	payload, err := proto.Marshal(&message.Published{Patch: patch, Pins: c.pins()})
	return answer{payload, after}, err == nil
}

// whole is all of the configuration.
func (c *configured) whole() answer {
	if a, ok := c.payloads[0]; ok {
		return a
	}
	payload, _ := proto.Marshal(&message.Published{Packed: s2.Encode(nil, c.state.JSON()), Pins: c.pins()})
	c.payloads[0] = answer{payload: payload}
	return c.payloads[0]
}

// pins are the pins in force, as others are told of them; nil where there never was one.
func (c *configured) pins() *message.Pins {
	set := c.state.Pinned()
	if set.Revision == 0 {
		return nil
	}
	return set.Message()
}

// Merge implements feed.Topic.
func (c *configured) Merge(n *coordpb.Delta) {
	if n.Revision <= c.sequence {
		return
	}
	in := &message.Published{}
	if err := proto.Unmarshal(n.Payload, in); err != nil {
		c.failed(err)
		return
	}
	order, err := c.orderOf(n, in)
	if err != nil {
		c.failed(err)
		return
	}
	if order == nil {
		return
	}
	next, err := configuration.Next(c.state, order)
	if err != nil {
		c.failed(err)
		return
	}
	c.take(n.Revision, next.WithPins(pins.FromMessage(in.Pins)))
}

// orderOf gives a payload as an order; nil for one that changes nothing here.
func (c *configured) orderOf(n *coordpb.Delta, in *message.Published) (*message.Order, error) {
	if len(in.Patch) > 0 {
		if n.Since != c.sequence || c.state == nil {
			return nil, nil
		}
		return &message.Order{Kind: message.Order_PATCH, Body: in.Patch}, nil
	}
	length, err := s2.DecodedLen(in.Packed)
	if err != nil {
		return nil, err
	}
	if length > mostDocument {
		return nil, s2.ErrTooLarge
	}
	text, err := s2.Decode(nil, in.Packed)
	return &message.Order{Kind: message.Order_PUT, Body: text}, err
}

// take puts a state that is committed in place of an older one.
func (c *configured) take(sequence uint64, state *configuration.State) {
	if sequence <= c.sequence || state == nil {
		return
	}
	if c.state != nil {
		c.past = append(c.past, pastDocument{c.sequence, c.state.Document, c.since})
		c.past = slices.Delete(c.past, 0, max(len(c.past)-mostPast, 0))
	}
	c.sequence, c.state, c.payloads, c.since = sequence, state, map[uint64]answer{}, c.now()
	c.changed(state)
}

// history is the present document and those before it that are kept, the newest first.
func (c *configured) history() []pastDocument {
	if c.state == nil {
		return nil
	}
	all := append(slices.Clone(c.past), pastDocument{c.sequence, c.state.Document, c.since})
	slices.Reverse(all)
	return all
}

// Confirmed implements feed.Topic.
func (c *configured) Confirmed() (time.Duration, bool) { return c.confirmed, c.confirmed >= 0 }

// Confirm implements feed.Topic.
func (c *configured) Confirm(at time.Duration, n *coordpb.Delta) { c.confirm(at, n.Revision) }

// confirm takes in that nothing newer than a sequence was committed at a time.
func (c *configured) confirm(at time.Duration, sequence uint64) {
	if c.sequence >= sequence {
		c.confirmed = max(c.confirmed, at)
	}
}
