package feed

import (
	"time"

	"reachspread/coord/coordpb"
)

const (
	// subscriberTTL is how long changes are published to a subscriber after its last poll.
	subscriberTTL = 3 * time.Second
	// longPayloadLen is from how many bytes on a payload is not sent again while it may be in
	// flight: for resendDelay, and resendDelayPerByte for each byte.
	longPayloadLen     = 4 << 10
	resendDelay        = 500 * time.Millisecond
	resendDelayPerByte = 2 * time.Microsecond // half of what a link of 10 Mbit/s needs
)

// subscriber is a process that polls this one.
type subscriber struct {
	polledAt     time.Duration
	nonce        uint64                 // of its last poll
	cursors      map[string]uint64      // revisions of this process that it was sent, by topic
	longPayloads map[string]longPayload // the last ones, by topic
}

// longPayload is a long payload that a subscriber was sent.
type longPayload struct {
	revision   uint64
	expectedBy time.Duration // it should have arrived by then
}

// HandlePoll answers a subscriber and publishes changes to it from now on.
func (n *Node) HandlePoll(now time.Duration, p *coordpb.Poll) []Send {
	n.startStep(now)
	s := n.subscribers[p.From]
	if s == nil {
		if len(n.subscribers) >= maxPeers || p.From == "" {
			return nil
		}
		s = &subscriber{longPayloads: map[string]longPayload{}}
		n.subscribers[p.From] = s
	}
	s.polledAt, s.nonce, s.cursors = n.now, p.Nonce, map[string]uint64{}
	update := &coordpb.Update{From: n.self, Nonce: p.Nonce}
	for _, c := range p.Cursors {
		topic := n.topics[c.Topic]
		if topic == nil {
			continue
		}
		after := c.Revision
		if c.Life != n.incarnation && !topic.Shared() {
			after = 0
		}
		update.Deltas = append(update.Deltas, n.deltaForPoll(s, c.Topic, topic, after))
		s.cursors[c.Topic] = topic.Revision()
	}
	n.sends = append(n.sends, Send{To: p.From, Update: update})
	return n.sends
}

// deltaForPoll returns the answer for one topic. While a long payload may be in flight it has no
// content and says only that this process answers.
func (n *Node) deltaForPoll(s *subscriber, name string, t Topic, after uint64) *coordpb.Delta {
	inFlight := s.longPayloads[name]
	if after < inFlight.revision && inFlight.revision == t.Revision() && n.now < inFlight.expectedBy {
		return &coordpb.Delta{Topic: name, Life: n.incarnation, Since: after, Revision: after, AgeUs: -1}
	}
	return n.deltaForSubscriber(s, name, t, after)
}

// deltaForSubscriber returns what a topic has after a revision and remembers a long payload.
func (n *Node) deltaForSubscriber(s *subscriber, name string, t Topic, after uint64) *coordpb.Delta {
	d := n.newDelta(name, t, after)
	n.rememberLongPayload(s, name, d)
	return d
}

// newDelta returns what a topic has after a revision.
func (n *Node) newDelta(name string, t Topic, after uint64) *coordpb.Delta {
	d := &coordpb.Delta{Topic: name, Life: n.incarnation, Since: after, Revision: t.Revision(), AgeUs: -1}
	if after != d.Revision {
		d.Payload, d.Since = t.Delta(after)
	}
	if at, ok := t.Confirmed(); ok {
		d.AgeUs = (n.now - at).Microseconds()
	}
	return d
}

func (n *Node) rememberLongPayload(s *subscriber, name string, d *coordpb.Delta) {
	if len(d.Payload) >= longPayloadLen {
		flight := resendDelay + time.Duration(len(d.Payload))*resendDelayPerByte
		s.longPayloads[name] = longPayload{d.Revision, n.now + flight}
	}
}

// Publish sends what changed in a topic to its subscribers.
func (n *Node) Publish(now time.Duration, name string) []Send {
	n.startStep(now)
	topic := n.topics[name]
	if topic == nil {
		return nil
	}
	revision := topic.Revision()
	deltas := map[uint64]*coordpb.Delta{} // by cursor: most subscribers are at the same one
	for address, s := range n.subscribers {
		after, ok := s.cursors[name]
		if !ok || after == revision || n.now-s.polledAt >= subscriberTTL {
			continue
		}
		s.cursors[name] = revision
		if deltas[after] == nil {
			deltas[after] = n.newDelta(name, topic, after)
		}
		n.rememberLongPayload(s, name, deltas[after])
		update := &coordpb.Update{From: n.self, Deltas: []*coordpb.Delta{deltas[after]}}
		n.sends = append(n.sends, Send{To: address, Update: update})
	}
	return n.sends
}

// PublishConfirmation sends to the subscribers of a topic that it was confirmed, as an answer to
// their last polls: they polled before it was.
func (n *Node) PublishConfirmation(now time.Duration, name string) []Send {
	n.startStep(now)
	topic := n.topics[name]
	if topic == nil {
		return nil
	}
	for address, s := range n.subscribers {
		after, ok := s.cursors[name]
		if !ok || n.now-s.polledAt >= subscriberTTL {
			continue
		}
		s.cursors[name] = topic.Revision()
		delta := n.deltaForSubscriber(s, name, topic, after)
		update := &coordpb.Update{From: n.self, Nonce: s.nonce, Deltas: []*coordpb.Delta{delta}}
		n.sends = append(n.sends, Send{To: address, Update: update})
	}
	return n.sends
}
