// Package feed decides how routers bring topics to each other: who is asked for what is new, who is sent it, and when another source is
// turned to.
//
// A Node is a state machine without I/O, clock or goroutine. Each topic has a source for each group of its items, the first of a list of
// candidates that answers; others subscribe to it by polling, and are sent changes as they come. What a topic holds must be mergeable in
// any order: a payload that comes late, twice or from two sources changes nothing for the worse.
package feed

import (
	"slices"
	"time"

	"reachspread/coord/coordpb"
)

const (
	// PollEvery is the time between two polls of a source, and hurriedEvery while something that has to be fresh is not.
	PollEvery    = 400 * time.Millisecond
	hurriedEvery = 100 * time.Millisecond
	// staleAfter is how long a source may bring nothing fresh before the next candidate is turned to.
	staleAfter = 1000 * time.Millisecond
	// tryFor is how long each further candidate is given.
	tryFor = 300 * time.Millisecond
	// retryFirst is the time after which the first candidate is asked again, beside the one in use.
	retryFirst = 2 * time.Second
	// subscribed is how long a subscriber is sent changes after its last poll.
	subscribed = 3 * time.Second
	mostPolls  = 64 // under way, whose answers still count
	// longPayload is the length, in bytes, from which a payload is not sent anew to a subscriber that does not have it yet, until it should
	// have come: after resendAfter, and resendPerByte for each byte.
	longPayload   = 4 << 10
	resendAfter   = 500 * time.Millisecond
	resendPerByte = 2 * time.Microsecond // half of what a link of 10 Mbit/s needs
	mostPeers     = 4096
	neverStarted  = -time.Hour
)

// Topic is something that routers bring to each other.
type Topic interface {
	// Revision grows with each change of what is held here.
	Revision() uint64
	// Shared tells that a revision means the same in all processes. Otherwise each process counts its own.
	Shared() bool
	// Delta is what changed after a revision of this process, 0 for all of it; since is the revision on which it builds.
	Delta(after uint64) (payload []byte, since uint64)
	// Merge takes in a payload from a source.
	Merge(n *coordpb.Delta)
	// Confirmed is when what is held here was the newest for certain; ok is false for unknown.
	Confirmed() (at time.Duration, ok bool)
	// Confirm takes in that what a source had was the newest at a time, up to a revision of that source.
	Confirm(at time.Duration, n *coordpb.Delta)
}

// Subscription says where a part of a topic comes from.
type Subscription struct {
	Topic      string
	Group      string   // the part; each has a source of its own
	Candidates []string // addresses, the first that brings what is fresh is the source
	Confirmed  bool     // fresh means that it was confirmed as the newest; otherwise any answer will do
}

// Send is a message to an address.
type Send struct {
	To     string
	Poll   *coordpb.Poll
	Update *coordpb.Update
}

// Node is one router's.
type Node struct {
	self   string
	life   uint64
	now    time.Duration
	out    []Send
	topics map[string]Topic
	names  []string // of topics, in order

	subscriptions map[subscriptionKey]*subscription
	subscribers   map[string]*subscriber
	cursors       map[cursorKey]*coordpb.Cursor
	polls         map[uint64]time.Duration // when those under way were sent
	pollOrder     []uint64
	nonce         uint64
	pollAt        time.Duration
}

type subscriptionKey struct{ topic, group string }

// subscription is a subscription of this router.
type subscription struct {
	Subscription
	at      int           // of the candidate in use
	since   time.Duration // it is in use
	fresh   time.Duration // when it last brought what is fresh
	retryAt time.Duration
}

type cursorKey struct{ topic, source string }

// subscriber is a router that polls this one.
type subscriber struct {
	polled  time.Duration
	nonce   uint64            // of its last poll
	cursors map[string]uint64 // revisions of this process that it was sent, by topic
	long    map[string]sent   // the last long payloads, by topic
}

// sent is a long payload that a subscriber was sent.
type sent struct {
	revision uint64
	until    time.Duration // then it should have come
}

