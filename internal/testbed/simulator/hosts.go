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
	n          int
	id         string
	zone       string
	kind       string
	group      int
	born       time.Duration // on the routers' clock, 0 for long ago
	model      *hostmodel.Host
	gen        int           // of its process
	due        time.Duration // of its next step, -1 for none
	alive      bool
	removed    bool // for good
	isolated   bool // from the network
	isolations int  // times that it was
	down       int  // faults that have killed it
	state      balance.State

	atIt map[string]*attempt
	asks map[string]*probe

	undelivered []*attempt // while it was cut off
}

// list is discovery: what it knows, and how it tells.
type list struct {
	version int64
	down    int // disruptions that hold it up
	missed  bool
}

// listUpdate is a list on its way to a router.
type listUpdate struct {
	members balance.Members
	hosts   []int
}

func (w *World) addHost(group int) *host {
	g := &w.s.Groups[group]
	n := len(w.hosts)
	h := &host{n: n, id: "h" + strconv.Itoa(n), zone: g.Zone, kind: g.Kind, group: group, due: -1, alive: true,
		model: hostmodel.New(g.Host, w.stream(forHost, uint64(n)).Uint64()), atIt: map[string]*attempt{}, asks: map[string]*probe{}}
	w.hosts = append(w.hosts, h)
	return h
}

// hostDoes has a host take in an event, or only the time, and carries on what comes of it. Full
// tells that a connection found no room.
func (w *World) hostDoes(h *host, e hostmodel.Event) (full bool) {
	if e == nil {
		e = hostmodel.Passed{}
	}
	for _, x := range h.model.Step(w.now, e) {
		switch x.Kind {
		case hostmodel.Token:
			a := h.atIt[x.ID]
			if a == nil {
				continue
			}
			a.made++
			a.last = w.now
			w.res.Tokens++
			if !a.first {
				a.first = true
				w.sendHostMessage(h, a, &hostMessage{a: a, first: true})
			}
		case hostmodel.LastToken:
			if a := h.atIt[x.ID]; a != nil {
				delete(h.atIt, x.ID)
				w.res.CachedTokens += uint64(x.CachedTokens)
				w.hostDone(h, a)
				w.sendHostMessage(h, a, &hostMessage{a: a, result: balance.OK, cachedTokens: x.CachedTokens, made: a.made, load: w.load(h)})
			}
		case hostmodel.TurnedAway:
			if p := h.asks[x.ID]; p != nil {
				delete(h.asks, x.ID)
				w.sendProbeResult(h, p, balance.Full, nil)
				continue
			}
			if a := h.atIt[x.ID]; a != nil {
				delete(h.atIt, x.ID)
				w.res.TurnedAway++
				w.hostDone(h, a)
				w.sendHostMessage(h, a, &hostMessage{a: a, result: balance.Full, load: w.load(h)})
			}
		case hostmodel.Broken:
			if a := h.atIt[x.ID]; a != nil {
				delete(h.atIt, x.ID)
				w.res.Wasted += uint64(a.made)
				w.hostDone(h, a)
				w.sendHostMessage(h, a, &hostMessage{a: a, result: balance.Reset, made: a.made})
			}
		case hostmodel.Answered:
			if p := h.asks[x.ID]; p != nil {
				delete(h.asks, x.ID)
				w.sendProbeResult(h, p, balance.OK, loadOf(&x.Load))
			}
		case hostmodel.TableFull:
			full = true
		case hostmodel.Preempted:
			w.res.Preempted++
		case hostmodel.Fell:
			w.emit(history.Event{What: history.Fell, Who: h.id})
			w.violated(ruleSlowStart, h.id, h.n, "fell over")
		}
	}
	at, ok := h.model.Next()
	if ok && at != h.due {
		h.due = at
		w.at(at, event{kind: hostSteps, n: h.n, gen: h.gen})
	}
	return full
}

// sendProbeResult sends the result of a probe to its router.
func (w *World) sendProbeResult(h *host, p *probe, how balance.Result, load *balance.Load) {
	p.result, p.load = how, load
	w.at(w.now+w.way(h.zone, w.routers[p.router].zone), event{kind: probeResultReaches, n: p.router, gen: p.rgen, p: p})
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
	a            *attempt
	first        bool
	result       balance.Result
	noConn       bool // the connection never came up
	cachedTokens int
	made         int
	load         *balance.Load
}

