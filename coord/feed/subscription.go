package feed

import (
	"slices"
	"time"
)

const (
	// staleTimeout is how long a subscription may lack fresh content before it switches to the next
	// candidate.
	staleTimeout = 1000 * time.Millisecond
	// candidateTimeout is the minimum time for which a subscription uses a candidate before it
	// switches to the next one.
	candidateTimeout = 300 * time.Millisecond
	// never is earlier than the time of any event.
	never = -time.Hour
)

type subscriptionKey struct{ topic, group string }

// subscription is a Subscription with the state of its sources.
type subscription struct {
	Subscription
	current          int           // index of the candidate that is the source
	currentSince     time.Duration // time since which that candidate is the source
	freshAt          time.Duration // last time at which the content was fresh
	preferredRetryAt time.Duration // next time to poll the first candidate while another one is the source
}

// Subscribe replaces all subscriptions. A subscription whose source is still a candidate keeps that
// source.
func (n *Node) Subscribe(now time.Duration, all []Subscription) []Send {
	n.startStep(now)
	before := n.subscriptions
	n.subscriptions = map[subscriptionKey]*subscription{}
	for _, desired := range all {
		isSelf := func(address string) bool { return address == n.self }
		desired.Candidates = slices.DeleteFunc(slices.Clone(desired.Candidates), isSelf)
		if len(desired.Candidates) == 0 || n.topics[desired.Topic] == nil {
			continue
		}
		key := subscriptionKey{desired.Topic, desired.Group}
		n.subscriptions[key] = n.updated(before[key], desired)
	}
	n.runDue()
	return n.sends
}

// updated returns a subscription with the desired candidates. Before is its earlier state, or nil if
// the subscription is new.
func (n *Node) updated(before *subscription, desired Subscription) *subscription {
	if before == nil {
		n.nextPollAt = n.now
		return &subscription{Subscription: desired, currentSince: n.now, freshAt: never}
	}
	source := before.Candidates[before.current]
	if i := slices.Index(desired.Candidates, source); i != before.current {
		before.current, before.currentSince = max(i, 0), n.now
		n.nextPollAt = n.now
	}
	before.Subscription = desired
	return before
}

// switchSource switches a subscription to its next candidate if its content is stale.
func (n *Node) switchSource(s *subscription) {
	if s.RequireConfirmed {
		if at, ok := n.topics[s.Topic].Confirmed(); ok {
			s.freshAt = max(s.freshAt, at)
		}
	}
	if len(s.Candidates) < 2 || n.now-s.freshAt < staleTimeout || n.now-s.currentSince < candidateTimeout {
		return
	}
	s.current = (s.current + 1) % len(s.Candidates)
	s.currentSince = n.now
	n.nextPollAt = n.now
}

// sourceAnswered records that a source answered with content that was confirmed at a time. A
// subscription switches back to its first candidate when the content of that candidate is fresh.
func (n *Node) sourceAnswered(topic, source string, confirmed time.Duration) {
	for _, s := range n.subscriptions {
		i := slices.Index(s.Candidates, source)
		if s.Topic != topic || i != s.current && i != 0 {
			continue
		}
		freshAt := n.now
		if s.RequireConfirmed {
			freshAt = confirmed
		}
		s.freshAt = max(s.freshAt, freshAt)
		if i == 0 && s.current != 0 && n.now-freshAt < staleTimeout {
			s.current, s.currentSince = 0, n.now
		}
	}
}

// hasStaleTopic reports whether a topic that requires confirmation was not confirmed within
// staleTimeout.
func (n *Node) hasStaleTopic() bool {
	for _, s := range n.subscriptions {
		if !s.RequireConfirmed {
			continue
		}
		if at, ok := n.topics[s.Topic].Confirmed(); !ok || n.now-at >= staleTimeout {
			return true
		}
	}
	return false
}

// Answered reports whether a source of each subscription to a topic has answered a poll since the
// subscription was made. It is true for a topic without subscriptions.
func (n *Node) Answered(topic string) bool {
	for key, s := range n.subscriptions {
		if key.topic == topic && s.freshAt == never {
			return false
		}
	}
	return true
}

// requiresConfirmation reports whether any subscription requires a topic to be confirmed.
func (n *Node) requiresConfirmation(topic string) bool {
	for key, s := range n.subscriptions {
		if key.topic == topic && s.RequireConfirmed {
			return true
		}
	}
	return false
}
