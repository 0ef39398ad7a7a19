package transport

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

// Message is a client's request as it came. It implements routing.Message.
type Message struct {
	method, uri, contentType, id, body []byte

	class  string
	client *clientConn // whose answer may move to another process; nil where it may not

	duty    string // under which it is sent, with the token; empty for none
	refused func(highest uint64)

	forward *Forward // how it is passed on; nil in the completions dialect, where a few headers are all there is
}

// Under returns a copy that carries the token of a duty. Refused is told where a server has seen a higher one.
func (m *Message) Under(duty string, token uint64, refused func(highest uint64)) *Message {
	c := *m
	c.duty, c.refused = duty+" "+strconv.FormatUint(token, 10), refused
	return &c
}

// WithID returns a copy that shares all bytes with m but goes by another id.
func (m *Message) WithID(id string) *Message {
	c := *m
	c.id, c.client = []byte(id), nil
	return &c
}

// Body returns the body as it came, to be read only.
func (m *Message) Body() []byte { return m.body }

// Servers sends to servers. It implements routing.Network.
type Servers struct {
	pool    *pool
	dialect protocol.Dialect
	log     routing.Logger

	silent time.Duration

	mu      sync.Mutex
	unclear map[string]bool // servers whose last load report could not be read

	follows bool // streams may move to another process
	moving  atomic.Bool
	live    map[*conn]bool // whose streams may; mu guards it
}

// ServerLimits bounds the connections to servers.
type ServerLimits struct {
	Connect     time.Duration // for a connection to come up
	Keepalive   time.Duration // after which a server closes an idle one
	Silent      time.Duration // for a stream, before it is taken for dead
	Connections int
	Dialect     protocol.Dialect // nil for Completions
}

// NewServers returns a Servers without connections.
func NewServers(l ServerLimits, log routing.Logger) *Servers {
	if l.Dialect == nil {
		l.Dialect = protocol.Completions{}
	}
	return &Servers{log: log, dialect: l.Dialect, unclear: map[string]bool{}, live: map[*conn]bool{}, silent: l.Silent,
		pool: &pool{connectFor: l.Connect, idleFor: idlePart(l.Keepalive), limit: l.Connections, idle: map[routing.Server][]*conn{}}}
}

// Load returns the share of the connections that are in use.
func (s *Servers) Load() float64 { return s.pool.load() }

// Open returns the connections that are open, idle ones among them.
func (s *Servers) Open() int { return s.pool.count(0) }

// Close closes the idle connections. Those in use close with their users.
func (s *Servers) Close() { s.pool.keepIdle(false) }

// Retime sets the time for a connection to come up, and that after which a server closes an idle one.
func (s *Servers) Retime(connect, keepalive time.Duration) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.connectFor, s.pool.idleFor = connect, idlePart(keepalive)
}

// idlePart is how long a connection is kept that a server closes after a time.
func idlePart(keepalive time.Duration) time.Duration { return keepalive * 3 / 4 }

// Limit bounds the connections from now on.
func (s *Servers) Limit(connections int) { s.pool.bound(connections) }

// KeepIdle says whether connections may stay open without a use; if not, the idle ones give their descriptors back at
// once.
func (s *Servers) KeepIdle(may bool) { s.pool.keepIdle(may) }

// Forget closes the idle connections to a server.
func (s *Servers) CloseIdle(id string) {
	s.judgeLoad(id, nil)
	s.pool.forget(id)
}

// Schedule implements routing.Network. Nothing is ever sent a second time here: that is the module's decision.
func (s *Servers) Send(ctx context.Context, deadline time.Time, to routing.Server, m routing.Message, written func()) routing.AttemptResult {
	msg := m.(*Message)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	msg.head(&req.Header, s.dialect, to)
	req.SetBodyRaw(msg.body)

	headCtx, cancel := context.WithDeadline(ctx, msg.headBy(deadline))
	defer cancel()
	x, result := s.exchange(headCtx, to, outgoing{request: req, deadline: deadline, client: msg.client, written: written,
		id: string(msg.id), fixedHost: msg.forward != nil})
	if x == nil {
		return routing.AttemptResult{Result: result, ClientGone: result == balance.NotSent && msg.client.hasLeft()}
	}
	judged := s.dialect.Judge(x.resp.StatusCode(), x.header)
	switch {
	case judged.Result == balance.OK && msg.forward != nil:
		return s.forwarded(ctx, headCtx, x, msg)
	case judged.Result == balance.OK:
		return s.streamed(ctx, headCtx, x, msg)
	}
	return s.turnedDown(x, msg, judged)
}

