package feed

import (
	"slices"
	"time"

	"reachspread/coord/coordpb"
)

// maxPeers bounds the subscribers and the cursors of a node.
const maxPeers = 4096

// Node manages the subscriptions and the subscribers of one process.
type Node struct {
	self        string
	incarnation uint64
	now         time.Duration
	sends       []Send // messages that the current call returns
	topics      map[string]Topic
	names       []string // names of the topics in the order of Add

	subscriptions map[subscriptionKey]*subscription
	cursors       map[cursorKey]*coordpb.Cursor
	polls         map[uint64]time.Duration // send times of the last maxPolls polls, by nonce
	pollOrder     []uint64                 // the nonces in polls, oldest first
	nonce         uint64
	nextPollAt    time.Duration

	subscribers map[string]*subscriber // by address
}

// New returns the Node of the process at the address self. The caller draws a new incarnation at
// each start of the process.
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

// Add adds a topic, or replaces the topic of that name.
func (n *Node) Add(name string, t Topic) {
	if n.topics[name] == nil {
		n.names = append(n.names, name)
	}
	n.topics[name] = t
}

// Topic returns the topic with a name, or nil if there is none.
func (n *Node) Topic(name string) Topic { return n.topics[name] }

// Tick runs the actions that are due and returns the messages to send. The caller calls it at the
// time that Next returns, or earlier.
func (n *Node) Tick(now time.Duration) []Send {
	n.startStep(now)
	n.runDue()
	return n.sends
}

// Next returns the latest time at which the caller has to call Tick.
func (n *Node) Next() time.Duration { return n.nextPollAt }

func (n *Node) startStep(now time.Duration) { n.now, n.sends = max(now, n.now), nil }

// runDue switches subscriptions away from stale sources, polls if a poll is due, and removes
// subscribers that have stopped polling.
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

// Subscribers returns the addresses of the processes to which this process publishes a topic, in
// ascending order.
func (n *Node) Subscribers(name string) (all []string) {
	for address, s := range n.subscribers {
		if _, ok := s.cursors[name]; ok && n.now-s.polledAt < subscriberTTL {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}

// Source returns the address of the current source of a subscription. It is empty if there is no
// such subscription.
func (n *Node) Source(topic, group string) string {
	if s := n.subscriptions[subscriptionKey{topic, group}]; s != nil {
		return s.Candidates[s.current]
	}
	return ""
}
