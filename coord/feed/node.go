package feed

import (
	"slices"
	"time"

	"reachspread/coord/coordpb"
)

// maxPeers bounds the subscribers and the cursors of a node.
const maxPeers = 4096

// Node is the subscriptions and subscribers of one process.
type Node struct {
	self        string
	incarnation uint64
	now         time.Duration
	sends       []Send // of the present call
	topics      map[string]Topic
	names       []string // of topics, in order

	subscriptions map[subscriptionKey]*subscription
	cursors       map[cursorKey]*coordpb.Cursor
	polls         map[uint64]time.Duration // when those under way were sent, by nonce
	pollOrder     []uint64
	nonce         uint64
	nextPollAt    time.Duration

	subscribers map[string]*subscriber // by address
}

// New returns the Node of a process at an address. Incarnation is drawn at each start.
func New(self string, incarnation uint64, now time.Duration) *Node {
	return &Node{
		self:          self,
		incarnation:   incarnation,
		now:           now,
		topics:        map[string]Topic{},
		subscriptions: map[subscriptionKey]*subscription{},
		subscribers:   map[string]*subscriber{},
		cursors:       map[cursorKey]*coordpb.Cursor{},
		polls:         map[uint64]time.Duration{},
	}
}

// Add adds a topic, or replaces one.
func (n *Node) Add(name string, t Topic) {
	if n.topics[name] == nil {
		n.names = append(n.names, name)
	}
	n.topics[name] = t
}

// Topic returns a topic by its name, nil for none.
func (n *Node) Topic(name string) Topic { return n.topics[name] }

// Tick takes note that time has passed. It is called at Next, or earlier.
func (n *Node) Tick(now time.Duration) []Send {
	n.startStep(now)
	n.runDue()
	return n.sends
}

// Next is when Tick is to be called at the latest.
func (n *Node) Next() time.Duration { return n.nextPollAt }

func (n *Node) startStep(now time.Duration) { n.now, n.sends = max(now, n.now), nil }

// runDue switches from stale sources, polls, and removes subscribers that poll no more.
func (n *Node) runDue() {
	for _, s := range n.subscriptions {
		n.switchSource(s)
	}
	if n.now >= n.nextPollAt {
		n.poll()
	}
	for address, s := range n.subscribers {
		if n.now-s.polledAt >= 2*subscriberTTL {
			delete(n.subscribers, address)
		}
	}
}

// Subscribers returns the addresses to which a topic is published, sorted.
func (n *Node) Subscribers(name string) (all []string) {
	for address, s := range n.subscribers {
		if _, ok := s.cursors[name]; ok && n.now-s.polledAt < subscriberTTL {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}

// Source returns the address of the present source of a subscription, empty for none.
func (n *Node) Source(topic, group string) string {
	if s := n.subscriptions[subscriptionKey{topic, group}]; s != nil {
		return s.Candidates[s.current]
	}
	return ""
}
