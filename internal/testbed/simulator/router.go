package simulator

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/router/recovery"
	"reachspread/internal/testbed/history"
)

// router is one instance: a decision module, its open tries, its list and its connections.
type router struct {
	w      *World
	n      int
	zone   string
	d      Decider
	gate   *recovery.Gate    // nil for none
	usual  recovery.Baseline // as on its disk
	weight float64           // of what the router that gets most gets
	alive  bool
	gen    int // of its process
	inbox  []balance.Event
	due    bool

	clientAttempts map[string]*clientAttempt
	open           []*clientAttempt

	byID   map[string]int // hosts that its list has named
	known  []knowledge    // of hosts, by number
	heard  time.Duration  // when the last update comes
	pools  []pool         // by host
	probes int
	down   int // faults that have killed it

	changed time.Duration  // when it last died or came back, 0 for never
	sees    []balance.Peer // its last view
	viewed  uint64         // and that one's number
}

// knowledge is what a router was told of a host.
type knowledge struct {
	draining bool
	since    time.Duration // that it has been leaving
	born     time.Duration // its last start
}

// pool is a router's idle connections to one host, the last used at the end.
type pool struct{ idle []*conn }

type conn struct {
	host  int
	gen   int // of the host's process
	used  int // how often
	owner int // the router's process
}

// startRouter starts a router's process. One that comes back has the last list that it was told.
func (w *World) startRouter(n int) error {
	r := w.routers[n]
	c := w.s.Balance
	c.Zone = r.zone
	if w.s.Peers.On {
		c.Routers, c.Self = w.s.Routers, r.n
	}
	d, err := w.s.New(c, w.stream(forRouter, uint64(n)<<16|uint64(r.gen)).Uint64())
	if err != nil {
		return err
	}
	if mean, ok := r.usual.Learned(); ok {
		if restorer, ok := d.(interface{ Restore(balance.Learned) }); ok {
			restorer.Restore(mean)
		}
	}
	if w.s.Gate {
		r.gate = recovery.NewGate(c, r.usual.Demand(), w.stream(forGate, uint64(n)<<16|uint64(r.gen)).Uint64())
	}
	again := r.gen > 0
	w.emit(history.Event{What: history.Start, Who: routerName(n)})
	w.emit(history.Event{What: history.Ready, Who: routerName(n)})
	r.gen++
	r.d, r.alive, r.inbox, r.due = d, true, nil, false
	r.clientAttempts, r.open, r.pools = map[string]*clientAttempt{}, nil, nil
	r.sees, r.viewed = nil, 0
	if !again {
		r.byID = map[string]int{}
		r.applyList(w.fullList())
		return nil
	}
	r.changed = w.now
	disk := balance.Members{Version: w.list.version, Complete: true}
	for h, k := range r.known {
		if _, listed := r.byID[w.hosts[h].id]; listed && !k.draining {
			disk.Members = append(disk.Members, w.member(w.hosts[h], balance.Serving))
		}
	}
	r.take(disk)
	w.sendFullList(r)
	w.front = append(w.front, n)
	return nil
}

// keeps has a router keep what it has learned, as in a snapshot.
func (r *router) keeps() {
	d, ok := r.d.(interface{ Learned() balance.Learned })
	if !ok || !r.w.s.Learned || !r.alive || r.gate != nil && !r.gate.Warm(r.w.clock()) {
		return
	}
	var demand map[string]float64
	if r.gate != nil {
		demand = r.gate.Demand()
	}
	r.usual.Update(r.w.now, d.Learned(), demand)
}

// take gives the module an event; it sees it with the next tick.
func (r *router) take(e balance.Event) {
	r.inbox = append(r.inbox, e)
	if !r.due {
		r.due = true
		tick := r.w.s.Tick
		r.w.at((r.w.now+tick-1)/tick*tick, event{kind: routerSteps, n: r.n, gen: r.gen})
	}
}

func (r *router) step() {
	w := r.w
	batch := r.inbox
	r.inbox, r.due = nil, false
	w.res.Steps++
	var turned []balance.Action
	if r.gate != nil {
		batch, turned = r.gate.Step(w.clock(), batch)
	}
	actions := append(turned, r.d.Step(w.clock(), batch)...)
	if d, ok := r.d.(interface{ RestoreReplicas() }); ok && w.s.Learned {
		d.RestoreReplicas()
	}
	for _, action := range actions {
		if w.broken != nil {
			return
		}
		switch a := action.(type) {
		case balance.Send:
			r.send(a)
		case balance.Reject:
			w.answer(r, a.ID, a.RetryAfter, refused)
		case balance.Fail:
			w.answer(r, a.ID, 0, failed)
		case balance.SendReports:
			r.sendReports(a)
		case balance.Probe:
			r.probe(a.Replica)
		case balance.SetTimer:
			w.at(w.now+a.Delay, event{kind: routerWakes, n: r.n, gen: r.gen, p: a.Token})
		}
	}
}

// attempt is one scheduling of an attempt.
type attempt struct {
	t           *clientAttempt
	n           int
	host        int
	hgen        int // of the host's process that has it
	conn        *conn
	fresh       bool // its connection is not up yet
	at          time.Duration
	first       bool
	made        int
	begun       time.Duration // its first token, at the host
	last        time.Duration
	deliveredAt time.Duration // when the last word of it reaches the router
	over        bool
}

