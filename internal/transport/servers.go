package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

const (
	// mostRefusal bounds the body of an answer that is no stream, mostOpening a stream's first event, and mostStream,
	// the platform's word for any body, all of a stream: a chunk said to hold gigabytes would go on for ever.
	mostRefusal = 64 << 10
	mostOpening = 64 << 10
	mostStream  = MaxBody
	// headIn is how long a head that has begun may be silent. A server writes it at once, in whatever pieces.
	headIn = time.Second
	// mostInterim bounds the 1xx answers before the answer itself.
	mostInterim = 100
)

// Message is a client's request as it came. It implements routing.Message.
type Message struct {
	method, uri, contentType, id, body []byte

	class  string
	client *clientConn // whose answer may move to another process; nil where it may not

	duty    string // under which it is sent, with the token; empty for none
	refused func(highest uint64)
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
	pool *pool
	log  routing.Logger

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
}

// NewServers returns a Servers without connections.
func NewServers(l ServerLimits, log routing.Logger) *Servers {
	return &Servers{log: log, unclear: map[string]bool{}, live: map[*conn]bool{}, silent: l.Silent,
		pool: &pool{connectFor: l.Connect, idleFor: idlePart(l.Keepalive), limit: l.Connections, idle: map[routing.Entry][]*conn{}}}
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
func (s *Servers) Forget(id string) {
	s.judgeLoad(id, nil)
	s.pool.forget(id)
}

// Schedule implements routing.Network. Nothing is ever sent a second time here: that is the module's decision.
func (s *Servers) Schedule(ctx context.Context, deadline time.Time, to routing.Entry, m routing.Message, written func()) routing.Head {
	msg := m.(*Message)
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethodBytes(msg.method)
	req.Header.SetRequestURIBytes(msg.uri)
	req.Header.SetNoDefaultContentType(true)
	if len(msg.contentType) > 0 {
		req.Header.SetContentTypeBytes(msg.contentType)
	}
	req.Header.SetBytesV(protocol.HeaderID, msg.id)
	if msg.duty != "" {
		req.Header.Set(protocol.HeaderDuty, msg.duty)
	}
	req.SetBodyRaw(msg.body)

	headCtx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	x, result := s.exchange(headCtx, to, outgoing{request: req, deadline: deadline, client: msg.client, written: written})
	if x == nil {
		return routing.Head{Result: result, Left: result == balance.NotSent && msg.client.hasLeft()}
	}
	unfit := false
	if x.resp.StatusCode() == fasthttp.StatusOK {
		b := &body{exchange: x, ctx: headCtx, text: x.resp.BodyStream(), message: msg}
		b.follow()
		err := b.open()
		if err == nil && x.commit(ctx) {
			b.ctx = ctx
			b.mayMove()
			return routing.Head{Result: balance.OK, Body: b}
		}
		result = x.failed(headCtx, balance.TimedOut)
	} else {
		result, unfit = classify(x.resp)
		if msg.duty != "" && x.resp.StatusCode() == fasthttp.StatusConflict {
			if highest, err := strconv.ParseUint(string(x.resp.Header.Peek(protocol.HeaderDuty)), 10, 64); err == nil {
				msg.refused(highest)
			}
		}
		_, err := x.rest()
		x.whole = err == nil
	}
	load := s.readLoad(to.ID, x.resp.Header.Peek(protocol.HeaderLoad))
	x.close()
	return routing.Head{Result: result, Load: load, Unfit: unfit}
}

// Probe implements routing.Network.
func (s *Servers) Probe(ctx context.Context, to routing.Entry) (balance.Result, *balance.Load) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetRequestURI(protocol.PathLoad)
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
	switch x.resp.StatusCode() {
	case fasthttp.StatusOK:
		return balance.OK, s.readLoad(to.ID, text)
	case fasthttp.StatusServiceUnavailable:
		return balance.Full, s.readLoad(to.ID, text)
	}
	return balance.Error, nil
}

// exchange is one request on a connection, and its answer from the head on.
type exchange struct {
	servers *Servers
	conn    *conn
	resp    *fasthttp.Response
	stop    func() bool // ends the watch on the context
	whole   bool        // the answer was read to its end
}

// outgoing is a request on its way to a server.
type outgoing struct {
	request  *fasthttp.Request
	deadline time.Time   // of which the server is told, none if zero
	client   *clientConn // who waits for the answer, nil for nobody in particular
	written  func()      // is called once the last byte is
}

