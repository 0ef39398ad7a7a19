package feed

import (
	"slices"
	"time"
)

const (
	// staleTimeout is how long a source may bring nothing fresh before the next candidate is used.
	staleTimeout = 1000 * time.Millisecond
	// candidateTimeout is how long each further candidate is given.
	candidateTimeout = 300 * time.Millisecond
	// never is before all times at which something can have happened.
	never = -time.Hour
)

type subscriptionKey struct{ topic, group string }

// subscription is a Subscription with its source.
type subscription struct {
	Subscription
	current          int           // index of the candidate in use
	currentSince     time.Duration // it is in use
	freshAt          time.Duration // when it brought what is fresh last
	preferredRetryAt time.Duration // when the first candidate is asked beside another one
}

// Subscribe replaces all subscriptions. One whose source is still a candidate keeps it.
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

// updated returns a subscription with new candidates. Before is nil for one that is new.
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

// switchSource uses the next candidate of a subscription if the present one is stale.
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

// sourceAnswered takes note that a source answered with what was confirmed at a time. A
// subscription returns to its first candidate when that is fresh.
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

// isBehind reports whether a topic that has to be confirmed was not for too long.
func (n *Node) isBehind() bool {
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

// requiresConfirmation reports whether any subscription requires a topic to be confirmed.
func (n *Node) requiresConfirmation(topic string) bool {
	for key, s := range n.subscriptions {
		if key.topic == topic && s.RequireConfirmed {
			return true
		}
	}
	return false
}
