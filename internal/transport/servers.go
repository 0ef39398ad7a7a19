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

// Message is a client's request as received. It implements routing.Message.
type Message struct {
	method, uri, contentType, id, body []byte

	class  string
	client *clientConn // the client, if its answer may move to another process; otherwise nil

	fencingToken  string // a role and its fencing token, sent with the request; empty for none
	tokenRejected func(highest uint64)

	forward *Forward // how to forward the message; nil in the completions dialect, which sends only a few headers
}

// WithFencingToken returns a copy of m that carries the fencing token of a role. The function
// rejected is called if a server has seen a higher token.
func (m *Message) WithFencingToken(role string, token uint64, rejected func(highest uint64)) *Message {
	c := *m
	c.fencingToken = role + " " + strconv.FormatUint(token, 10)
	c.tokenRejected = rejected
	return &c
}

// WithID returns a copy that shares all bytes with m but has another ID.
func (m *Message) WithID(id string) *Message {
	c := *m
	c.id, c.client = []byte(id), nil
	return &c
}

// Body returns the body as received. The caller must not change it.
func (m *Message) Body() []byte { return m.body }

// Servers sends requests to servers. It implements routing.Network.
type Servers struct {
	pool    *pool
	dialect protocol.Dialect
	log     routing.Logger
	panics  *PanicLog

	malformed *malformedAnswers

	streamIdleTimeout time.Duration

	mu              sync.Mutex
	unreadableLoads map[string]bool // servers whose last load report could not be read; guarded by mu

	tracksStreams bool // streams may move to another process
	moving        atomic.Bool
	movable       map[*conn]bool // connections whose streams may move; guarded by mu
}

// ServerLimits bounds the connections to servers.
type ServerLimits struct {
	ConnectTimeout    time.Duration // timeout of a connection attempt
	Keepalive         time.Duration // after which a server closes an idle connection
	StreamIdleTimeout time.Duration // after which a silent stream counts as broken
	Connections       int
	Dialect           protocol.Dialect // nil for protocol.Completions
	Panics            *PanicLog        // of goroutines that serve one attempt; nil to let a panic end the process
}

// NewServers returns a Servers without connections.
func NewServers(l ServerLimits, log routing.Logger) *Servers {
	if l.Dialect == nil {
		l.Dialect = protocol.Completions{}
	}
	return &Servers{log: log, panics: l.Panics, dialect: l.Dialect, malformed: newMalformedAnswers(log), unreadableLoads: map[string]bool{}, movable: map[*conn]bool{}, streamIdleTimeout: l.StreamIdleTimeout,
		pool: &pool{connectTimeout: l.ConnectTimeout, idleTimeout: safeIdleTime(l.Keepalive), limit: l.Connections, idle: map[routing.Server][]*conn{}}}
}

// Load returns the fraction of the allowed connections that are in use.
func (s *Servers) Load() float64 { return s.pool.load() }

// Open returns the number of open connections, including idle ones.
func (s *Servers) Open() int { return s.pool.count(0) }

// MalformedAnswers returns the number of answers that were malformed by RFC 9110 or RFC 9112. Each
// was a failed attempt or health check, or ended a stream.
func (s *Servers) MalformedAnswers() uint64 { return s.malformed.count.Load() }

// Close closes the idle connections. The connections in use close when their users are done.
func (s *Servers) Close() { s.pool.keepIdle(false) }

// SetTimeouts sets the timeout of a connection attempt, and the time after which a server closes an
// idle connection.
func (s *Servers) SetTimeouts(connect, keepalive time.Duration) {
	s.pool.mu.Lock()
	defer s.pool.mu.Unlock()
	s.pool.connectTimeout, s.pool.idleTimeout = connect, safeIdleTime(keepalive)
}

// safeIdleTime returns how long to keep an idle connection that the server closes after keepalive.
func safeIdleTime(keepalive time.Duration) time.Duration { return keepalive * 3 / 4 }

// SetLimit sets the maximum number of connections.
func (s *Servers) SetLimit(connections int) { s.pool.setLimit(connections) }

// KeepIdle says whether idle connections may stay open. If not, their descriptors are freed at
// once.
func (s *Servers) KeepIdle(may bool) { s.pool.keepIdle(may) }

// CloseIdle implements routing.Network.
func (s *Servers) CloseIdle(id string) {
	s.recordLoadReport(id, nil)
	s.malformed.forget(id)
	s.pool.closeIdle(id)
}