// hostMessage sends a word to the attempt's router; the words of one attempt don't overtake one
// another.
func (w *World) sendHostMessage(h *host, a *attempt, message *hostMessage) {
	if h.isolated { // it is not heard, until the network is back and resets what was under way
		h.undelivered = append(h.undelivered, a)
		return
	}
	r := a.t.router
	a.deliveredAt = max(w.now+w.way(h.zone, r.zone), a.deliveredAt)
	w.at(a.deliveredAt, event{kind: hostMessageReaches, n: r.n, gen: a.t.gen, p: message})
}

// attemptReaches has an attempt arrive at its host.
func (w *World) attemptReaches(a *attempt) {
	h := w.hosts[a.host]
	if a.over || a.t.out != a || h.isolated {
		return // given up on the way, or never heard of again
	}
	if !h.alive {
		result := balance.Reset // its idle connection is dead
		if a.fresh {
			result = balance.NoConnection
		}
		w.sendHostMessage(h, a, &hostMessage{a: a, result: result, noConn: true})
		return
	}
	if !a.fresh && a.conn.gen != h.gen {
		w.sendHostMessage(h, a, &hostMessage{a: a, result: balance.Reset, noConn: true})
		return
	}
	if a.fresh {
		a.fresh, a.conn.gen = false, h.gen
		if w.hostDoes(h, hostmodel.Connect{}) {
			w.sendHostMessage(h, a, &hostMessage{a: a, result: balance.NoConnection, noConn: true})
			return
		}
	}
	a.hgen = h.gen
	f := a.t.f
	h.atIt[a.t.id] = a
	if w.observed() {
		w.emit(history.Event{What: history.Attempt, ID: a.t.id, Who: h.id, From: routerName(a.t.router.n), Conn: a.name()})
	}
	w.hostDoes(h, hostmodel.Arrive{Request: hostmodel.Request{ID: a.t.id, Session: f.session.name, Prefix: f.session.prefix, Prompt: f.prompt,
		Shared: f.session.shared, Out: f.out, MaxOut: f.session.load.c.MaxOut, Untold: a.t.router.known[h.n].born != h.born}})
}

func (w *World) disconnect(c *conn) {
	if h := w.hosts[c.host]; h.alive && h.gen == c.gen {
		w.hostDoes(h, hostmodel.Disconnect{})
	}
}

// givenUp ends an attempt whose connection did not come up in time.
func (w *World) givenUp(a *attempt) {
	if a.fresh && !a.over && a.t.out == a {
		w.at(w.now, event{kind: hostMessageReaches, n: a.t.router.n, gen: a.t.gen, p: &hostMessage{a: a, result: balance.NoConnection, noConn: true}})
	}
}

// endIdleStreams has routers end the streams of a host that was cut off and is not heard of since.
// What the host made meanwhile nobody gets.
func (w *World) endIdleStreams(h *host, isolation int) {
	if !h.isolated || h.isolations != isolation {
		return
	}
	all := slices.Clone(h.undelivered) // the host may be done with these
	for _, id := range slices.Sorted(maps.Keys(h.atIt)) {
		all = append(all, h.atIt[id])
	}
	for _, a := range all {
		if r := a.t.router; a.begun > 0 && !a.over && a.t.out == a && r.alive && r.gen == a.t.gen {
			r.receiveHostMessage(&hostMessage{a: a, result: balance.TimedOut, made: a.made})
		}
	}
}

// cancel has a router give up an attempt: its connection closes, and the host hears of it.
func (w *World) cancel(a *attempt) {
	a.over = true
	if w.observed() {
		w.emit(history.Event{What: history.Closed, Who: routerName(a.t.router.n), Conn: a.name()})
	}
	w.at(w.now+w.way(a.t.router.zone, w.hosts[a.host].zone), event{kind: cancelReaches, p: a})
}

func (w *World) cancelled(a *attempt) {
	h := w.hosts[a.host]
	if !h.alive || h.isolated {
		return
	}
	if h.atIt[a.t.id] == a && a.hgen == h.gen {
		delete(h.atIt, a.t.id)
		w.hostDone(h, a)
		w.res.Wasted += uint64(a.made)
		w.hostDoes(h, hostmodel.Cancel{ID: a.t.id})
	}
	if a.conn != nil && a.conn.gen == h.gen {
		w.hostDoes(h, hostmodel.Disconnect{})
	}
}

