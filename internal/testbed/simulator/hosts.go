package simulator

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"reachspread/balance"
	"reachspread/internal/testbed/history"
	"reachspread/internal/testbed/hostmodel"
)

// host is one machine, and the model of what runs on it.
type host struct {
	number       int
	id           string
	zone         string
	kind         string
	group        int
	startedAt    time.Duration // on the routers' clock, 0 for long ago
	model        *hostmodel.Host
	generation   int           // of its process
	nextStep     time.Duration // of its next step, -1 for none
	alive        bool
	removed      bool // for good
	isolated     bool // from the network
	isolations   int  // times that it was
	activeFaults int  // faults that have killed it
	state        balance.State

	attempts map[string]*attempt
	probes   map[string]*probe

	undelivered []*attempt // while it was cut off
}

// list is discovery: what it knows, and how it tells.
type list struct {
	version      int64
	outages      int // disruptions that hold it up
	updateMissed bool
}

// listUpdate is a list on its way to a router.
type listUpdate struct {
	members balance.Members
	hosts   []int
}

func (w *World) addHost(group int) *host {
	g := &w.spec.Groups[group]
	n := len(w.hosts)
	h := &host{number: n, id: "h" + strconv.Itoa(n), zone: g.Zone, kind: g.Kind, group: group, nextStep: -1, alive: true,
		model: hostmodel.New(g.Host, w.stream(forHost, uint64(n)).Uint64()), attempts: map[string]*attempt{}, probes: map[string]*probe{}}
	w.hosts = append(w.hosts, h)
	return h
}

// stepHost has a host take in an event, or only the time, and carries on what comes of it. Full
// tells that a connection found no room.
func (w *World) stepHost(h *host, e hostmodel.Event) (full bool) {
	if e == nil {
		e = hostmodel.Passed{}
	}
	for _, x := range h.model.Step(w.now, e) {
		switch x.Kind {
		case hostmodel.Token:
			a := h.attempts[x.ID]
			if a == nil {
				continue
			}
			a.tokens++
			a.lastTokenAt = w.now
			w.result.Tokens++
			if !a.firstSent {
				a.firstSent = true
				w.sendHostMessage(h, a, &hostMessage{attempt: a, firstToken: true})
			}
		case hostmodel.LastToken:
			if a := h.attempts[x.ID]; a != nil {
				delete(h.attempts, x.ID)
				w.result.CachedTokens += uint64(x.CachedTokens)
				w.hostDone(h, a)
				w.sendHostMessage(h, a, &hostMessage{attempt: a, result: balance.OK, cachedTokens: x.CachedTokens, tokens: a.tokens, load: w.load(h)})
			}
		case hostmodel.TurnedAway:
			if p := h.probes[x.ID]; p != nil {
				delete(h.probes, x.ID)
				w.sendProbeResult(h, p, balance.Full, nil)
				continue
			}
			if a := h.attempts[x.ID]; a != nil {
				delete(h.attempts, x.ID)
				w.result.TurnedAway++
				w.hostDone(h, a)
				w.sendHostMessage(h, a, &hostMessage{attempt: a, result: balance.Full, load: w.load(h)})
			}
		case hostmodel.Broken:
			if a := h.attempts[x.ID]; a != nil {
				delete(h.attempts, x.ID)
				w.result.Wasted += uint64(a.tokens)
				w.hostDone(h, a)
				w.sendHostMessage(h, a, &hostMessage{attempt: a, result: balance.Reset, tokens: a.tokens})
			}
		case hostmodel.Answered:
			if p := h.probes[x.ID]; p != nil {
				delete(h.probes, x.ID)
				w.sendProbeResult(h, p, balance.OK, loadOf(&x.Load))
			}
		case hostmodel.TableFull:
			full = true
		case hostmodel.Preempted:
			w.result.Preempted++
		case hostmodel.Fell:
			w.emit(history.Event{What: history.Fell, Who: h.id})
			w.violated(ruleSlowStart, h.id, h.number, "fell over")
		}
	}
	at, ok := h.model.Next()
	if ok && at != h.nextStep {
		h.nextStep = at
		w.schedule(at, event{kind: hostSteps, number: h.number, generation: h.generation})
	}
	return full
}

// sendProbeResult sends the result of a probe to its router.
func (w *World) sendProbeResult(h *host, p *probe, how balance.Result, load *balance.Load) {
	p.result, p.load = how, load
	w.schedule(w.now+w.networkDelay(h.zone, w.routers[p.router].zone), event{kind: probeResultReaches, number: p.router, generation: p.routerGeneration, payload: p})
}

func loadOf(l *hostmodel.Load) *balance.Load {
	return &balance.Load{InFlight: float64(l.Running + l.Waiting), Utilization: l.Util, PrefillTokens: 1000 * l.Unread}
}