// New returns the Node of a router at an address. A life is drawn anew at each start.
func New(self string, life uint64, now time.Duration) *Node {
	return &Node{self: self, life: life, now: now, topics: map[string]Topic{}, subscriptions: map[subscriptionKey]*subscription{}, subscribers: map[string]*subscriber{},
		cursors: map[cursorKey]*coordpb.Cursor{}, polls: map[uint64]time.Duration{}}
}

// Add has a topic be brought to others.
func (n *Node) Add(name string, t Topic) {
	if n.topics[name] == nil {
		n.names = append(n.names, name)
	}
	n.topics[name] = t
}

// Topic returns a topic by its name, nil for none.
func (n *Node) Topic(name string) Topic { return n.topics[name] }

// Subscribe replaces all subscriptions. One whose source is still among its candidates keeps it.
func (n *Node) Subscribe(now time.Duration, all []Subscription) []Send {
	n.begin(now)
	old := n.subscriptions
	n.subscriptions = map[subscriptionKey]*subscription{}
	for _, s := range all {
		s.Candidates = slices.DeleteFunc(slices.Clone(s.Candidates), func(a string) bool { return a == n.self })
		if len(s.Candidates) == 0 || n.topics[s.Topic] == nil {
			continue
		}
		key := subscriptionKey{s.Topic, s.Group}
		f := old[key]
		if f == nil {
			f = &subscription{since: n.now, fresh: neverStarted}
			n.pollAt = n.now
		} else if at := slices.Index(s.Candidates, f.Candidates[f.at]); at != f.at {
			f.at, f.since = max(at, 0), n.now
			n.pollAt = n.now
		}
		f.Subscription = s
		n.subscriptions[key] = f
	}
	n.due()
	return n.out
}

func (n *Node) begin(now time.Duration) { n.now, n.out = max(now, n.now), nil }

// Tick takes in that time has passed.
func (n *Node) Tick(now time.Duration) []Send {
	n.begin(now)
	n.due()
	return n.out
}

// Next is when Tick is to be called at the latest.
func (n *Node) Next() time.Duration { return n.pollAt }

// due turns to other candidates where a source brings nothing fresh, and polls.
func (n *Node) due() {
	for _, f := range n.subscriptions {
		n.turn(f)
	}
	if n.now >= n.pollAt {
		n.poll()
	}
	for address, s := range n.subscribers {
		if n.now-s.polled >= 2*subscribed {
			delete(n.subscribers, address)
		}
	}
}

// turn has a subscription use its next candidate once the one in use has brought nothing fresh for too long.
func (n *Node) turn(f *subscription) {
	if f.Confirmed {
		if at, ok := n.topics[f.Topic].Confirmed(); ok {
			f.fresh = max(f.fresh, at)
		}
	}
	if len(f.Candidates) < 2 || n.now-f.fresh < staleAfter || n.now-f.since < tryFor {
		return
	}
	f.at = (f.at + 1) % len(f.Candidates)
	f.since = n.now
	n.pollAt = n.now
}

// poll asks all sources in use for what is new, and now and then the first candidates of subscriptions that use others.
func (n *Node) poll() {
	n.pollAt = n.now + PollEvery
	if n.isBehind() {
		n.pollAt = n.now + hurriedEvery
	}
	asked := map[string]*coordpb.Poll{}
	for _, f := range n.subscriptions {
		n.ask(asked, f.Candidates[f.at], f.Topic)
		if f.at > 0 && n.now >= f.retryAt {
			f.retryAt = n.now + retryFirst
			n.ask(asked, f.Candidates[0], f.Topic)
		}
	}
	for to, poll := range asked {
		n.nonce++
		poll.From, poll.Nonce = n.self, n.nonce
		n.remember(n.nonce)
		n.out = append(n.out, Send{To: to, Poll: poll})
	}
}

// isBehind tells whether something that has to be confirmed as the newest has not been for too long.
func (n *Node) isBehind() bool {
	for _, f := range n.subscriptions {
		if !f.Confirmed {
			continue
		}
		if at, ok := n.topics[f.Topic].Confirmed(); !ok || n.now-at >= staleAfter {
			return true
		}
	}
	return false
}

