package node

import (
	"context"
	"sync/atomic"
	"time"

	mapset "github.com/deckarep/golang-set/v2"

	"reachspread/coord/feed"
	"reachspread/coord/pacing"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
)

const (
	hubTickInterval = 100 * time.Millisecond
	// expiryInterval is the time between two checks for hosts whose heartbeats have stopped.
	expiryInterval = 500 * time.Millisecond
	// maxQueuedCalls is the maximum number of calls that wait for the hub. hub.post drops further
	// calls. Callers retry every call that matters.
	maxQueuedCalls = 1024
)

// hub owns what this router knows about the fleet: the routers, the hosts, the configuration, and
// the routers from which it obtains each of them. Only the goroutine of run accesses its fields,
// except for the atomic ones. Other goroutines post calls.
type hub struct {
	node      *Node
	startedAt time.Time // the hub's clock is 0 at this time
	calls     chan func()

	feed          *feed.Node
	registry      *instances.Registry
	configuration *configurationFeed
	registerView  *registerViewFeed

	members *fleet // the live routers according to the membership
	fleet   *fleet // members, and during joining also the register's members
	owned   mapset.Set[ownerKey]

	restored restoredHosts // not accepted yet

	hints map[uint64]*hint // handoffs without an acknowledgement, by nonce
	nonce uint64           // nonce of the last hint

	nextExpiryAt  time.Duration
	unpublished   mapset.Set[string] // services with changed records to publish
	nextPublishAt time.Duration
	publishTimer  *time.Timer // set while unpublished is not empty

	wasJoining        bool
	wasConfirmed      bool // the configuration was confirmed at the last check
	unconfirmedLogged bool

	// Fields that other goroutines read.
	inForce      atomic.Pointer[knownConfiguration]
	relays       atomic.Pointer[[]string] // routers that may reach an owner which this router can't reach
	confirmedAt  atomic.Int64             // configuration confirmed as of this time of the hub's clock; negative for never
	droppedCalls atomic.Uint64
	pace         pacing.Meter
}

// ownerKey identifies a unit of ownership: the hosts of one service in one zone.
type ownerKey struct{ service, zone string }

func newHub(n *Node) *hub {
	h := &hub{
		node:         n,
		startedAt:    time.Now(),
		calls:        make(chan func(), maxQueuedCalls),
		restored:     restoredHosts{},
		hints:        map[uint64]*hint{},
		owned:        mapset.NewThreadUnsafeSet[ownerKey](),
		unpublished:  mapset.NewThreadUnsafeSet[string](),
		publishTimer: time.NewTimer(0),
	}
	h.publishTimer.Stop()
	h.confirmedAt.Store(-1)
	h.feed = feed.New(n.self.internal(), n.incarnation, 0)
	h.registry = instances.New(n.settings().HeartbeatInterval())
	h.configuration = &configurationFeed{
		confirmedAt: -1,
		clock:       h.now,
		onChange:    h.configurationChanged,
		onError:     func(err error) { n.log.Warn("configuration unreadable", "cause", err) },
	}
	h.registerView = &registerViewFeed{onChange: h.registerViewChanged}
	h.feed.Add(configurationTopic, h.configuration)
	h.feed.Add(registerViewTopic, h.registerView)
	h.resetMembership()
	return h
}

// now returns the time of the hub's clock.
func (h *hub) now() time.Duration { return time.Since(h.startedAt) }

// post queues a call for the hub's goroutine. It never blocks: if the queue is full, it drops the
// call.
func (h *hub) post(call func()) {
	select {
	case h.calls <- call:
	default:
		h.droppedCalls.Add(1)
	}
}

// query runs f on the hub's goroutine and waits for the result. It returns false if ctx ends
// first. The hub may still run f after that, so f must not access anything that the caller changes
// later.
func query[T any](ctx context.Context, h *hub, f func() T) (answer T, ok bool) {
	done := make(chan T, 1)
	select {
	case h.calls <- func() { done <- f() }:
	case <-ctx.Done():
		return answer, false
	}
	select {
	case answer = <-done:
		return answer, true
	case <-ctx.Done():
		return answer, false
	}
}

// run executes calls and timers until ctx ends.
func (h *hub) run(ctx context.Context) {
	tick := time.NewTicker(hubTickInterval)
	defer tick.Stop()
	h.resubscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case call := <-h.calls:
			call()
		case <-tick.C:
			h.tick()
		case <-h.publishTimer.C:
			h.publishHosts()
		}
		h.confirmedAt.Store(int64(h.configuration.confirmedAt))
		h.pace.RecordTick()
	}
}

// tick runs the periodic work.
func (h *hub) tick() {
	h.confirmFromReplica()
	h.refreshConfirmation()
	if h.wasJoining && !h.joining() {
		h.resubscribe()
	}
	h.sendAll(h.feed.Tick(h.now()))
	h.resendHints()
	h.acceptRestored()
	if h.now() >= h.nextExpiryAt {
		h.nextExpiryAt = h.now() + expiryInterval
		h.hostsChanged(h.registry.DetectLost(h.now(), h.ownsRecord))
	}
}

// receiveEnvelope handles a message from another router.
func (h *hub) receiveEnvelope(m *message.Envelope) {
	switch body := m.Body.(type) {
	case *message.Envelope_Poll:
		h.addRequestedTopics(body.Poll)
		h.sendAll(h.feed.HandlePoll(h.now(), body.Poll))
	case *message.Envelope_Update:
		h.sendAll(h.feed.HandleUpdate(h.now(), body.Update))
		h.acceptRestored()
		h.refreshConfirmation()
	case *message.Envelope_Handoff:
		h.receiveHandoff(body.Handoff)
	case *message.Envelope_Taken:
		h.handoffAcknowledged(body.Taken)
	}
}

// sendAll sends the polls and updates that the feed returned.
func (h *hub) sendAll(all []feed.Send) {
	for _, s := range all {
		if s.Poll != nil {
			h.node.send(s.To, &message.Envelope{Body: &message.Envelope_Poll{Poll: s.Poll}})
		}
		if s.Update != nil {
			h.node.send(s.To, &message.Envelope{Body: &message.Envelope_Update{Update: s.Update}})
		}
	}
}
