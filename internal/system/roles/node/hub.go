package node

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	"google.golang.org/protobuf/proto"

	"reachspread/coord/chain"
	"reachspread/coord/coordpb"
	"reachspread/coord/feed"
	"reachspread/coord/members"
	"reachspread/coord/pacing"
	"reachspread/coord/register"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/deciders/instances"
	"reachspread/internal/system/message"
	"reachspread/internal/system/settings"
)

const (
	hubTick     = 100 * time.Millisecond
	loseEvery   = 500 * time.Millisecond
	mostCalls   = 1024
	againAfter  = 250 * time.Millisecond // a handoff that was not answered
	handoffMost = 30 * time.Second       // then it is given up
	mostHints   = 4096
	freshFor    = time.Second // a confirmation that is younger is worth telling
	// bringEvery is the least time between two times that words on hosts are brought to the decisions and to others, and bringPerHost what
	// it is more for each host that is known. Hundreds of hosts may tell of themselves at once, and each time costs some microseconds for
	// each host that is known. A word has three such times on its way at most: 0.36 s at 810 hosts, 1 s at 3,000.
	bringEvery   = 40 * time.Millisecond
	bringPerHost = 100 * time.Microsecond
)

// hub owns what this router knows of the fleet: its routers, the hosts, the configuration and where all that comes from. One goroutine
// runs it; all others leave calls.
type hub struct {
	node  *Node
	start time.Time
	calls chan func()

	feed     *feed.Node
	registry *instances.Registry
	config   *configured
	view     *viewed
	members  *fleet // by the membership
	fleet    *fleet // these, and what is taken to live beside them
	hints    map[uint64]*hint
	nonce    uint64
	homeOf   mapset.Set[homeKey] // services and zones that this router is the home of
	loseAt   time.Duration
	unsaid   mapset.Set[string] // services with words on hosts that were not brought to others yet
	bringAt  time.Duration      // the earliest time for that
	bring    *time.Timer        // runs while there are any
	wasYoung bool
	wasFresh bool // the configuration was confirmed of late
	stale    bool // it was told that the configuration may not be the newest

	inForce     atomic.Pointer[knownConfiguration]
	neighbours  atomic.Pointer[[]string] // routers of the own zone that are not of the register, or of others where there is none
	confirmedAt atomic.Int64             // of the configuration, on the hub's clock; below 0 for never
	lost        atomic.Uint64
	pace        pacing.Meter
}

// knownConfiguration is the newest configuration that this router has, with the sequence of its state in the register.
type knownConfiguration struct {
	sequence uint64
	state    *configuration.State
}

type homeKey struct{ service, zone string }

// hint is a handoff that was not answered yet.
type hint struct {
	to        string
	instances []*message.Instance
	began     time.Duration
	sentAt    time.Duration
	taken     func(connected bool) // nil where nobody waits for it
}

func newHub(n *Node) *hub {
	h := &hub{node: n, start: time.Now(), calls: make(chan func(), mostCalls), hints: map[uint64]*hint{}, homeOf: mapset.NewThreadUnsafeSet[homeKey](), unsaid: mapset.NewThreadUnsafeSet[string](),
		bring: time.NewTimer(0)}
	h.bring.Stop()
	h.confirmedAt.Store(-1)
	h.feed = feed.New(n.self.internal(), n.life, 0)
	h.registry = instances.New(n.settings().HeartbeatInterval())
	h.config = &configured{confirmed: -1, now: h.now, changed: h.configChanged, failed: func(err error) { n.log.Warn("configuration unreadable", "cause", err) }}
	h.view = &viewed{changed: h.viewChanged}
	h.feed.Add(configurationTopic, h.config)
	h.feed.Add(viewTopic, h.view)
	h.alone()
	return h
}

// alone begins with nobody else.
func (h *hub) alone() {
	h.members = &fleet{self: h.node.self, routers: []router{h.node.self}}
	h.fleet = h.members
}

// joinFor is how long a router may take to learn from the membership who else lives. Until then the members of the register are taken to.
const joinFor = 3 * time.Second

// young tells whether the membership may not know of all yet.
func (h *hub) young() bool { return h.now() < joinFor }

func (h *hub) now() time.Duration { return time.Since(h.start) }

// call leaves a call for the hub. It waits for nobody.
func (h *hub) call(f func()) {
	select {
	case h.calls <- f:
	default:
		h.lost.Add(1)
	}
}

// ask has the hub work something out and waits for it; ok is false where ctx ended first. The hub may come to it after that, so f must
// use nothing that the caller goes on to change.
func ask[T any](ctx context.Context, h *hub, f func() T) (answer T, ok bool) {
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

// run works until ctx ends.
func (h *hub) run(ctx context.Context) {
	tick := time.NewTicker(hubTick)
	defer tick.Stop()
	h.resubscribe()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-h.calls:
			f()
		case <-tick.C:
			h.tick()
		case <-h.bring.C:
			h.bringHosts()
		}
		h.confirmedAt.Store(int64(h.config.confirmed))
		h.pace.Counted()
	}
}