func (r *router) send(a balance.Send) {
	w := r.w
	t := r.clientAttempts[a.ID]
	w.trace("send to "+a.Replica, a.ID, r.n)
	if !w.checkSend(r, t, a.ID, a.Replica) {
		return
	}
	h := r.byID[a.Replica]
	x := &attempt{t: t, n: t.attempts, host: h, at: w.now}
	t.attempts++
	t.out = x
	w.res.Attempts++
	way := w.way(r.zone, w.hosts[h].zone)
	if r.zone != w.hosts[h].zone {
		w.res.Crossed++
	}
	if x.conn = r.idle(h); x.conn == nil {
		x.conn, x.fresh = &conn{host: h, owner: r.gen}, true
		w.res.Handshakes++
		way *= 3 // there, back and there again
		w.at(w.now+w.s.Net.Connect, event{kind: connGivenUp, p: x})
	}
	x.conn.used++
	w.at(w.now+way, event{kind: attemptReaches, p: x})
}

// idle takes the connection to a host that was used last, if there is one.
func (r *router) idle(h int) *conn {
	if h >= len(r.pools) {
		return nil
	}
	p := &r.pools[h]
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if x := r.w.hosts[h]; c.gen == x.gen || x.isolated {
			return c
		} // its host's process has ended, and with it the connection
	}
	return nil
}

// keep puts a connection back.
func (r *router) keep(c *conn) {
	for len(r.pools) <= c.host {
		r.pools = append(r.pools, pool{})
	}
	r.pools[c.host].idle = append(r.pools[c.host].idle, c)
	r.w.at(r.w.now+r.w.s.Net.Idle, event{kind: connClosed, n: r.n, gen: c.used, p: c})
}

// idleOver closes a connection that was not used since it was put back.
func (r *router) idleOver(c *conn, used int) {
	if c.used != used || c.owner != r.gen || c.host >= len(r.pools) {
		return
	}
	p := &r.pools[c.host]
	for i, x := range p.idle {
		if x == c {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			r.w.disconnect(c)
			return
		}
	}
}

// receiveHostMessage takes a host's word on an attempt.
func (r *router) receiveHostMessage(message *hostMessage) {
	w := r.w
	a := message.a
	t := a.t
	if a.over {
		return
	}
	if message.first {
		if t.out != a {
			return // given up before
		}
		if !t.answered {
			w.trace("first token", t.id, r.n)
			w.emit(history.Event{What: history.First, ID: t.id})
			t.answered = true
			r.take(balance.FirstToken{ID: t.id, Attempt: a.n})
		}
		a.begun = w.now
		return
	}
	if t.out != a {
		return
	}
	a.over, t.out = true, nil
	if w.observed() {
		w.emit(history.Event{What: history.Closed, Who: routerName(r.n), Conn: a.name()})
	}
	w.trace("outcome", t.id, int(message.result))
	o := balance.Outcome{ID: t.id, Attempt: a.n, Result: message.result, Final: message.result == balance.OK || t.answered, CachedTokens: float64(message.cachedTokens), Load: message.load}
	r.take(o)
	if message.result == balance.OK && a.conn != nil {
		r.keep(a.conn)
	} else if message.result == balance.Full && a.conn != nil && !message.noConn {
		r.keep(a.conn)
	}
	if !t.answered {
		return
	}
	r.closeClientAttempt(t)
	how := served
	if message.result != balance.OK {
		how = brokenOff
	}
	w.answered(t, how)
	w.over(t.f, how, a.begun, w.now, message.made)
}

// closeClientAttempt forgets an attempt that has its final answer.
func (r *router) closeClientAttempt(t *clientAttempt) {
	t.answered = true
	delete(r.clientAttempts, t.id)
	last := r.open[len(r.open)-1]
	r.open[t.index], last.index = last, t.index
	r.open[len(r.open)-1] = nil
	r.open = r.open[:len(r.open)-1]
}

// crash ends a router's process: its connections are reset, and its clients come back.
func (w *World) crash(n int) {
	r := w.routers[n]
	if !r.alive {
		return
	}
	w.trace("router dies", "", n)
	w.emit(history.Event{What: history.Exit, Who: routerName(n), Status: -1, Text: "killed"})
	r.alive, r.changed = false, w.now
	for h := range r.pools {
		for _, c := range r.pools[h].idle {
			w.disconnect(c)
		}
	}
	for _, t := range r.open {
		streaming := t.answered
		w.emit(history.Event{What: history.Answer, ID: t.id, How: history.Interrupted})
		t.answered = true
		if a := t.out; a != nil {
			t.out = nil
			w.cancel(a)
			if streaming {
				w.over(t.f, brokenOff, 0, 0, 0)
				continue
			}
		}
		w.again(t.f, 0, routerDied)
	}
	r.open, r.clientAttempts, r.pools = nil, nil, nil
}

// sendReports sends reports to other routers, each copy on its own: late, or not at all.
func (r *router) sendReports(a balance.SendReports) {
	w := r.w
	heard := balance.ReportsReceived{From: r.n, Zone: a.Zone, Reports: a.Reports}
	for _, to := range a.To {
		if w.net.Float64() >= w.s.Peers.Lost {
			late := w.s.Peers.Least + time.Duration(w.net.Float64()*float64(w.s.Peers.Most-w.s.Peers.Least))
			w.carry(r.n, to, event{at: w.now + late, kind: routerHears, n: to, p: heard})
		}
	}
}

// probe asks a host for its load.
func (r *router) probe(to string) {
	h, listed := r.byID[to]
	if !listed {
		r.w.violated(ruleListed, to, r.n, "is probed")
		return
	}
	r.probes++
	r.w.res.Probes++
	p := &probe{router: r.n, rgen: r.gen, host: h, n: r.probes}
	r.w.at(r.w.now+r.w.way(r.zone, r.w.hosts[h].zone), event{kind: probeReaches, p: p})
}
