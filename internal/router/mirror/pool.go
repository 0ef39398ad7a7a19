package mirror

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/router/records"
	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/routing"
	"reachspread/internal/transport"
)

const (
	maxOffers     = 256                    // that wait for the pool's goroutine; more are counted as busy
	probeTimeout  = 100 * time.Millisecond // unused: copies' modules send no probes
	statusTimeout = time.Second            // for the pool's goroutine to answer a question
)

// pool is one candidate pool: a decider that one goroutine owns, and a core of its own to send
// with.
type pool struct {
	name           string
	role           string // of a pool with one copier
	mirror         *Mirror
	settings       settings.Pool // the Mirror's lock guards it
	start          time.Time
	log            routing.Logger
	router         *routing.Router
	servers        *transport.Servers
	stop           context.CancelFunc
	done           chan struct{} // closed when its goroutine has ended
	maxAnswerBytes atomic.Int64  // bytes to be kept of each
	busy           atomic.Uint64 // offers passed over
	singleCopier   atomic.Bool   // only the router that has the duty copies
	hasLease       atomic.Bool   // and this one does
	unconfirmed    atomic.Int64  // copies of one copier that may not have reached their host yet

	mu      sync.Mutex
	pending []message
	offers  int  // among pending
	ended   bool // the goroutine has ended: nothing is taken any more
	wake    chan struct{}

	// The goroutine's alone.
	decider       *shadow.Decider
	inForce       settings.Pool
	sink          *sink
	recordTexts   bool
	copies        map[uint64]*shadowCopy
	closing       bool
	underPressure bool // the decider is not calm
	times         *latencies
	hosts         map[string]protocol.ListedServer // of the settings, as told last
	version       int64
}

// message is something for the pool's goroutine.
type message struct {
	event       shadow.Event
	copied      *shadowCopy      // with an Offer
	grantReply  chan<- bool      // with a Seat
	statusReply chan<- Status    // in place of an event
	apply       *appliedSettings // in place of an event
}

type appliedSettings struct {
	pool        settings.Pool
	sink        *sink
	recordTexts bool
}

// shadowCopy is a copy on its way.
type shadowCopy struct {
	id      uint64
	session uint64
	live    *liveAnswer
	request transport.AcceptedRequest

	ctx        context.Context // from its start on; ends when it is given up
	cancel     context.CancelFunc
	historyGap bool
	answer     capture
}

// newPool starts a pool; what its settings say comes with apply.
func newPool(m *Mirror, set settings.Pool) (*pool, error) {
	p := &pool{name: set.Choice.Pool, role: set.Role(), mirror: m, settings: set, inForce: set, start: time.Now(), log: withPool(m.options.Log, set.Choice.Pool),
		wake: make(chan struct{}, 1), done: make(chan struct{}), copies: map[uint64]*shadowCopy{}, times: newTimes(),
		decider: shadow.New(set.Decider, m.options.Seed), hosts: map[string]protocol.ListedServer{}}
	b, err := balance.New(copyConfig(m.options.Balance, set.FirstEventTimeout), m.options.Seed)
	if err != nil {
		return nil, err
	}
	p.servers = transport.NewServers(transport.ServerLimits{ConnectTimeout: m.options.ConnectTimeout, Keepalive: m.options.KeepAlive,
		StreamIdleTimeout: set.StreamIdleTimeout, Connections: set.Sockets}, p.log)
	p.router = routing.New(b, cappedNetwork{p.servers, p}, p.log, probeTimeout)
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	go p.router.Run(ctx)
	if set.Discovery != "" {
		go transport.NewDiscovery(set.Discovery, transport.Pushed, transport.FullList, p.log, p.applyList).Run(ctx)
	}
	go p.run()
	return p, nil
}

// copyConfig is the live module's with the patience of copies: nobody waits for them, so a late
// answer is as good as any, and a slow candidate must be seen, not refused.
func copyConfig(c balance.Config, patience time.Duration) balance.Config {
	c.Classes = slices.Clone(c.Classes)
	for i := range c.Classes {
		class := &c.Classes[i]
		class.LatencyTarget, class.Deadline, class.LatencyTargetPer1000Tokens, class.LatencyTargetWorkFactor, class.TokenLatencyTarget = patience, patience, 0, 0, 0
	}
	c.MayProbe, c.MaxRetryAfter, c.Routers = false, 0, 0
	return c
}