func (w *World) load(h *host) *balance.Load {
	l := h.model.Load(w.now)
	return loadOf(&l)
}

// hostMessage is a host's word on an attempt: its first token, or its outcome.
type hostMessage struct {
	attempt      *attempt
	firstToken   bool
	result       balance.Result
	notConnected bool // the connection never came up
	cachedTokens int
	tokens       int
	load         *balance.Load
}

// hostMessage sends a word to the attempt's router; the words of one attempt don't overtake one
// another.
func (w *World) sendHostMessage(h *host, a *attempt, message *hostMessage) {
	if h.isolated { // it is not heard, until the network is back and resets what was under way
		h.undelivered = append(h.undelivered, a)
		return
	}
	r := a.client.router
	a.deliveredAt = max(w.now+w.networkDelay(h.zone, r.zone), a.deliveredAt)
	w.schedule(a.deliveredAt, event{kind: hostMessageReaches, number: r.number, generation: a.client.routerGeneration, payload: message})
}

// attemptReaches has an attempt arrive at its host.
func (w *World) attemptReaches(a *attempt) {
	h := w.hosts[a.host]
	if a.ended || a.client.inFlight != a || h.isolated {
		return // given up on the way, or never heard of again
	}
	if !h.alive {
		result := balance.Reset // its idle connection is dead
		if a.connecting {
			result = balance.NoConnection
		}
		w.sendHostMessage(h, a, &hostMessage{attempt: a, result: result, notConnected: true})
		return
	}
	if !a.connecting && a.conn.hostGeneration != h.generation {
		w.sendHostMessage(h, a, &hostMessage{attempt: a, result: balance.Reset, notConnected: true})
		return
	}
	if a.connecting {
		a.connecting, a.conn.hostGeneration = false, h.generation
		if w.stepHost(h, hostmodel.Connect{}) {
			w.sendHostMessage(h, a, &hostMessage{attempt: a, result: balance.NoConnection, notConnected: true})
			return
		}
	}
	a.hostGeneration = h.generation
	f := a.client.request
	h.attempts[a.client.id] = a
	if w.observed() {
		w.emit(history.Event{What: history.Attempt, ID: a.client.id, Who: h.id, From: routerName(a.client.router.number), Conn: a.name()})
	}
	w.stepHost(h, hostmodel.Arrive{Request: hostmodel.Request{ID: a.client.id, Session: f.session.name, Prefix: f.session.prefix, Prompt: f.promptTokens,
		Shared: f.session.prefixTokens, Out: f.answerTokens, MaxOut: f.session.load.config.MaxOut, Untold: a.client.router.known[h.number].startedAt != h.startedAt}})
}

func (w *World) disconnect(c *connection) {
	if h := w.hosts[c.host]; h.alive && h.generation == c.hostGeneration {
		w.stepHost(h, hostmodel.Disconnect{})
	}
}

// connectTimedOut ends an attempt whose connection did not come up in time.
func (w *World) connectTimedOut(a *attempt) {
	if a.connecting && !a.ended && a.client.inFlight == a {
		w.schedule(w.now, event{kind: hostMessageReaches, number: a.client.router.number, generation: a.client.routerGeneration, payload: &hostMessage{attempt: a, result: balance.NoConnection, notConnected: true}})
	}
}

// endIdleStreams has routers end the streams of a host that was cut off and is not heard of since.
// What the host made meanwhile nobody gets.
func (w *World) endIdleStreams(h *host, isolation int) {
	if !h.isolated || h.isolations != isolation {
		return
	}
	all := slices.Clone(h.undelivered) // the host may be done with these
	for _, id := range slices.Sorted(maps.Keys(h.attempts)) {
		all = append(all, h.attempts[id])
	}
	for _, a := range all {
		if r := a.client.router; a.firstTokenAt > 0 && !a.ended && a.client.inFlight == a && r.alive && r.generation == a.client.routerGeneration {
			r.receiveHostMessage(&hostMessage{attempt: a, result: balance.TimedOut, tokens: a.tokens})
		}
	}
}

// cancelAttempt has a router give up an attempt: its connection closes, and the host hears of it.
func (w *World) cancelAttempt(a *attempt) {
	a.ended = true
	if w.observed() {
		w.emit(history.Event{What: history.Closed, Who: routerName(a.client.router.number), Conn: a.name()})
	}
	w.schedule(w.now+w.networkDelay(a.client.router.zone, w.hosts[a.host].zone), event{kind: cancelReaches, payload: a})
}

func (w *World) cancelReachesHost(a *attempt) {
	h := w.hosts[a.host]
	if !h.alive || h.isolated {
		return
	}
	if h.attempts[a.client.id] == a && a.hostGeneration == h.generation {
		delete(h.attempts, a.client.id)
		w.hostDone(h, a)
		w.result.Wasted += uint64(a.tokens)
		w.stepHost(h, hostmodel.Cancel{ID: a.client.id})
	}
	if a.conn != nil && a.conn.hostGeneration == h.generation {
		w.stepHost(h, hostmodel.Disconnect{})
	}
}