// fresh tells whether the configuration was the newest for certain within a time.
func (h *hub) fresh(within time.Duration) bool {
	at := time.Duration(h.confirmedAt.Load())
	return at >= 0 && h.now()-at < within
}

func (h *hub) tick() {
	h.confirm()
	h.refresh()
	if h.wasYoung && !h.young() {
		h.resubscribe()
	}
	h.send(h.feed.Tick(h.now()))
	h.resendHints()
	if h.now() >= h.loseAt {
		h.loseAt = h.now() + loseEvery
		h.changed(h.registry.Lose(h.now(), h.isMine))
	}
}

// confirm takes in when the register's state was the newest for certain, where this router is its tail.
func (h *hub) confirm() {
	r := h.node.replica
	if r == nil {
		return
	}
	if sequence, at, ok := r.Confirmed(); ok {
		h.config.confirm(at.Sub(h.start), sequence)
	}
}

// refresh tells subscribers where the configuration has become fresh: they may wait for that to serve.
func (h *hub) refresh() {
	h.confirmedAt.Store(int64(h.config.confirmed))
	fresh := h.config.confirmed >= 0 && h.now()-h.config.confirmed < freshFor
	if fresh && !h.wasFresh {
		h.node.plane.Refreshed()
		h.send(h.feed.Refreshed(h.now(), configurationTopic))
	}
	h.wasFresh = fresh
	h.tellStale()
}

// tellStale tells on-call staff when the configuration may be older than it should be, and when it is the newest again.
func (h *hub) tellStale() {
	bound := settings.Milliseconds(h.node.settings().Bounds.ConfigurationApplyMs)
	if h.config.state == nil || bound == 0 {
		return
	}
	age := h.now() - h.config.confirmed
	switch version := h.config.state.Version(); {
	case !h.stale && age >= bound:
		h.stale = true
		h.node.log.Warn("configuration unconfirmed", "version", version, "from", h.feed.Source(configurationTopic, ""))
	case h.stale && h.wasFresh:
		h.stale = false
		h.node.log.Info("configuration confirmed", "version", version)
	}
}

// send carries out what the feed wants sent.
func (h *hub) send(all []feed.Send) {
	for _, s := range all {
		if s.Poll != nil {
			h.node.send(s.To, &message.Envelope{Body: &message.Envelope_Poll{Poll: s.Poll}})
		}
		if s.Update != nil {
			h.node.send(s.To, &message.Envelope{Body: &message.Envelope_Update{Update: s.Update}})
		}
	}
}

// receive takes in a message of another router.
func (h *hub) receive(m *message.Envelope) {
	switch body := m.Body.(type) {
	case *message.Envelope_Poll:
		h.addTopics(body.Poll)
		h.send(h.feed.TakePoll(h.now(), body.Poll))
	case *message.Envelope_Update:
		h.send(h.feed.TakeUpdate(h.now(), body.Update))
		h.refresh()
	case *message.Envelope_Handoff:
		h.takeHandoff(body.Handoff)
	case *message.Envelope_Taken:
		h.takeTaken(body.Taken)
	}
}

// addTopics has the topics of services be known that others ask for.
func (h *hub) addTopics(p *coordpb.Poll) {
	for _, c := range p.Cursors {
		if len(c.Topic) > len(hostsTopic) && c.Topic[:len(hostsTopic)] == hostsTopic {
			h.addService(c.Topic[len(hostsTopic):])
		}
	}
}

// addService has the hosts of a service be brought to others.
func (h *hub) addService(name string) {
	topic := hostsTopic + name
	if h.feed.Topic(topic) != nil {
		return
	}
	h.feed.Add(topic, &hosts{service: name, registry: h.registry, now: h.now, changed: h.changed})
	h.resubscribe()
}

// services are those of the configuration and those that have hosts.
func (h *hub) services() []string {
	seen := mapset.NewThreadUnsafeSet[string]()
	var all []string
	add := func(name string) {
		if seen.Add(name) {
			all = append(all, name)
		}
	}
	if h.config.state != nil {
		for _, s := range h.config.state.Typed.Services {
			add(s.Name)
		}
	}
	for _, name := range h.registry.Services() {
		add(name)
	}
	return all
}

// registerAddresses are those that know of the register: the tail, the other members, and before any view the seeds.
func (h *hub) registerAddresses() []string {
	var all []string
	add := func(address string) {
		if address == "" || address == h.node.self.internal() {
			return
		}
		for _, have := range all {
			if have == address {
				return
			}
		}
		all = append(all, address)
	}
	add(chain.Tail(h.view.view))
	for _, m := range h.view.view.GetMembers() {
		add(m.Address)
	}
	for _, address := range h.fleet.core() {
		add(address)
	}
	if h.view.view == nil {
		for _, seed := range h.node.settings().Seeds() {
			add(seed.String())
		}
	}
	return all
}