// errUnsent says that nothing of a request was written.
var errUnsent = errors.New("nobody waits for the answer any more")

// write writes a request, unless nobody waits for its answer any more. That is looked at, and what is left of the
// deadline worked out, at the last moment: the connection may have taken a while to come up.
func (o *outgoing) write(ctx context.Context, c *conn) error {
	o.request.Header.SetHost(c.to.Addr)
	if !o.deadline.IsZero() {
		left := time.Until(o.deadline)
		if left <= 0 {
			return errUnsent
		}
		o.request.Header.Set(protocol.HeaderTimeLeft, protocol.FormatDuration(left))
	}
	if ctx.Err() != nil || o.client.hasLeft() {
		return errUnsent
	}
	out := bufio.NewWriterSize(c, readBuffer)
	if err := o.request.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// exchange writes a request and reads the head of its answer. Without one it tells the result, which depends on
// whether the last byte had been written.
func (s *Servers) exchange(ctx context.Context, to routing.Entry, o outgoing) (*exchange, balance.Result) {
	c, err := s.pool.take(ctx, to)
	if err != nil {
		if errors.Is(err, errNoSocket) {
			return nil, balance.NotSent
		}
		return nil, ended(ctx, balance.NotSent, balance.NoConnection)
	}
	x := &exchange{servers: s, conn: c, resp: fasthttp.AcquireResponse()}
	x.stop = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	if err := o.write(ctx, c); err != nil {
		unsent := errors.Is(err, errUnsent)
		x.whole = unsent // the connection is as it was
		x.close()
		if unsent {
			return nil, balance.NotSent
		}
		return nil, ended(ctx, balance.NotSent, balance.NoConnection)
	}
	o.written()
	if err := x.readHead(ctx); err != nil {
		result := x.failed(ctx, balance.TimedOut)
		x.close()
		return nil, result
	}
	return x, balance.OK
}

// readHead reads the head of the answer, after any 1xx. It waits for the first byte of each as long as ctx lasts,
// but not for the rest: a head that stops half-way would take all the time that another server might use.
func (x *exchange) readHead(ctx context.Context) error {
	for range mostInterim {
		if _, err := x.conn.in.Peek(1); err != nil {
			return err
		}
		x.conn.head = ctx
		err := x.resp.Header.Read(x.conn.in)
		x.conn.head = nil
		if err != nil {
			return err
		}
		x.conn.SetReadDeadline(time.Time{})
		if err := ctx.Err(); err != nil {
			return err
		}
		switch code := x.resp.StatusCode(); {
		case code >= 200:
			if code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified {
				return nil // has no body, whatever the head says
			}
			x.resp.StreamBody = true
			return x.resp.ReadBody(x.conn.in, 0)
		case code == fasthttp.StatusSwitchingProtocols:
			return errSpoilt
		}
	}
	return errSpoilt
}

// errSpoilt says that an answer can't be read although its connection stands.
var errSpoilt = fmt.Errorf("%w: the answer can not be read", routing.ErrSpoilt)

// failed tells why the answer broke off: by the end of ctx, with the connection, or else because it was spoilt,
// which the process that made it has outlived.
func (x *exchange) failed(ctx context.Context, over balance.Result) balance.Result {
	broke := balance.Error
	if x.conn.err != nil && !errors.Is(x.conn.err, os.ErrDeadlineExceeded) {
		broke = balance.Reset
	}
	return ended(ctx, over, broke)
}

// commit lets go of the deadline: the answer has begun, so only the end of ctx may end it. It fails if the
// deadline was first.
func (x *exchange) commit(ctx context.Context) bool {
	if !x.stop() {
		return false
	}
	x.stop = context.AfterFunc(ctx, func() { x.conn.SetDeadline(time.Unix(1, 0)) })
	return true
}

// rest reads the body of an answer that is no stream.
func (x *exchange) rest() ([]byte, error) {
	if x.resp.BodyStream() == nil { // a status that has no body, such as 204
		return nil, nil
	}
	text, err := io.ReadAll(io.LimitReader(x.resp.BodyStream(), mostRefusal))
	if err == nil && len(text) == mostRefusal {
		return nil, fmt.Errorf("more than %d bytes", mostRefusal)
	}
	return text, err
}

// close gives the connection back if the answer was read to its end, and closes it otherwise.
func (x *exchange) close() {
	reuse := x.stop() && x.whole && !x.resp.ConnectionClose()
	x.servers.unfollow(x.conn)
	fasthttp.ReleaseResponse(x.resp)
	if reuse {
		x.servers.pool.put(x.conn)
	} else {
		x.servers.pool.discard(x.conn)
	}
}

// ended tells why an exchange broke off: because its client left, because its time was over, or else because the
// connection broke. What the last two mean depends on whether the request was sent.
func ended(ctx context.Context, over, broke balance.Result) balance.Result {
	switch ctx.Err() {
	case context.Canceled:
		return balance.Cancelled
	case context.DeadlineExceeded:
		return over
	}
	return broke
}

// classify tells the result of an answer that is no stream, and whether it blames the request. That says nothing
// against the server: held against it, one client's bad requests would shut out the whole fleet.
func classify(resp *fasthttp.Response) (result balance.Result, unfit bool) {
	code := resp.StatusCode()
	unprocessed := string(resp.Header.Peek(protocol.HeaderUnprocessed)) == "1"
	if unprocessed && (code == fasthttp.StatusServiceUnavailable || code == fasthttp.StatusGatewayTimeout) {
		return balance.Full, false
	}
	if code/100 == 4 && code != fasthttp.StatusRequestTimeout && code != fasthttp.StatusTooManyRequests {
		return balance.Cancelled, true
	}
	return balance.Error, false
}

// readLoad reads a load report. One that can not be read is logged once until a good one comes.
func (s *Servers) readLoad(id string, text []byte) *balance.Load {
	if len(text) == 0 {
		return nil
	}
	load, err := protocol.ParseLoad(text)
	s.judgeLoad(id, err)
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

// body is a stream on its way from a server. It implements routing.Body.
type body struct {
	*exchange
	ctx   context.Context
	text  io.Reader
	first []byte // read by open, due to the next Read
	end   error  // that open came to
	size  int    // read so far
	notes protocol.Notes

	message *Message
	quietTo time.Time // of the next read, where it goes on after a stop
}

// open waits for the first whole event. Up to there, another server may still serve the request.
func (b *body) open() error {
	buf := make([]byte, readBuffer)
	for len(b.first) < mostOpening {
		n, err := b.next(buf)
		b.first = append(b.first, buf[:n]...)
		if protocol.HasEvent(b.first) {
			b.end = err
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errSpoilt
}

// Read passes on what has come. A broken, silent or spoilt stream gives an error other than io.EOF.
func (b *body) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	if b.end != nil {
		return 0, b.end
	}
	return b.next(p)
}

// next reads from the connection. What is no stream of events is not passed on: a chunk of the wrong size has the
// next one's framing among its text.
func (b *body) next(p []byte) (int, error) {
	if b.interrupted() {
		if b.move() {
			return 0, routing.ErrMoved
		}
	}
	quietTo := time.Now().Add(b.servers.silent)
	if !b.quietTo.IsZero() { // what went before a stop counts
		quietTo, b.quietTo = b.quietTo, time.Time{}
	}
	b.conn.SetReadDeadline(quietTo)
	if err := b.ctx.Err(); err != nil { // after the line above, lest it undo the end of ctx
		return 0, err
	}
	n, err := b.text.Read(p)
	if b.interrupted() {
		err = nil // the next call sees to it
	}
	if err == io.EOF && b.resp.Header.ContentLength() < -1 {
		// Neither length nor chunks: an end of the connection does not tell that the stream was whole.
		err = io.ErrUnexpectedEOF
	}
	if b.size += n; !b.notes.Feed(p[:n]) || b.size > mostStream {
		return 0, errSpoilt
	}
	b.whole = err == io.EOF
	if err != nil && err != io.EOF && b.conn.err == nil {
		err = fmt.Errorf("%w: %w", errSpoilt, err)
	}
	return n, err
}

// End implements routing.Body.
func (b *body) End() (float64, *balance.Load) {
	load := b.notes.Load
	if load == nil {
		load = b.servers.readLoad(b.conn.to.ID, b.resp.Header.Peek(protocol.HeaderLoad))
	}
	if load != nil || b.notes.Err != nil {
		b.servers.judgeLoad(b.conn.to.ID, b.notes.Err)
	}
	b.close()
	return b.notes.Kept, load
}