// Send implements routing.Network. It never sends a request twice: package balance decides about
// retries.
func (s *Servers) Send(ctx context.Context, deadline time.Time, to routing.Server, m routing.Message, hooks routing.SendHooks) (result routing.AttemptResult) {
	var x *exchange
	defer s.panics.contain("exchanging a request with a server", func() {
		result = routing.AttemptResult{Result: balance.Error}
		if x != nil {
			x.close()
		}
	})
	msg := m.(*Message)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	msg.head(&req.Header, s.dialect, to)
	req.SetBodyRaw(msg.body)

	headCtx, cancel := context.WithDeadline(ctx, msg.headDeadline(deadline))
	defer cancel()
	var failure balance.Result
	x, failure = s.exchange(headCtx, to, outgoing{request: req, deadline: deadline, client: msg.client, hooks: hooks,
		id: string(msg.id), fixedHost: msg.forward != nil})
	if x == nil {
		return routing.AttemptResult{Result: failure, ClientLeft: failure == balance.NotSent && msg.client.clientLeft()}
	}
	judged := s.dialect.Judge(x.resp.StatusCode(), x.header)
	switch {
	case judged.Result == balance.OK && msg.forward != nil:
		return s.forwardAnswer(ctx, headCtx, x, msg)
	case judged.Result == balance.OK:
		return s.streamAnswer(ctx, headCtx, x, msg)
	}
	return s.unserved(x, msg, judged)
}

// head writes the head of a request to a server, except for the header with the time left.
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
	if m.fencingToken != "" {
		to.Set(protocol.HeaderFencingToken, m.fencingToken)
	}
}

// headDeadline returns the time by which the answer must have begun.
func (m *Message) headDeadline(deadline time.Time) time.Time {
	if m.forward == nil || m.forward.FirstEventTimeout == 0 {
		return deadline
	}
	if first := time.Now().Add(m.forward.FirstEventTimeout); first.Before(deadline) {
		return first
	}
	return deadline
}

// streamAnswer returns the body of a stream of completions once its first event has arrived.
func (s *Servers) streamAnswer(ctx, headCtx context.Context, x *exchange, msg *Message) routing.AttemptResult {
	b := &body{exchange: x, ctx: headCtx, text: x.content, message: msg}
	b.beginTracking()
	err := b.open()
	if err == nil && x.commit(ctx) {
		b.ctx = ctx
		b.allowMove()
		return routing.AttemptResult{Result: balance.OK, Body: b}
	}
	result := x.failed(headCtx, balance.TimedOut)
	load := s.readLoad(x)
	x.close()
	return routing.AttemptResult{Result: result, Load: load}
}

// unserved reads an answer that does not serve the request. If the dialect says that the answer is
// forwardable, unserved keeps it, so that the client can get it in the end.
func (s *Servers) unserved(x *exchange, msg *Message, judged protocol.AttemptJudgement) routing.AttemptResult {
	head := routing.AttemptResult{Result: judged.Result, RequestInvalid: judged.RequestInvalid}
	if msg.forward.rejectedForVersion(x.resp.StatusCode()) {
		head.Result = balance.NotSent // the server still works for other requests
	}
	if msg.fencingToken != "" && x.resp.StatusCode() == fasthttp.StatusConflict {
		if highest, err := strconv.ParseUint(x.header(protocol.HeaderFencingToken), 10, 64); err == nil {
			msg.tokenRejected(highest)
		}
	}
	text, err := x.readBody()
	x.complete = err == nil
	if judged.Forwardable && msg.forward != nil && err == nil {
		final := msg.forward.answer(x.resp)
		final.Body = bytes.Clone(text)
		head.ServerAnswer = final
	}
	head.Load = s.readLoad(x)
	x.close()
	return head
}

// probeHooks are the hooks of a health check, which may be sent to any listed server.
var probeHooks = routing.SendHooks{MaySend: func() bool { return true }, Written: func() {}}

// Probe implements routing.Network.
func (s *Servers) Probe(ctx context.Context, to routing.Server) (result balance.Result, load *balance.Load) {
	defer s.panics.contain("checking the health of a server", func() { result, load = balance.Error, nil })
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(s.dialect.ProbePath())
	x, failure := s.exchange(ctx, to, outgoing{request: req, hooks: probeHooks})
	if x == nil {
		return failure, nil
	}
	defer x.close()
	text, err := x.readBody()
	if err != nil {
		return x.failed(ctx, balance.TimedOut), nil
	}
	x.complete = true
	report := func() *balance.Load {
		l, err := s.dialect.ProbeLoad(text)
		if l != nil || err != nil {
			s.recordLoadReport(to.ID, err)
		}
		return l
	}
	switch x.resp.StatusCode() {
	case fasthttp.StatusOK:
		return balance.OK, report()
	case fasthttp.StatusServiceUnavailable:
		return balance.Full, report()
	}
	return balance.Error, nil
}

// readLoad reads the load report in an answer's head. It returns nil if there is none.
func (s *Servers) readLoad(x *exchange) *balance.Load {
	load, err := s.dialect.Load(x.header)
	if load != nil || err != nil {
		s.recordLoadReport(x.conn.to.ID, err)
	}
	return load
}

// recordLoadReport records whether a server's load report was readable. It logs only the first
// unreadable one in a row.
func (s *Servers) recordLoadReport(id string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		delete(s.unreadableLoads, id)
		return
	}
	if !s.unreadableLoads[id] {
		s.log.Warn("load report unreadable", "server", id, "cause", err)
	}
	s.unreadableLoads[id] = true
}