// head writes the head of a request to a server, but for the time left.
func (m *Message) head(to *fasthttp.RequestHeader, d protocol.Dialect, server routing.Server) {
	to.SetMethodBytes(m.method)
	to.SetRequestURIBytes(m.uri)
	to.SetNoDefaultContentType(true)
	if m.forward != nil {
		m.forward.head(to)
	}
	if len(m.contentType) > 0 {
		to.SetContentTypeBytes(m.contentType)
	}
	to.SetBytesV(d.RequestID(), m.id)
	if f, ok := d.Expects(server.ID); ok {
		to.Set(f.Name, f.Value)
	}
	if m.duty != "" {
		to.Set(protocol.HeaderDuty, m.duty)
	}
}

// headBy is when an answer must have begun.
func (m *Message) headBy(deadline time.Time) time.Time {
	if m.forward == nil || m.forward.FirstIn == 0 {
		return deadline
	}
	if first := time.Now().Add(m.forward.FirstIn); first.Before(deadline) {
		return first
	}
	return deadline
}

// streamed returns the body of a stream of completions, once its first event is there.
func (s *Servers) streamed(ctx, headCtx context.Context, x *exchange, msg *Message) routing.AttemptResult {
	b := &body{exchange: x, ctx: headCtx, text: x.resp.BodyStream(), message: msg}
	b.follow()
	err := b.open()
	if err == nil && x.commit(ctx) {
		b.ctx = ctx
		b.mayMove()
		return routing.AttemptResult{Result: balance.OK, Body: b}
	}
	result := x.failed(headCtx, balance.TimedOut)
	load := s.readLoad(x)
	x.close()
	return routing.AttemptResult{Result: result, Load: load}
}

// turnedDown reads an answer that gives the client nothing of its own accord. Where it is the server's final word it is kept, for
// the client in the end.
func (s *Servers) turnedDown(x *exchange, msg *Message, judged protocol.Judgement) routing.AttemptResult {
	head := routing.AttemptResult{Result: judged.Result, RequestInvalid: judged.Unfit}
	if msg.forward.turnedAway(x.resp.StatusCode()) {
		head.Result = balance.NotSent // it is as well as before for others
	}
	if msg.duty != "" && x.resp.StatusCode() == fasthttp.StatusConflict {
		if highest, err := strconv.ParseUint(x.header(protocol.HeaderDuty), 10, 64); err == nil {
			msg.refused(highest)
		}
	}
	text, err := x.rest()
	x.whole = err == nil
	if judged.Final && msg.forward != nil && err == nil {
		final := msg.forward.answer(x.resp)
		final.Body = bytes.Clone(text)
		head.ServerAnswer = final
	}
	head.Load = s.readLoad(x)
	x.close()
	return head
}

// Probe implements routing.Network.
func (s *Servers) Probe(ctx context.Context, to routing.Server) (balance.Result, *balance.Load) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(s.dialect.ProbePath())
	x, result := s.exchange(ctx, to, outgoing{request: req, written: func() {}})
	if x == nil {
		return result, nil
	}
	defer x.close()
	text, err := x.rest()
	if err != nil {
		return x.failed(ctx, balance.TimedOut), nil
	}
	x.whole = true
	load := func() *balance.Load {
		l, err := s.dialect.ProbeLoad(text)
		if l != nil || err != nil {
			s.judgeLoad(to.ID, err)
		}
		return l
	}
	switch x.resp.StatusCode() {
	case fasthttp.StatusOK:
		return balance.OK, load()
	case fasthttp.StatusServiceUnavailable:
		return balance.Full, load()
	}
	return balance.Error, nil
}

// readLoad reads the load report in an answer's head. One that can not be read is logged once until a good one comes.
func (s *Servers) readLoad(x *exchange) *balance.Load {
	load, err := s.dialect.Load(x.header)
	if load != nil || err != nil {
		s.judgeLoad(x.conn.to.ID, err)
	}
	return load
}

func (s *Servers) judgeLoad(id string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.unclear, id)
		return
	}
	if !s.unclear[id] {
		s.log.Warn("load report unreadable", "server", id, "cause", err)
	}
	s.unclear[id] = true
}