// resubscribe works out anew where topics come from, and what this router is the home of.
func (h *hub) resubscribe() {
	h.fleet = h.members
	if h.wasYoung = h.young(); h.wasYoung {
		h.fleet = h.members.with(h.view.view)
	}
	services := h.services()
	for _, name := range services {
		if topic := hostsTopic + name; h.feed.Topic(topic) == nil {
			h.feed.Add(topic, &hosts{service: name, registry: h.registry, now: h.now, changed: h.changed})
		}
	}
	h.send(h.feed.Subscribe(h.now(), h.fleet.subscriptions(services, h.registerAddresses())))
	before := h.homeOf
	h.homeOf = mapset.NewThreadUnsafeSet[homeKey]()
	for _, name := range services {
		for _, zone := range h.zones() {
			if h.home(name, zone).address == h.node.self.address {
				h.homeOf.Add(homeKey{name, zone})
			}
		}
	}
	h.registry.Adopt(h.now(), func(r *instances.Record) bool {
		key := homeKey{r.Service, zoneMark(r.Zone)}
		return h.homeOf.ContainsOne(key) && !before.ContainsOne(key)
	})
}

// zones are those of the settings and those that have routers.
func (h *hub) zones() []string {
	all := h.fleet.zones()
	for name := range h.node.settings().Zones {
		zone, found := zoneMark(name), false
		for _, z := range all {
			found = found || z == zone
		}
		if !found {
			all = append(all, zone)
		}
	}
	return all
}

// home is the router responsible for a service's hosts of a zone.
func (h *hub) home(service, zone string) router {
	return h.fleet.homes(hostsTopic+service, zoneMark(zone))[0]
}

func (h *hub) isMine(r *instances.Record) bool {
	return h.home(r.Service, r.Zone).address == h.node.self.address
}

// neighbour is a router that may reach what this one does not, empty for none.
func (h *hub) neighbour() string {
	all := h.neighbours.Load()
	if all == nil || len(*all) == 0 {
		return ""
	}
	return (*all)[rand.IntN(len(*all))]
}

// viewFleet takes in a view of the membership.
func (h *hub) viewFleet(v *members.View) {
	h.members = fleetOf(h.node.self, v)
	near := h.members.neighbours()
	h.neighbours.Store(&near)
	h.node.plane.SetRouters(len(h.members.routers))
	h.node.prompts.viewed(h.members.routers)
	h.node.client.Know(h.registerAddresses())
	if h.node.replica != nil {
		h.node.replica.Know(h.members.core())
	}
	h.resubscribe()
}

// viewChanged takes in a view of the register.
func (h *hub) viewChanged(v *coordpb.View) {
	h.node.client.Viewed(v)
	h.node.client.Know(h.registerAddresses())
	h.send(h.feed.Changed(h.now(), viewTopic))
	h.resubscribe()
}

// committed takes in a state that the register has committed.
func (h *hub) committed(c chain.Committed) {
	h.config.take(c.Position.Sequence, c.Value.(*configuration.State))
}

// known is the newest configuration that this router has, with the sequence of its state in the register; 0 for none.
func (h *hub) known() (sequence uint64, document []byte) {
	in := h.inForce.Load()
	if in == nil {
		return 0, nil
	}
	return in.sequence, in.state.JSON()
}

// configChanged puts a configuration in force.
func (h *hub) configChanged(state *configuration.State) {
	h.inForce.Store(&knownConfiguration{h.config.sequence, state})
	if err := h.node.plane.Configure(state); err != nil {
		h.node.log.Warn("configuration not in force", "version", state.Version(), "cause", err)
	}
	h.node.pins.saw(state.Pinned().Revision, time.Now())
	h.send(h.feed.Changed(h.now(), configurationTopic))
	h.resubscribe()
	for _, s := range state.Typed.Services {
		h.showHosts(s.Name)
	}
}

// changed has words on hosts that are new here be brought to the decisions and to others: now, or soon where others just were.
func (h *hub) changed(all []*instances.Record) {
	if len(all) == 0 {
		return
	}
	waiting := !h.unsaid.IsEmpty()
	for _, r := range all {
		h.unsaid.Add(r.Service)
	}
	switch now := h.now(); {
	case now >= h.bringAt:
		h.bringHosts()
	case !waiting:
		h.bring.Reset(h.bringAt - now)
	}
}

// bringHosts brings what is new of hosts to the decisions and to others.
func (h *hub) bringHosts() {
	h.bringAt = h.now() + bringEvery + time.Duration(h.registry.Len())*bringPerHost
	for name := range mapset.Elements(h.unsaid) {
		h.addService(name)
		h.showHosts(name)
		h.send(h.feed.Changed(h.now(), hostsTopic+name))
	}
	h.unsaid.Clear()
}

// showHosts tells the decisions which hosts a service has.
func (h *hub) showHosts(service string) {
	h.node.plane.Hosts(service, h.registry.ServiceRevision(service), h.registry.Of(service), h.now())
}

// marshalEnvelope writes a message to another router.
func marshalEnvelope(m *message.Envelope) []byte {
	text, _ := proto.Marshal(m)
	return text
}

var _ register.Logger = (logger)(nil)
