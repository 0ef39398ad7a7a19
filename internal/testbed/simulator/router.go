package simulator

import (
	"time"

	"reachspread/balance"
	"reachspread/internal/router/recovery"
	"reachspread/internal/testbed/history"
)

// router is a simulated router process: its decider, open attempts, list of hosts and connections.
type router struct {
	world         *World
	number        int
	zone          string
	decider       Decider
	gate          *recovery.Gate    // nil if Spec.Gate is not set
	baseline      recovery.Baseline // what the snapshot on its disk holds
	weight        float64           // its traffic as a fraction of the highest that a router may get
	alive         bool
	generation    int // identifies its process; each start increases it
	inbox         []balance.Event
	stepScheduled bool

	clientAttempts map[string]*clientAttempt
	openAttempts   []*clientAttempt

	byID         map[string]int  // numbers of the hosts that its list has named, by id
	known        []hostKnowledge // what it knows of each host, by number
	lastListAt   time.Duration   // arrival time of the last list update
	pools        []pool          // idle connections, by host
	probes       int
	activeFaults int // number of active faults that have killed it

	aliveChangedAt time.Duration  // when it last died or restarted, 0 for never
	view           []balance.Peer // its last view of the live routers
	viewVersion    uint64         // the version of view
}

// hostKnowledge is what a router knows of a host from its list.
type hostKnowledge struct {
	draining  bool
	since     time.Duration // when the router learned that the host is draining
	startedAt time.Duration // when the host last started
}

// startRouter starts a router's process. A restarted router begins with the last list that it had.
func (w *World) startRouter(n int) error {
	r := w.routers[n]
	c := w.spec.Balance
	c.Zone = r.zone
	if w.spec.Peers.On {
		c.Routers, c.Self = w.spec.Routers, r.number
	}
	d, err := w.spec.New(c, w.stream(forRouter, uint64(n)<<16|uint64(r.generation)).Uint64())
	if err != nil {
		return err
	}
	if mean, ok := r.baseline.Learned(); ok {
		if restorer, ok := d.(interface{ Restore(balance.Learned) }); ok {
			restorer.Restore(mean)
		}
	}
	if w.spec.Gate {
		r.gate = recovery.NewGate(c, r.baseline.Demand(), w.stream(forGate, uint64(n)<<16|uint64(r.generation)).Uint64())
	}
	again := r.generation > 0
	w.emit(history.Event{What: history.Start, Who: routerName(n)})
	w.emit(history.Event{What: history.Ready, Who: routerName(n)})
	r.generation++
	r.decider, r.alive, r.inbox, r.stepScheduled = d, true, nil, false
	r.clientAttempts, r.openAttempts, r.pools = map[string]*clientAttempt{}, nil, nil
	r.view, r.viewVersion = nil, 0
	if !again {
		r.byID = map[string]int{}
		r.applyList(w.fullList())
		return nil
	}
	r.aliveChangedAt = w.now
	disk := balance.Members{Version: w.list.version, Complete: true}
	for h, k := range r.known {
		if _, listed := r.byID[w.hosts[h].id]; listed && !k.draining {
			disk.Members = append(disk.Members, w.member(w.hosts[h], balance.Serving))
		}
	}
	r.enqueue(disk)
	w.sendFullList(r)
	w.front = append(w.front, n)
	return nil
}

// saveBaseline saves what a router has learned, as a real router does in its snapshot. It saves
// nothing until the recovery gate, if there is one, is warm.
func (r *router) saveBaseline() {
	d, ok := r.decider.(interface{ Learned() balance.Learned })
	if !ok || !r.world.spec.Learned || !r.alive || r.gate != nil && !r.gate.Warm(r.world.clock()) {
		return
	}
	var demand map[string]float64
	if r.gate != nil {
		demand = r.gate.Demand()
	}
	r.baseline.Update(r.world.now, d.Learned(), demand)
}

// enqueue queues an event for the decider and schedules a step at the next tick.
func (r *router) enqueue(e balance.Event) {
	r.inbox = append(r.inbox, e)
	if !r.stepScheduled {
		r.stepScheduled = true
		tick := r.world.spec.Tick
		r.world.schedule((r.world.now+tick-1)/tick*tick, event{kind: routerSteps, number: r.number, generation: r.generation})
	}
}

func (r *router) step() {
	w := r.world
	batch := r.inbox
	r.inbox, r.stepScheduled = nil, false
	w.result.Steps++
	var turned []balance.Action
	if r.gate != nil {
		batch, turned = r.gate.Step(w.clock(), batch)
	}
	actions := append(turned, r.decider.Step(w.clock(), batch)...)
	if d, ok := r.decider.(interface{ RestoreReplicas() }); ok && w.spec.Learned {
		d.RestoreReplicas()
	}
	for _, action := range actions {
		if w.violation != nil {
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
			w.schedule(w.now+a.Delay, event{kind: routerWakes, number: r.number, generation: r.generation, payload: a.Token})
		}
	}
}

// attempt is an attempt of a router at a host.
type attempt struct {
	client         *clientAttempt
	index          int
	host           int
	hostGeneration int // generation of the host process that received it
	conn           *connection
	connecting     bool // its connection is not established yet
	sentAt         time.Duration
	firstSent      bool
	tokens         int
	firstTokenAt   time.Duration // when its first token reached the router
	lastTokenAt    time.Duration // when the host made its last token
	deliveredAt    time.Duration // when its last message reaches the router
	ended          bool
}