// name tells an attempt from others, for the history.
func (a *attempt) name() string { return a.t.id + "/" + strconv.Itoa(a.n) }

// hostDone tells the history that a host has done with an attempt.
func (w *World) hostDone(h *host, a *attempt) {
	w.emit(history.Event{What: history.Done, ID: a.t.id, Who: h.id})
}

// probe is a router's question for a host's load.
type probe struct {
	router, rgen int
	host, n      int
	result       balance.Result
	load         *balance.Load
}

func (w *World) probeReaches(p *probe) {
	h := w.hosts[p.host]
	if !h.alive || h.isolated {
		p.result = balance.NoConnection
		w.at(w.now+w.s.Net.Connect, event{kind: probeResultReaches, n: p.router, gen: p.rgen, p: p})
		return
	}
	id := "probe" + strconv.Itoa(p.router) + "." + strconv.Itoa(p.rgen) + "." + strconv.Itoa(p.n)
	h.asks[id] = p
	w.hostDoes(h, hostmodel.Probe{ID: id})
}

// die ends a host's process.
func (w *World) die(h *host) {
	if !h.alive {
		return
	}
	w.trace("host dies", h.id, h.n)
	w.hostDoes(h, hostmodel.Die{})
	h.alive, h.due = false, -1
	h.gen++
	clear(h.asks)
	if !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.alive }) {
		w.emptied = w.now
	}
}

// startHost starts a host's process again, cold.
func (w *World) startHost(h *host, gen int) {
	if h.alive || h.removed || h.gen != gen {
		return
	}
	w.trace("host starts", h.id, h.n)
	h.alive, h.born, h.state = true, w.clock(), balance.Serving
	h.gen++
	w.hostDoes(h, hostmodel.Start{})
	w.changed(h)
}

func (w *World) member(h *host, state balance.State) balance.Member {
	return balance.Member{Replica: h.id, Zone: h.zone, Kind: h.kind, State: state, StartedAt: h.born}
}

// fullList is the list as discovery has it.
func (w *World) fullList() *listUpdate {
	x := &listUpdate{members: balance.Members{Version: w.list.version, Complete: true}}
	for _, h := range w.hosts {
		if !h.removed {
			x.members.Members = append(x.members.Members, w.member(h, h.state))
			x.hosts = append(x.hosts, h.n)
		}
	}
	return x
}

// changed tells all routers of a host that is not what it was.
func (w *World) changed(h *host) {
	w.list.version++
	if w.list.down > 0 {
		w.list.missed = true
		return
	}
	x := &listUpdate{members: balance.Members{Version: w.list.version, Members: []balance.Member{w.member(h, h.state)}}, hosts: []int{h.n}}
	for _, r := range w.routers {
		w.send(r, x)
	}
}

// sendFullList sends a router the whole list.
func (w *World) sendFullList(r *router) {
	if w.list.down == 0 {
		w.send(r, w.fullList())
	}
}

func (w *World) send(r *router, x *listUpdate) {
	if !r.alive {
		return
	}
	r.heard = max(w.now+w.s.List.Delay+time.Duration(w.net.Float64()*float64(w.s.List.Spread)), r.heard)
	w.at(r.heard, event{kind: listReaches, n: r.n, gen: r.gen, p: x})
}

// applyList takes a list, for the checkers and the module.
func (r *router) applyList(x *listUpdate) {
	w := r.w
	w.res.Lines += uint64(len(x.members.Members))
	for len(r.known) < len(w.hosts) {
		r.known = append(r.known, knowledge{})
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
			r.known[h] = knowledge{born: m.StartedAt}
			w.emit(history.Event{What: history.ListApplied, Who: routerName(r.n), From: m.Replica, Text: "Ready"})
		} else {
			r.recordDraining(h)
		}
	}
	r.take(x.members)
}

func (r *router) recordDraining(h int) {
	if !r.known[h].draining {
		r.known[h] = knowledge{draining: true, since: r.w.now}
		r.w.emit(history.Event{What: history.ListApplied, Who: routerName(r.n), From: r.w.hosts[h].id, Text: "Terminating"})
	}
}
