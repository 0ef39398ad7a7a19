package feed

import (
	"time"

	"reachspread/coord/coordpb"
)

const (
	// subscriberTTL is how long this process publishes changes to a subscriber after its last poll.
	subscriberTTL = 3 * time.Second
	// A payload of longPayloadLen bytes or more is not sent again while it may be in flight. This
	// time is resendDelay plus resendDelayPerByte for each byte.
	longPayloadLen     = 4 << 10
	resendDelay        = 500 * time.Millisecond
	resendDelayPerByte = 2 * time.Microsecond // enough if a payload gets 4 Mbit/s, less than half of a 10 Mbit/s link
)

// subscriber is a process that polls this process.
type subscriber struct {
	polledAt     time.Duration          // time of the last poll
	nonce        uint64                 // nonce of the last poll
	cursors      map[string]uint64      // last revision sent to the subscriber, by topic
	longPayloads map[string]longPayload // last long payload sent to the subscriber, by topic
}

// longPayload describes a long payload that was sent to a subscriber.
type longPayload struct {
	revision   uint64
	expectedBy time.Duration // time by which the payload should have arrived
}

// HandlePoll answers the poll of a subscriber. From now on this process publishes changes to the
// subscriber, until subscriberTTL after its last poll.
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

// deltaForPoll returns the answer to a poll for one topic. While a long payload with the topic's
// current revision may be in flight, the answer has no content and only shows that this process is
// alive.
func (n *Node) deltaForPoll(s *subscriber, name string, t Topic, after uint64) *coordpb.Delta {
	inFlight := s.longPayloads[name]
	if after < inFlight.revision && inFlight.revision == t.Revision() && n.now < inFlight.expectedBy {
		return &coordpb.Delta{Topic: name, Life: n.incarnation, Since: after, Revision: after, AgeUs: -1}
	}
	return n.deltaForSubscriber(s, name, t, after)
}

// deltaForSubscriber returns the changes of a topic after a revision. If the payload is long, it
// remembers that the payload is sent.
func (n *Node) deltaForSubscriber(s *subscriber, name string, t Topic, after uint64) *coordpb.Delta {
	d := n.newDelta(name, t, after)
	n.rememberLongPayload(s, name, d)
	return d
}

// newDelta returns the changes of a topic after a revision, and the age of its confirmation.
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

// Publish returns the messages that send the changes of a topic to its subscribers.
func (n *Node) Publish(now time.Duration, name string) []Send {
	n.startStep(now)
	topic := n.topics[name]
	if topic == nil {
		return nil
	}
	revision := topic.Revision()
	deltas := map[uint64]*coordpb.Delta{} // by cursor, because most subscribers have the same cursor
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

// PublishConfirmation returns the messages that send a new confirmation of a topic to its
// subscribers. Each message repeats the nonce of the subscriber's last poll, which was sent before
// the topic was confirmed, because subscribers accept a confirmation only in the answer to a poll.
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