func (r *router) send(a balance.Send) {
	w := r.world
	t := r.clientAttempts[a.ID]
	w.trace("send to "+a.Replica, a.ID, r.number)
	if !w.checkSend(r, t, a.ID, a.Replica) {
		return
	}
	h := r.byID[a.Replica]
	x := &attempt{client: t, index: t.attempts, host: h, sentAt: w.now}
	t.attempts++
	t.inFlight = x
	w.result.Attempts++
	delay := w.networkDelay(r.zone, w.hosts[h].zone)
	if r.zone != w.hosts[h].zone {
		w.result.Crossed++
	}
	if x.conn = r.takeIdle(h); x.conn == nil {
		x.conn, x.connecting = &connection{host: h, routerGeneration: r.generation}, true
		w.result.Handshakes++
		delay *= 3 // the handshake takes a round trip, then the request follows
		w.schedule(w.now+w.spec.Net.Connect, event{kind: connectTimeout, payload: x})
	}
	x.conn.uses++
	w.schedule(w.now+delay, event{kind: attemptReaches, payload: x})
}

// receiveHostMessage handles a host's message about an attempt at the router.
func (r *router) receiveHostMessage(message *hostMessage) {
	w := r.world
	a := message.attempt
	t := a.client
	if a.ended {
		return
	}
	if message.firstToken {
		if t.inFlight != a {
			return // the attempt was given up before
		}
		if !t.answered {
			w.trace("first token", t.id, r.number)
			w.emit(history.Event{What: history.First, ID: t.id})
			t.answered = true
			r.enqueue(balance.FirstToken{ID: t.id, Attempt: a.index})
		}
		a.firstTokenAt = w.now
		return
	}
	if t.inFlight != a {
		return
	}
	a.ended, t.inFlight = true, nil
	if w.observed() {
		w.emit(history.Event{What: history.Closed, Who: routerName(r.number), Conn: a.name()})
	}
	w.trace("outcome", t.id, int(message.result))
	o := balance.Outcome{ID: t.id, Attempt: a.index, Result: message.result, Final: message.result == balance.OK || t.answered, CachedTokens: float64(message.cachedTokens), Load: message.load}
	r.enqueue(o)
	if message.result == balance.OK && a.conn != nil {
		r.putIdle(a.conn)
	} else if message.result == balance.Full && a.conn != nil && !message.notConnected {
		r.putIdle(a.conn)
	}
	if !t.answered {
		return
	}
	r.closeClientAttempt(t)
	how := served
	if message.result != balance.OK {
		how = interrupted
	}
	w.emitAnswer(t, how)
	w.endRequest(t.request, how, a.firstTokenAt, w.now, message.tokens)
}

// closeClientAttempt removes an attempt that has its final answer from the open ones.
func (r *router) closeClientAttempt(t *clientAttempt) {
	t.answered = true
	delete(r.clientAttempts, t.id)
	last := r.openAttempts[len(r.openAttempts)-1]
	r.openAttempts[t.index], last.index = last, t.index
	r.openAttempts[len(r.openAttempts)-1] = nil
	r.openAttempts = r.openAttempts[:len(r.openAttempts)-1]
}

// crashRouter ends a router's process. Its connections are reset. Clients retry their requests,
// except those whose answer was already being streamed: they are interrupted.
func (w *World) crashRouter(n int) {
	r := w.routers[n]
	if !r.alive {
		return
	}
	w.trace("router dies", "", n)
	w.emit(history.Event{What: history.Exit, Who: routerName(n), Status: -1, Text: "killed"})
	r.alive, r.aliveChangedAt = false, w.now
	for h := range r.pools {
		for _, c := range r.pools[h].idle {
			w.disconnect(c)
		}
	}
	for _, t := range r.openAttempts {
		streaming := t.answered
		w.emit(history.Event{What: history.Answer, ID: t.id, How: history.Interrupted})
		t.answered = true
		if a := t.inFlight; a != nil {
			t.inFlight = nil
			w.cancelAttempt(a)
			if streaming {
				w.endRequest(t.request, interrupted, 0, 0, 0)
				continue
			}
		}
		w.retryOrGiveUp(t.request, 0, lostToRouter)
	}
	r.openAttempts, r.clientAttempts, r.pools = nil, nil, nil
}

// sendReports sends reports to other routers. Each copy has its own random delay and may be lost.
func (r *router) sendReports(a balance.SendReports) {
	w := r.world
	received := balance.ReportsReceived{From: r.number, Zone: a.Zone, Reports: a.Reports}
	for _, to := range a.To {
		if w.networkRand.Float64() >= w.spec.Peers.Lost {
			delay := w.spec.Peers.Least + time.Duration(w.networkRand.Float64()*float64(w.spec.Peers.Most-w.spec.Peers.Least))
			w.sendToPeer(r.number, to, event{at: w.now + delay, kind: peerReportReaches, number: to, payload: received})
		}
	}
}

// probe sends a probe to a host, to ask for its load report.
func (r *router) probe(to string) {
	h, listed := r.byID[to]
	if !listed {
		r.world.violated(ruleListed, to, r.number, "is probed")
		return
	}
	r.probes++
	r.world.result.Probes++
	p := &probe{router: r.number, routerGeneration: r.generation, host: h, number: r.probes}
	r.world.schedule(r.world.now+r.world.networkDelay(r.zone, r.world.hosts[h].zone), event{kind: probeReaches, payload: p})
}