// name tells an attempt from others, for the history.
func (a *attempt) name() string { return a.client.id + "/" + strconv.Itoa(a.index) }

// hostDone tells the history that a host has done with an attempt.
func (w *World) hostDone(h *host, a *attempt) {
	w.emit(history.Event{What: history.Done, ID: a.client.id, Who: h.id})
}

// probe is a router's question for a host's load.
type probe struct {
	router, routerGeneration int
	host, number             int
	result                   balance.Result
	load                     *balance.Load
}

func (w *World) probeReaches(p *probe) {
	h := w.hosts[p.host]
	if !h.alive || h.isolated {
		p.result = balance.NoConnection
		w.schedule(w.now+w.spec.Net.Connect, event{kind: probeResultReaches, number: p.router, generation: p.routerGeneration, payload: p})
		return
	}
	id := "probe" + strconv.Itoa(p.router) + "." + strconv.Itoa(p.routerGeneration) + "." + strconv.Itoa(p.number)
	h.probes[id] = p
	w.stepHost(h, hostmodel.Probe{ID: id})
}

// stopHost ends a host's process.
func (w *World) stopHost(h *host) {
	if !h.alive {
		return
	}
	w.trace("host dies", h.id, h.number)
	w.stepHost(h, hostmodel.Die{})
	h.alive, h.nextStep = false, -1
	h.generation++
	clear(h.probes)
	if !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.alive }) {
		w.noHostsAt = w.now
	}
}

// startHost starts a host's process again, cold.
func (w *World) startHost(h *host, gen int) {
	if h.alive || h.removed || h.generation != gen {
		return
	}
	w.trace("host starts", h.id, h.number)
	h.alive, h.startedAt, h.state = true, w.clock(), balance.Serving
	h.generation++
	w.stepHost(h, hostmodel.Start{})
	w.publishHost(h)
}

func (w *World) member(h *host, state balance.State) balance.Member {
	return balance.Member{Replica: h.id, Zone: h.zone, Kind: h.kind, State: state, StartedAt: h.startedAt}
}

// fullList is the list as discovery has it.
func (w *World) fullList() *listUpdate {
	x := &listUpdate{members: balance.Members{Version: w.list.version, Complete: true}}
	for _, h := range w.hosts {
		if !h.removed {
			x.members.Members = append(x.members.Members, w.member(h, h.state))
			x.hosts = append(x.hosts, h.number)
		}
	}
	return x
}

// publishHost tells all routers of a host that is not what it was.
func (w *World) publishHost(h *host) {
	w.list.version++
	if w.list.outages > 0 {
		w.list.updateMissed = true
		return
	}
	x := &listUpdate{members: balance.Members{Version: w.list.version, Members: []balance.Member{w.member(h, h.state)}}, hosts: []int{h.number}}
	for _, r := range w.routers {
		w.sendList(r, x)
	}
}

// sendFullList sends a router the whole list.
func (w *World) sendFullList(r *router) {
	if w.list.outages == 0 {
		w.sendList(r, w.fullList())
	}
}

func (w *World) sendList(r *router, x *listUpdate) {
	if !r.alive {
		return
	}
	r.lastListAt = max(w.now+w.spec.List.Delay+time.Duration(w.networkRand.Float64()*float64(w.spec.List.Spread)), r.lastListAt)
	w.schedule(r.lastListAt, event{kind: listReaches, number: r.number, generation: r.generation, payload: x})
}

// applyList takes a list, for the checkers and the module.
func (r *router) applyList(x *listUpdate) {
	w := r.world
	w.result.Lines += uint64(len(x.members.Members))
	for len(r.known) < len(w.hosts) {
		r.known = append(r.known, hostKnowledge{})
	}
	if x.members.Complete { // who is not in it is gone
		in := map[int]bool{}
		for _, h := range x.hosts {
			in[h] = true
		}
		for h := range r.known {
			if !in[h] {
				r.recordDraining(h)
			}
		}
	}
	for i, m := range x.members.Members {
		h := x.hosts[i]
		r.byID[m.Replica] = h
		if m.State == balance.Serving {
			r.known[h] = hostKnowledge{startedAt: m.StartedAt}
			w.emit(history.Event{What: history.ListApplied, Who: routerName(r.number), From: m.Replica, Text: "Ready"})
		} else {
			r.recordDraining(h)
		}
	}
	r.enqueue(x.members)
}

func (r *router) recordDraining(h int) {
	if !r.known[h].draining {
		r.known[h] = hostKnowledge{draining: true, since: r.world.now}
		r.world.emit(history.Event{What: history.ListApplied, Who: routerName(r.number), From: r.world.hosts[h].id, Text: "Terminating"})
	}
}
