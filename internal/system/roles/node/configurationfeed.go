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
	// maxPastDocuments is how many documents before the present one are retained, so that a
	// subscriber that has one of them gets only what changed since. They share most items.
	maxPastDocuments = 16
	// maxDocumentBytes bounds a document of another router.
	maxDocumentBytes = 64 << 20
)

// configurationFeed is the topic of the configuration. Its revisions are the sequence numbers of
// the register, the same at all routers. It implements feed.Topic and belongs to the hub.
type configurationFeed struct {
	sequence    uint64
	state       *configuration.State // nil for none
	confirmedAt time.Duration        // no newer one was committed by then; below 0 for never
	activeSince time.Duration        // the state is in force here

	clock    func() time.Duration
	onChange func(*configuration.State)
	onError  func(error) // of another router's update

	past   []installedDocument     // before the present one, the oldest first
	deltas map[uint64]encodedDelta // of the present state, by the revision that the receiver has
}

// installedDocument is one that was in force here.
type installedDocument struct {
	sequence    uint64
	document    *configuration.Document
	activeSince time.Duration
}

// encodedDelta is a payload with the revision that it builds on, 0 for none.
type encodedDelta struct {
	payload []byte
	base    uint64
}

// Revision implements feed.Topic.
func (c *configurationFeed) Revision() uint64 { return c.sequence }

// Shared implements feed.Topic.
func (c *configurationFeed) Shared() bool { return true }

// Delta implements feed.Topic: what changed since a revision where that is known and shorter, or
// else the complete document.
func (c *configurationFeed) Delta(after uint64) (payload []byte, since uint64) {
	if c.state == nil {
		return nil, 0
	}
	if d, ok := c.deltas[after]; ok {
		return d.payload, d.base
	}
	d, ok := c.patchSince(after)
	if !ok {
		d = c.fullDocument()
	}
	c.deltas[after] = d
	return d.payload, d.base
}

// patchSince encodes what changed since a revision; ok is false where the revision is not retained,
// no patch leads from it to the present document, or the patch is longer than the document.
func (c *configurationFeed) patchSince(revision uint64) (d encodedDelta, ok bool) {
	at := slices.IndexFunc(c.past, func(p installedDocument) bool { return p.sequence == revision })
	if at < 0 {
		return encodedDelta{}, false
	}
	patch, ok := configuration.Difference(c.past[at].document, c.state.Document)
	if !ok || len(patch) > len(c.fullDocument().payload) {
		return encodedDelta{}, false
	}
	payload, err := proto.Marshal(&message.Published{Patch: patch, Pins: c.pins()})
	return encodedDelta{payload, revision}, err == nil
}

// fullDocument encodes the complete document.
func (c *configurationFeed) fullDocument() encodedDelta {
	if d, ok := c.deltas[0]; ok {
		return d
	}
	payload, _ := proto.Marshal(&message.Published{Packed: s2.Encode(nil, c.state.JSON()), Pins: c.pins()})
	c.deltas[0] = encodedDelta{payload: payload}
	return c.deltas[0]
}

// pins are the version pins of the state, nil where there never were any.
func (c *configurationFeed) pins() *message.Pins {
	set := c.state.Pins()
	if set.Revision == 0 {
		return nil
	}
	return set.Message()
}

// Merge implements feed.Topic: it installs another router's update if that is newer.
func (c *configurationFeed) Merge(d *coordpb.Delta) {
	if d.Revision <= c.sequence {
		return
	}
	state, err := c.decode(d)
	if err != nil {
		c.onError(err)
		return
	}
	c.install(d.Revision, state)
}

// decode is the state that an update leads to; nil where it builds on another revision than this
// router has.
func (c *configurationFeed) decode(d *coordpb.Delta) (*configuration.State, error) {
	published := &message.Published{}
	if err := proto.Unmarshal(d.Payload, published); err != nil {
		return nil, err
	}
	order, err := c.decodeOrder(d, published)
	if err != nil || order == nil {
		return nil, err
	}
	next, err := configuration.Next(c.state, order)
	if err != nil {
		return nil, err
	}
	return next.WithPins(pins.FromMessage(published.Pins)), nil
}

// decodeOrder is an update as the order that makes it; nil where it builds on another revision than
// this router has.
func (c *configurationFeed) decodeOrder(d *coordpb.Delta, published *message.Published) (*message.Order, error) {
	if len(published.Patch) > 0 {
		if d.Since != c.sequence || c.state == nil {
			return nil, nil
		}
		return &message.Order{Kind: message.Order_PATCH, Body: published.Patch}, nil
	}
	length, err := s2.DecodedLen(published.Packed)
	if err != nil {
		return nil, err
	}
	if length > maxDocumentBytes {
		return nil, s2.ErrTooLarge
	}
	text, err := s2.Decode(nil, published.Packed)
	return &message.Order{Kind: message.Order_PUT, Body: text}, err
}

// install replaces the state by a committed one that is newer. Others are ignored.
func (c *configurationFeed) install(sequence uint64, state *configuration.State) {
	if sequence <= c.sequence || state == nil {
		return
	}
	if c.state != nil {
		c.past = append(c.past, c.present())
		c.past = slices.Delete(c.past, 0, max(len(c.past)-maxPastDocuments, 0))
	}
	c.sequence, c.state, c.activeSince = sequence, state, c.clock()
	c.deltas = map[uint64]encodedDelta{}
	c.onChange(state)
}

func (c *configurationFeed) present() installedDocument {
	return installedDocument{c.sequence, c.state.Document, c.activeSince}
}

// installedDocuments are the present document and those before it that are retained, the newest
// first.
func (c *configurationFeed) installedDocuments() []installedDocument {
	if c.state == nil {
		return nil
	}
	all := append(slices.Clone(c.past), c.present())
	slices.Reverse(all)
	return all
}

// Confirmed implements feed.Topic.
func (c *configurationFeed) Confirmed() (time.Duration, bool) {
	return c.confirmedAt, c.confirmedAt >= 0
}

// Confirm implements feed.Topic.
func (c *configurationFeed) Confirm(at time.Duration, d *coordpb.Delta) { c.confirmAt(at, d.Revision) }

// confirmAt records that nothing newer than a sequence was committed at a time.
func (c *configurationFeed) confirmAt(at time.Duration, sequence uint64) {
	if c.sequence >= sequence {
		c.confirmedAt = max(c.confirmedAt, at)
	}
}
