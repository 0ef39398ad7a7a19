package feed

import (
	"slices"
	"time"

	"reachspread/coord/coordpb"
)

const (
	// PollInterval is the time between two polls of a source.
	PollInterval = 400 * time.Millisecond
	// fastPollInterval replaces PollInterval while a topic that requires confirmation lacks a recent
	// one.
	fastPollInterval = 100 * time.Millisecond
	// preferredRetryInterval is the time between two polls of the first candidate while a
	// subscription uses another candidate.
	preferredRetryInterval = 2 * time.Second
	// maxPolls bounds the polls whose send times a Node stores. Answers to older polls confirm
	// nothing.
	maxPolls = 64
)

type cursorKey struct{ topic, source string }

// poll asks all current sources for changes. From time to time it also polls the first candidates of
// subscriptions that use another candidate.
func (n *Node) poll() {
	n.nextPollAt = n.now + PollInterval
	if n.hasStaleTopic() {
		n.nextPollAt = n.now + fastPollInterval
	}
	polls := map[string]*coordpb.Poll{}
	for _, s := range n.subscriptions {
		n.addCursor(polls, s.Candidates[s.current], s.Topic)
		if s.current > 0 && n.now >= s.preferredRetryAt {
			s.preferredRetryAt = n.now + preferredRetryInterval
			n.addCursor(polls, s.Candidates[0], s.Topic)
		}
	}
	for to, poll := range polls {
		n.nonce++
		poll.From, poll.Nonce = n.self, n.nonce
		n.rememberPoll(n.nonce)
		n.sends = append(n.sends, Send{To: to, Poll: poll})
	}
}

// addCursor adds the cursor of a topic to the poll of a source, unless the poll has it already.
func (n *Node) addCursor(polls map[string]*coordpb.Poll, source, topic string) {
	poll := polls[source]
	if poll == nil {
		poll = &coordpb.Poll{}
		polls[source] = poll
	}
	if slices.ContainsFunc(poll.Cursors, func(c *coordpb.Cursor) bool { return c.Topic == topic }) {
		return
	}
	poll.Cursors = append(poll.Cursors, n.cursor(topic, source))
}

// cursor returns the revision of a topic up to which this process has received it from a source. For
// a shared topic this is the local revision.
func (n *Node) cursor(topic, source string) *coordpb.Cursor {
	if t := n.topics[topic]; t.Shared() {
		return &coordpb.Cursor{Topic: topic, Revision: t.Revision()}
	}
	key := cursorKey{topic, source}
	c := n.cursors[key]
	if c == nil {
		c = &coordpb.Cursor{Topic: topic}
		if len(n.cursors) < maxPeers {
			n.cursors[key] = c
		}
	}
	return c
}

// rememberPoll stores the send time of a poll, and removes the oldest poll beyond maxPolls.
func (n *Node) rememberPoll(nonce uint64) {
	n.polls[nonce] = n.now
	if n.pollOrder = append(n.pollOrder, nonce); len(n.pollOrder) > maxPolls {
		delete(n.polls, n.pollOrder[0])
		n.pollOrder = n.pollOrder[1:]
	}
}

// HandleUpdate merges an update from a source, which is either the answer to a poll or a published
// change. It returns the messages to send.
func (n *Node) HandleUpdate(now time.Duration, u *coordpb.Update) []Send {
	n.startStep(now)
	polledAt, answered := n.polls[u.Nonce]
	for _, delta := range u.Deltas {
		topic := n.topics[delta.Topic]
		if topic == nil {
			continue
		}
		cursor := n.cursor(delta.Topic, u.From)
		if !buildsOn(cursor, delta, topic) {
			continue // it builds on a lost delta; the next poll requests all changes since the cursor
		}
		if len(delta.Payload) > 0 {
			topic.Merge(delta)
		}
		cursor.Life, cursor.Revision = delta.Life, delta.Revision // has no effect for a shared topic
		if answered {
			n.confirm(topic, u.From, polledAt, delta)
		} else if n.requiresConfirmation(delta.Topic) && n.hasStaleTopic() {
			n.nextPollAt = n.now
		}
	}
	n.runDue()
	return n.sends
}

// confirm processes the answer to a poll. The answer confirms that its content was the newest at the
// time of the poll minus the age of the source's own confirmation.
func (n *Node) confirm(topic Topic, source string, polledAt time.Duration, delta *coordpb.Delta) {
	confirmed := never
	if delta.AgeUs >= 0 {
		confirmed = polledAt - time.Duration(delta.AgeUs)*time.Microsecond
		topic.Confirm(confirmed, delta)
	}
	n.sourceAnswered(delta.Topic, source, confirmed)
}

// buildsOn reports whether a delta can be merged, given the cursor of its topic at its source.
func buildsOn(c *coordpb.Cursor, delta *coordpb.Delta, t Topic) bool {
	if t.Shared() {
		return delta.Since == 0 || delta.Since == c.Revision || delta.Revision <= c.Revision
	}
	return delta.Since == 0 || delta.Life == c.Life && delta.Since == c.Revision
}
