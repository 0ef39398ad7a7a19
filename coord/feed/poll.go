package feed

import (
	"slices"
	"time"

	"reachspread/coord/coordpb"
)

const (
	// PollInterval is the time between two polls of a source.
	PollInterval = 400 * time.Millisecond
	// fastPollInterval replaces it while a topic that has to be confirmed is not.
	fastPollInterval = 100 * time.Millisecond
	// preferredRetryInterval is how often the first candidate is polled beside the one in use.
	preferredRetryInterval = 2 * time.Second
	// maxPolls bounds the polls under way whose answers still count.
	maxPolls = 64
)

type cursorKey struct{ topic, source string }

// poll asks all sources in use for what changed, and from time to time the first candidates of
// subscriptions that use others.
func (n *Node) poll() {
	n.nextPollAt = n.now + PollInterval
	if n.isBehind() {
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

// addCursor adds a topic to the poll of a source.
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

// cursor returns up to which revision this process has a topic of a source.
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

// rememberPoll notes when a poll was sent and forgets the oldest beyond maxPolls.
func (n *Node) rememberPoll(nonce uint64) {
	n.polls[nonce] = n.now
	if n.pollOrder = append(n.pollOrder, nonce); len(n.pollOrder) > maxPolls {
		delete(n.polls, n.pollOrder[0])
		n.pollOrder = n.pollOrder[1:]
	}
}

// HandleUpdate merges what a source has sent, in answer to a poll or as a change.
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
			continue // on a delta that was lost: the next poll asks for all since
		}
		if len(delta.Payload) > 0 {
			topic.Merge(delta)
		}
		cursor.Life, cursor.Revision = delta.Life, delta.Revision // without effect for a shared topic
		if answered {
			n.confirm(topic, u.From, polledAt, delta)
		} else if n.requiresConfirmation(delta.Topic) && n.isBehind() {
			n.nextPollAt = n.now
		}
	}
	n.runDue()
	return n.sends
}

// confirm takes note of an answer to a poll. Its content was the newest at the time of the poll,
// less the age of the source's knowledge.
func (n *Node) confirm(topic Topic, source string, polledAt time.Duration, delta *coordpb.Delta) {
	confirmed := never
	if delta.AgeUs >= 0 {
		confirmed = polledAt - time.Duration(delta.AgeUs)*time.Microsecond
		topic.Confirm(confirmed, delta)
	}
	n.sourceAnswered(delta.Topic, source, confirmed)
}

// buildsOn reports whether a delta can be merged where a topic of its source is at a cursor.
func buildsOn(c *coordpb.Cursor, delta *coordpb.Delta, t Topic) bool {
	if t.Shared() {
		return delta.Since == 0 || delta.Since == c.Revision || delta.Revision <= c.Revision
	}
	return delta.Since == 0 || delta.Life == c.Life && delta.Since == c.Revision
}