// compatible tells whether other settings can be taken up without ending what is out.
func (p *pool) compatible(set settings.Pool) bool {
	return set.Discovery == p.settings.Discovery && set.Sockets == p.settings.Sockets && set.FirstEventTimeout == p.settings.FirstEventTimeout &&
		set.StreamIdleTimeout == p.settings.StreamIdleTimeout
}

// apply has the goroutine take up settings. Only Mirror.Apply calls it.
func (p *pool) apply(set settings.Pool, sink *sink, texts bool) {
	p.settings = set
	p.singleCopier.Store(set.SingleCopier)
	p.maxAnswerBytes.Store(int64(set.AnswerBytes))
	p.post(message{apply: &appliedSettings{set, sink, texts}})
}

func (p *pool) answerBytes() int { return int(p.maxAnswerBytes.Load()) }

// offer leaves a copy for the goroutine, unless too many wait already.
func (p *pool) offer(c *shadowCopy) bool {
	p.mu.Lock()
	if p.ended || p.offers >= maxOffers {
		p.mu.Unlock()
		p.busy.Add(1)
		return false
	}
	p.offers++
	p.pending = append(p.pending, message{copied: c, event: shadow.Offer{Copy: c.id, Session: c.session,
		Bytes: len(c.request.Message.Body())}})
	p.mu.Unlock()
	p.wakeUp()
	return true
}

// post leaves something for the goroutine.
func (p *pool) post(x message) {
	p.mu.Lock()
	over := p.ended
	if !over {
		p.pending = append(p.pending, x)
	}
	p.mu.Unlock()
	switch {
	case !over:
		p.wakeUp()
	case x.grantReply != nil:
		x.grantReply <- false
	}
}

func (p *pool) wakeUp() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// close ends all copies; the pool's goroutine ends when theirs have.
func (p *pool) close() { p.post(message{event: shadow.Close{}}) }

// hasEnded tells that the pool's goroutine has ended.
func (p *pool) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// run owns the decider until the pool is closed and nothing of it is left.
func (p *pool) run() {
	defer close(p.done)
	defer p.servers.Close()
	defer p.stop()
	for !p.closing || len(p.copies) > 0 {
		<-p.wake
		p.mu.Lock()
		batch := p.pending
		p.pending, p.offers = nil, 0
		p.mu.Unlock()
		p.step(batch)
	}
	// What comes now finds nobody: seats that were asked for are denied, questions go unanswered.
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	for _, x := range p.pending {
		if x.grantReply != nil {
			x.grantReply <- false
		}
	}
}

func (p *pool) step(batch []message) {
	var events []shadow.Event
	var grants []chan<- bool
	for _, x := range batch {
		switch {
		case x.apply != nil:
			p.inForce, p.sink, p.recordTexts = x.apply.pool, x.apply.sink, x.apply.recordTexts
			events = append(events, shadow.Reconfigure{Config: x.apply.pool.Decider})
			if p.applyHosts(x.apply.pool) {
				events = append(events, shadow.HostsChanged{Serving: p.router.ServingCount()})
			}
			continue
		case x.statusReply != nil:
			x.statusReply <- p.status(p.inForce)
			continue
		case x.copied != nil:
			p.copies[x.copied.id] = x.copied
		case x.grantReply != nil:
			grants = append(grants, x.grantReply)
		}
		if _, ok := x.event.(shadow.Close); ok {
			p.closing = true
		}
		events = append(events, x.event)
	}
	for _, action := range p.decider.Step(time.Since(p.start), events) {
		switch a := action.(type) {
		case shadow.Start:
			p.startCopy(p.copies[a.Copy], a.HistoryGap)
		case shadow.Drop:
			p.forget(a.Copy)
		case shadow.Cancel:
			p.copies[a.Copy].cancel()
		case shadow.AttemptGranted: // in the order of the Seats
			grants[0] <- a.OK
			grants = grants[1:]
		case shadow.Record:
			p.record(p.copies[a.Copy], a)
			p.forget(a.Copy)
		case shadow.PoolEjected:
			p.log.Warn("shadow pool down", "failures", a.Failures, "retry", a.Retry.Round(time.Millisecond))
		case shadow.PoolRecovered:
			p.log.Info("shadow pool back")
		}
	}
	if pressed := p.decider.Level() != shadow.LevelCalm; pressed != p.underPressure {
		p.underPressure = pressed
		p.servers.KeepIdle(!pressed) // their descriptors may be lent to known clients
	}
}

