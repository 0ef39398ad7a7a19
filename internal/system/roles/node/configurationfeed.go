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
	// maxPastDocuments is the number of documents before the current one that are retained. A
	// subscriber that has one of them receives only what changed since. The documents share most
	// of their items.
	maxPastDocuments = 16
	// maxDocumentBytes is the largest uncompressed document, in bytes, that is accepted from
	// another router.
	maxDocumentBytes = 64 << 20
)

// configurationFeed is the topic of the configuration. Its revisions are sequence numbers of the
// register, which are the same on all routers. It implements feed.Topic. Only the hub uses it.
type configurationFeed struct {
	sequence    uint64
	state       *configuration.State // nil before the first one
	confirmedAt time.Duration        // no newer state had been committed by this time; negative for never
	activeSince time.Duration        // when the state came into force on this router

	clock    func() time.Duration
	onChange func(*configuration.State)
	onError  func(error) // called if another router's update can't be decoded

	past   []installedDocument     // before the current one, oldest first
	deltas map[uint64]encodedDelta // updates to the current state, by the receiver's revision
}

// installedDocument is a document that is or was in force on this router.
type installedDocument struct {
	sequence    uint64
	document    *configuration.Document
	activeSince time.Duration
}

// encodedDelta is an encoded update and the revision that it applies to, or 0 for a complete
// document.
type encodedDelta struct {
	payload []byte
	base    uint64
}

// Revision implements feed.Topic.
func (c *configurationFeed) Revision() uint64 { return c.sequence }

// Shared implements feed.Topic.
func (c *configurationFeed) Shared() bool { return true }

// Delta implements feed.Topic. It returns the changes since a revision if that revision is
// retained and the changes are shorter than the document, or else the complete document.
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

// patchSince encodes the changes since a revision. It returns false if the revision is not
// retained, if no patch leads from it to the current document, or if the patch is longer than the
// document.
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

// fullDocument returns the encoded complete document.
func (c *configurationFeed) fullDocument() encodedDelta {
	if d, ok := c.deltas[0]; ok {
		return d
	}
	payload, _ := proto.Marshal(&message.Published{Packed: s2.Encode(nil, c.state.JSON()), Pins: c.pins()})
	c.deltas[0] = encodedDelta{payload: payload}
	return c.deltas[0]
}

// pins returns the version pins of the current state, or nil if no pin was ever set.
func (c *configurationFeed) pins() *message.Pins {
	set := c.state.Pins()
	if set.Revision == 0 {
		return nil
	}
	return set.Message()
}

// Merge implements feed.Topic. It installs another router's update if the update is newer.
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

// decode returns the state that an update leads to, or nil if the update is a patch to another
// revision than the current one.
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

// decodeOrder converts an update to the order that produces it. The result is nil if the update is
// a patch to another revision than the current one.
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

// install replaces the current state by a committed one that is newer. It ignores any other state.
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

// installedDocuments returns the current document and the retained earlier ones, newest first.
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

// confirmAt records that no state newer than the given sequence number had been committed at a
// time.
func (c *configurationFeed) confirmAt(at time.Duration, sequence uint64) {
	if c.sequence >= sequence {
		c.confirmedAt = max(c.confirmedAt, at)
	}
}