// hasToBeConfirmed tells whether what comes of a topic has to be confirmed as the newest.
func (n *Node) hasToBeConfirmed(topic string) bool {
	for key, f := range n.subscriptions {
		if key.topic == topic && f.Confirmed {
			return true
		}
	}
	return false
}

// ask adds a topic to the poll of a source.
func (n *Node) ask(polls map[string]*coordpb.Poll, source, topic string) {
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

// cursor is how far this router has a topic of a source.
func (n *Node) cursor(topic, source string) *coordpb.Cursor {
	if t := n.topics[topic]; t.Shared() {
		return &coordpb.Cursor{Topic: topic, Revision: t.Revision()}
	}
	key := cursorKey{topic, source}
	c := n.cursors[key]
	if c == nil {
		c = &coordpb.Cursor{Topic: topic}
		if len(n.cursors) < mostPeers {
			n.cursors[key] = c
		}
	}
	return c
}

func (n *Node) remember(nonce uint64) {
	n.polls[nonce] = n.now
	if n.pollOrder = append(n.pollOrder, nonce); len(n.pollOrder) > mostPolls {
		delete(n.polls, n.pollOrder[0])
		n.pollOrder = n.pollOrder[1:]
	}
}

// TakePoll answers a subscriber.
func (n *Node) TakePoll(now time.Duration, p *coordpb.Poll) []Send {
	n.begin(now)
	s := n.subscribers[p.From]
	if s == nil {
		if len(n.subscribers) >= mostPeers || p.From == "" {
			return nil
		}
		s = &subscriber{long: map[string]sent{}}
		n.subscribers[p.From] = s
	}
	s.polled, s.nonce, s.cursors = n.now, p.Nonce, map[string]uint64{}
	update := &coordpb.Update{From: n.self, Nonce: p.Nonce}
	for _, c := range p.Cursors {
		topic := n.topics[c.Topic]
		if topic == nil {
			continue
		}
		after := c.Revision
		if c.Life != n.life && !topic.Shared() {
			after = 0
		}
		update.Deltas = append(update.Deltas, n.answer(s, c.Topic, topic, after))
		s.cursors[c.Topic] = topic.Revision()
	}
	n.out = append(n.out, Send{To: p.From, Update: update})
	return n.out
}

// answer is what a subscriber is answered that has a revision. While a long payload is on its way it is only told that this process lives.
func (n *Node) answer(s *subscriber, name string, t Topic, after uint64) *coordpb.Delta {
	onItsWay := s.long[name]
	if after < onItsWay.revision && onItsWay.revision == t.Revision() && n.now < onItsWay.until {
		return &coordpb.Delta{Topic: name, Life: n.life, Since: after, Revision: after, AgeUs: -1}
	}
	return n.deltaFor(s, name, t, after)
}

// deltaFor is what a topic has for a subscriber after a revision, noted as on its way where it is long.
func (n *Node) deltaFor(s *subscriber, name string, t Topic, after uint64) *coordpb.Delta {
	d := n.delta(name, t, after)
	n.noteLong(s, name, d)
	return d
}

// delta is what a topic has after a revision.
func (n *Node) delta(name string, t Topic, after uint64) *coordpb.Delta {
	d := &coordpb.Delta{Topic: name, Life: n.life, Since: after, Revision: t.Revision(), AgeUs: -1}
	if after != d.Revision {
		d.Payload, d.Since = t.Delta(after)
	}
	if at, ok := t.Confirmed(); ok {
		d.AgeUs = (n.now - at).Microseconds()
	}
	return d
}

// noteLong notes a long payload that a subscriber is sent.
func (n *Node) noteLong(s *subscriber, name string, d *coordpb.Delta) {
	if len(d.Payload) >= longPayload {
		s.long[name] = sent{d.Revision, n.now + resendAfter + time.Duration(len(d.Payload))*resendPerByte}
	}
}

// Changed brings what is new in a topic to its subscribers.
func (n *Node) Changed(now time.Duration, name string) []Send {
	n.begin(now)
	topic := n.topics[name]
	if topic == nil {
		return nil
	}
	revision := topic.Revision()
	worked := map[uint64]*coordpb.Delta{} // most subscribers are as far as each other
	for address, s := range n.subscribers {
		after, ok := s.cursors[name]
		if !ok || after == revision || n.now-s.polled >= subscribed {
			continue
		}
		s.cursors[name] = revision
		if worked[after] == nil {
			worked[after] = n.delta(name, topic, after)
		}
		n.noteLong(s, name, worked[after])
		n.out = append(n.out, Send{To: address, Update: &coordpb.Update{From: n.self, Deltas: []*coordpb.Delta{worked[after]}}})
	}
	return n.out
}

// Refreshed brings to the subscribers of a topic that it was confirmed, as an answer to their last polls: they asked before it was.
func (n *Node) Refreshed(now time.Duration, name string) []Send {
	n.begin(now)
	topic := n.topics[name]
	if topic == nil {
		return nil
	}
	for address, s := range n.subscribers {
		after, ok := s.cursors[name]
		if !ok || n.now-s.polled >= subscribed {
			continue
		}
		s.cursors[name] = topic.Revision()
		n.out = append(n.out, Send{To: address, Update: &coordpb.Update{From: n.self, Nonce: s.nonce, Deltas: []*coordpb.Delta{n.deltaFor(s, name, topic, after)}}})
	}
	return n.out
}

// Subscribers are the addresses that are sent a topic's changes.
func (n *Node) Subscribers(name string) (all []string) {
	for address, s := range n.subscribers {
		if _, ok := s.cursors[name]; ok && n.now-s.polled < subscribed {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}

// TakeUpdate takes in what a source has sent.
func (n *Node) TakeUpdate(now time.Duration, u *coordpb.Update) []Send {
	n.begin(now)
	asked, answered := n.polls[u.Nonce]
	for _, delta := range u.Deltas {
		topic := n.topics[delta.Topic]
		if topic == nil {
			continue
		}
		cursor := n.cursor(delta.Topic, u.From)
		if !buildsOn(cursor, delta, topic) {
			continue // on what has not come: the next poll asks for all since
		}
		if len(delta.Payload) > 0 {
			topic.Merge(delta)
		}
		cursor.Life, cursor.Revision = delta.Life, delta.Revision // a shared topic counts by itself
		if !answered && n.hasToBeConfirmed(delta.Topic) && n.isBehind() {
			n.pollAt = n.now
		}
		if answered {
			confirmed := neverStarted
			if delta.AgeUs >= 0 {
				confirmed = asked - time.Duration(delta.AgeUs)*time.Microsecond
				topic.Confirm(confirmed, delta)
			}
			n.freshen(delta.Topic, u.From, confirmed)
		}
	}
	n.due()
	return n.out
}

// buildsOn tells whether a delta can be taken in where a topic of its source is as far as a cursor says.
func buildsOn(c *coordpb.Cursor, delta *coordpb.Delta, t Topic) bool {
	if t.Shared() {
		return delta.Since == 0 || delta.Since == c.Revision || delta.Revision <= c.Revision
	}
	return delta.Since == 0 || delta.Life == c.Life && delta.Since == c.Revision
}

// freshen notes that a source has answered with what was the newest at a time, and turns back to it where it is the first candidate of a
// subscription that uses another.
func (n *Node) freshen(topic, source string, confirmed time.Duration) {
	for _, f := range n.subscriptions {
		at := slices.Index(f.Candidates, source)
		if f.Topic != topic || at != f.at && at != 0 {
			continue
		}
		fresh := n.now
		if f.Confirmed {
			fresh = confirmed
		}
		f.fresh = max(f.fresh, fresh)
		if at == 0 && f.at != 0 && n.now-fresh < staleAfter {
			f.at, f.since = 0, n.now
		}
	}
}

// Source is the address that a part of a topic comes from at present, empty for none.
func (n *Node) Source(topic, group string) string {
	if f := n.subscriptions[subscriptionKey{topic, group}]; f != nil {
		return f.Candidates[f.at]
	}
	return ""
}