func (p *pool) forget(id uint64) {
	p.copies[id].live.copiesWaiting.Add(-1)
	delete(p.copies, id)
}

// startCopy sends a copy out. From here on it belongs to a goroutine of its own until its Ended.
func (p *pool) startCopy(c *shadowCopy, gap bool) {
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.historyGap = gap
	c.answer = capture{maxPrefix: p.answerBytes(), since: time.Now()}
	arrival := c.request.Arrival
	// An id of its own: a copy is never taken for an attempt of the real request, nor for another
	// copy of it.
	arrival.ID += "~" + p.name + "~" + strconv.FormatUint(c.id, 10)
	arrival.TimeLeft = p.inForce.FirstEventTimeout
	go func() {
		how := p.runCopy(c, arrival)
		c.cancel()
		p.post(message{event: shadow.CopyEnded{Copy: c.id, Cause: how}})
	}()
}

// runCopy takes a copy through the pool's core, as a front does with a request, and reads its answer
// to the end.
func (p *pool) runCopy(c *shadowCopy, arrival balance.Arrival) (how shadow.Cause) {
	request, err := p.router.Accept(arrival, time.Now(), copyMessage{c.request.Message.WithID(arrival.ID), c})
	if err != nil {
		c.answer.finish(string(shadow.Failed))
		return shadow.Failed
	}
	defer p.router.Done(request)
	defer context.AfterFunc(c.ctx, func() { p.router.Abandon(request) })()
	answer, ok := request.Wait()
	if !ok {
		c.answer.finish("left")
		return shadow.StreamFailed
	}
	if answer.Verdict != routing.Served {
		how = verdictCause(answer.Verdict)
		c.answer.finish(string(how))
		return how
	}
	defer answer.Stream.Close()
	c.answer.source = answer.Stream.Source()
	for buf := make([]byte, 4096); ; {
		n, err := answer.Stream.Read(buf)
		if n > 0 {
			c.answer.feed(buf[:n])
		}
		switch {
		case err == io.EOF:
			c.answer.finish(outcomeComplete)
			return ""
		case err != nil:
			c.answer.finish(string(shadow.StreamFailed))
			return shadow.StreamFailed
		}
	}
}

// record compares a copy's answer with the live one and hands the record on.
func (p *pool) record(c *shadowCopy, a shadow.Record) {
	taken, texts := c.request, p.recordTexts
	answer := c.answer.answer(p.mirror.digestKey[:])
	r := &records.Record{Version: records.Version, At: taken.ArrivedAt.UTC(), Pool: p.name, Class: taken.Arrival.Class,
		Tenant: taken.Tenant, ID: taken.Arrival.ID, Session: fmt.Sprintf("%016x", c.session), Gap: c.historyGap, Cause: string(a.Cause),
		BodySize: len(taken.Message.Body()), Copy: side(answer, c.answer.outcome, texts)}
	if texts {
		r.Body = string(taken.Message.Body())
	}
	if !a.LiveEnded { // still on its way, and another's to write
		r.Live = records.Side{Outcome: "open"}
	} else {
		answered := c.live.answer.answer(p.mirror.digestKey[:])
		r.Live = side(answered, c.live.answer.outcome, texts)
		if a.Cause == "" {
			cmp := shadow.Compare(answered, answer)
			r.Compared = &records.Compared{Text: string(cmp.Text), Similarity: cmp.Similarity, Partial: cmp.Partial,
				Finish: cmp.SameFinish, Tokens: cmp.TokenDelta, Kept: cmp.CachedTokenDelta}
			p.times.add(taken.Arrival.Class, answered, answer)
		}
	}
	p.sink.put(r)
}

// applyList takes a list of discovery.
func (p *pool) applyList(l *protocol.List) {
	p.router.ApplyUpdate(l.Members(), l.Addrs())
	p.post(message{event: shadow.HostsChanged{Serving: p.router.ServingCount()}})
}

// applyHosts tells the core the hosts of the settings. One that they name for the first time is
// taken for cold: its start is not known, and too slow a beginning costs copies alone.
func (p *pool) applyHosts(set settings.Pool) bool {
	if set.Discovery != "" {
		return false
	}
	p.version++
	l := protocol.List{Version: p.version, Full: true}
	hosts := map[string]protocol.ListedServer{}
	for _, h := range set.Hosts {
		e := protocol.ListedServer{ID: h.ID, Addr: h.Addr, Zone: h.Zone, Kind: h.Kind, State: "Ready",
			StartedMs: float64(time.Now().UnixMilli())}
		if old, ok := p.hosts[h.ID]; ok && old.Addr == h.Addr {
			e.StartedMs = old.StartedMs
		}
		hosts[h.ID] = e
		l.Servers = append(l.Servers, e)
	}
	p.hosts = hosts
	p.router.ApplyUpdate(l.Members(), l.Addrs())
	return true
}

// copyMessage is what the pool's core sends.
type copyMessage struct {
	*transport.Message
	copied *shadowCopy
}

// cappedNetwork is the pool's network: each attempt needs a seat at its host, which the decider grants.
type cappedNetwork struct {
	*transport.Servers
	pool *pool
}

// Schedule implements routing.Network.
func (s cappedNetwork) Send(ctx context.Context, deadline time.Time, to routing.Server, m routing.Message, written func()) routing.AttemptResult {
	cm := m.(copyMessage)
	granted := make(chan bool, 1)
	s.pool.post(message{grantReply: granted, event: shadow.AttemptRequest{Copy: cm.copied.id, Host: to.ID}})
	if !<-granted {
		return routing.AttemptResult{Result: balance.Full}
	}
	heard := func() { s.pool.post(message{event: shadow.AttemptReached{Copy: cm.copied.id}}) }
	left := func() { s.pool.post(message{event: shadow.AttemptEnded{Host: to.ID}}) }
	if !s.pool.router.IsServing(to.ID) { // asking took a moment, in which it may have begun to drain
		heard()
		left()
		return routing.AttemptResult{Result: balance.NotSent}
	}
	msg := cm.Message
	if s.pool.singleCopier.Load() {
		duty := s.pool.role
		s.pool.unconfirmed.Add(1)
		defer s.pool.unconfirmed.Add(-1)
		token, _, ok := s.pool.mirror.options.Leases.Check(duty)
		if !ok || !s.pool.hasLease.Load() { // it was somebody's turn while the copy waited
			heard()
			left()
			return routing.AttemptResult{Result: balance.NotSent}
		}
		msg = msg.WithFencingToken(duty, token, func(highest uint64) { s.pool.mirror.options.Leases.TokenRejected(duty, highest) })
	}
	head := s.Servers.Send(ctx, deadline, to, msg, written)
	heard()
	if head.Body == nil {
		left()
	} else {
		head.Body = &cappedBody{head.Body, left}
	}
	return head
}

// cappedBody gives the seat back with its end.
type cappedBody struct {
	routing.Body
	release func()
}

// End implements routing.Body.
func (b *cappedBody) End() (float64, *balance.Load) {
	defer b.release()
	return b.Body.End()
}

// status asks the goroutine for the pool's state.
func (p *pool) requestStatus() (Status, error) {
	answer := make(chan Status, 1)
	p.post(message{statusReply: answer})
	select {
	case s := <-answer:
		return s, nil
	case <-time.After(statusTimeout):
		return Status{}, errors.New("the pool " + p.name + " does not answer")
	}
}
