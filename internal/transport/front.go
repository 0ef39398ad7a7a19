package transport

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/door"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

const (
	// MaxBody is the longest body that the platform allows.
	MaxBody = 256 << 10
	// A client is owed a word or a close 3 s after it connects, whatever it holds back.
	slowClient = 2 * time.Second         // to send one request, the first one from connecting on
	slowSilent = 1500 * time.Millisecond // the same where it is accepted up to deferFor after it connected
	idleClient = 2200 * time.Millisecond // between requests; the platform lets a router close after 2 s
	firstGrow  = 8 << 10                 // of a body's buffer, which then doubles
)

// Front listens for clients and hands their requests to the core.
type Front struct {
	router   *routing.Router
	server   *fasthttp.Server
	limits   FrontLimits
	listener *listener
	tap      Tap     // nil for none
	capture  Capture // nil for none
	memory   budget  // of all bodies that are held
	ready    atomic.Bool
}

// FrontLimits bounds what clients may take up.
type FrontLimits struct {
	Bodies   int         // bytes, of all requests together
	Door     door.Config // who gets in
	Seed     uint64      // of the door
	Identity string      // the header that names a client, empty for none
	Short    func()      // told that the process had no descriptor left; nil for nobody
}

// NewFront returns a front that keeps to the limits.
// A tap may be nil.
func NewFront(r *routing.Router, limits FrontLimits, tap Tap) *Front {
	f := &Front{router: r, limits: limits, tap: tap}
	f.SetBodies(limits.Bodies)
	if limits.Short == nil {
		limits.Short = func() {}
	}
	f.listener = newListener(&limits)
	slow := slowClient
	if f.listener.strict {
		slow = slowSilent
	}
	f.server = &fasthttp.Server{
		Handler:                      f.handle,
		ErrorHandler:                 f.refuse,
		Concurrency:                  f.listener.most + 1, // never reached: the listener waits before
		StreamRequestBody:            true,                // a body is read here, so that what it takes up is bounded
		MaxRequestBodySize:           MaxBody,
		ReadBufferSize:               8 << 10,
		IdleTimeout:                  idleClient,
		ReadTimeout:                  slow,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		// What goes wrong on a client's connection is the client's to see; on-call can not act on it.
		Logger: log.New(io.Discard, "", 0),
	}
	return f
}

// Serve answers the clients that connect to ln until Shutdown. A shared one is also others'.
func (f *Front) Serve(ln net.Listener, shared bool) error {
	if err := f.listener.listen(ln, shared); err != nil || f.listener.socket == nil {
		return err
	}
	return f.server.Serve(f.listener)
}

// Capture is told of each request that is taken in, and never waits.
type Capture interface {
	Take(a balance.Arrival, came time.Time)
}

// SetCapture has requests be captured from now on. It is called before Serve.
func (f *Front) SetCapture(c Capture) { f.capture = c }

// SetReady says what /-/ready is to answer.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// SetBodies bounds the bytes of the bodies of all requests together.
func (f *Front) SetBodies(most int) { f.memory.most.Store(int64(most)) }

// SetKeeps says whether a connection outlives its answer. An answer that begins from then on tells so to its client.
func (f *Front) SetKeeps(keeps bool) {
	f.listener.leaving.Store(!keeps)
	f.listener.parting.Store(false)
}

// Part ends connections with their answers, also where the answer had begun before it could tell so. That may cross the
// client's next request.
func (f *Front) Part() { f.listener.parting.Store(true) }

// Empty closes the connections that have been silent for so long. One whose next request has come by then is served.
func (f *Front) Empty(silent time.Duration) {
	f.listener.tell(door.Event{Kind: door.Empty, Silent: silent})
}

// StopAccepting ends Serve. Connections stay, and so does an inherited listener for whoever else has it.
func (f *Front) StopAccepting() { f.listener.Close() }

// Shutdown waits for what was taken to be answered. No silent connection is closed here without a last look at it: that
// the HTTP server does not take.
func (f *Front) Shutdown() error {
	f.StopAccepting()
	f.listener.emptied(func() { f.Empty(0) })
	return f.server.Shutdown()
}

func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	defer f.leave(ctx)
	switch path := string(ctx.URI().PathOriginal()); { // as it came, as it is passed on
	case path == protocol.PathReady:
		if !f.ready.Load() {
			answerLine(ctx, fasthttp.StatusServiceUnavailable, "not ready")
			return
		}
		answerLine(ctx, fasthttp.StatusOK, "ready")
	case path != protocol.PathCompletions:
		reject(ctx, fasthttp.StatusNotFound, "no such path")
	case !ctx.IsPost():
		ctx.Response.Header.Set("Allow", "POST")
		reject(ctx, fasthttp.StatusMethodNotAllowed, "only POST is served here")
	default:
		f.complete(ctx)
	}
}

// leave ends a connection with its answer while clients are sent away, unless further requests on it have come already: those are
// answered first.
func (f *Front) leave(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*clientConn)
	if f.listener.leaving.Load() && !(ok && conn.hasFurther()) {
		ctx.SetConnectionClose()
	}
}

// complete takes one request through the core.
func (f *Front) complete(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	if err := protocol.CheckFraming(header.RawHeaders()); err != nil {
		f.lose(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	body, err := f.readBody(ctx)
	defer func() { f.memory.give(cap(body)) }() // once the answer has begun, nobody needs it any more
	if err != nil {
		f.refuse(ctx, err)
		return
	}
	// Up to here its connection counts as silent: who sends half a request must not keep others out.
	conn := ctx.Conn().(*clientConn)
	conn.taken()
	came := time.Now()
	if !f.ask(ctx, conn) {
		return
	}
	arrival, err := protocol.ParseArrival(func(name string) string { return string(header.Peek(name)) }, len(body))
	if err != nil {
		f.lose(ctx, fasthttp.StatusBadRequest, err.Error())
		return
	}
	m := &Message{
		method:      append([]byte(nil), header.Method()...),
		uri:         append([]byte(nil), header.RequestURI()...),
		contentType: append([]byte(nil), header.ContentType()...),
		id:          []byte(arrival.ID),
		body:        body,
		class:       arrival.Class,
		client:      conn,
	}
	conn.open = true
	request, err := f.router.TakeIn(arrival, conn.beganAt, m)
	if err != nil {
		f.lose(ctx, fasthttp.StatusConflict, err.Error())
		return
	}
	if f.capture != nil {
		f.capture.Take(arrival, came)
	}
	var watcher Watcher
	if f.tap != nil {
		watcher = f.offer(header, &arrival, came, m)
	}
	conn.watch(func() { f.router.Leave(request) })
	end := func() {
		conn.unwatch()
		f.router.Done(request)
	}
	answer, ok := request.Wait()
	if ok && answer.Verdict == routing.Served {
		ctx.Response.Header.SetContentType("text/event-stream")
		if watcher != nil {
			watched := &watchedStream{Stream: answer.Stream, watcher: watcher, end: end}
			ctx.Response.SetBodyStream(watched, -1)
			return
		}
		ctx.Response.SetBodyStream(&relayed{Stream: answer.Stream, end: end}, -1)
		return
	}
	end()
	if watcher != nil {
		watcher.Refused(ok, answer.Verdict)
	}
	switch {
	case !ok:
		ctx.SetConnectionClose() // nobody reads it
	case answer.Verdict == routing.Refused:
		if answer.Wait > 0 {
			ctx.Response.Header.Set("Retry-After", protocol.FormatRetryAfter(answer.Wait))
		}
		answerLine(ctx, fasthttp.StatusServiceUnavailable, "refused; trying again is harmless")
	case answer.Verdict == routing.Unfit:
		reject(ctx, fasthttp.StatusBadRequest, "no server can use this request")
	default:
		answerLine(ctx, fasthttp.StatusBadGateway, "failed")
	}
}

// ask has the door decide on a request that was read, and answers it if it is refused.
func (f *Front) ask(ctx *fasthttp.RequestCtx, conn *clientConn) bool {
	identity := ""
	if f.limits.Identity != "" {
		identity = string(ctx.Request.Header.Peek(f.limits.Identity))
	}
	answer := f.listener.tell(door.Event{Kind: door.Asked, Conn: conn.name, Identity: identity})
	if answer.Kind == door.Serve {
		if answer.Last {
			ctx.SetConnectionClose()
		}
		return true
	}
	if answer.Away > 0 {
		ctx.Response.Header.Set("Retry-After", protocol.FormatRetryAfter(answer.Away))
	}
	code, line := answer.Code, refusalLine(answer)
	if code == 0 { // its connection was shut while the request came: nobody reads this
		code = fasthttp.StatusServiceUnavailable
	}
	f.lose(ctx, code, line)
	return false
}

// errCrowded says that the bodies of other requests take all the room that there is.
var errCrowded = errors.New("no room for the body")

// readBody reads a request's body. Its buffer grows with what comes, not with what was announced, and counts in
// f.memory, whatever the error. A client that closes half-way ends fasthttp's stream like a whole body.
func (f *Front) readBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	length := ctx.Request.Header.ContentLength() // negative where it was not announced
	if length > MaxBody {
		return nil, fasthttp.ErrBodyTooLarge
	}
	var body []byte
	for stream := ctx.RequestBodyStream(); stream != nil; {
		if len(body) == cap(body) {
			more := max(cap(body), firstGrow)
			if !f.memory.take(more) {
				return body, errCrowded
			}
			body = append(make([]byte, 0, cap(body)+more), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > MaxBody:
			return body, fasthttp.ErrBodyTooLarge
		case err == io.EOF && length >= 0 && len(body) < length:
			return body, io.ErrUnexpectedEOF
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		}
	}
	return body, nil
}

// relayed ends its request with its stream.
type relayed struct {
	*routing.Stream
	end func()
}

func (r *relayed) Close() error {
	err := r.Stream.Close()
	r.end()
	return err
}

func answerLine(ctx *fasthttp.RequestCtx, code int, line string) {
	ctx.SetStatusCode(code)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(line + "\n")
}

// reject answers a request whose client is at fault, and ends the connection: what follows on it can't be trusted,
// and one that repeats itself must connect again.
func reject(ctx *fasthttp.RequestCtx, code int, line string) {
	answerLine(ctx, code, line)
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*clientConn); ok {
		c.unread = true
		c.open = false
	}
}

// refuse answers a request that could not be read.
func (f *Front) refuse(ctx *fasthttp.RequestCtx, err error) {
	c, ok := ctx.Conn().(*clientConn)
	if ok && !c.used {
		// Nothing was asked. An answer that crosses the first request would be taken for that request's.
		c.Conn.Close()
		return
	}
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	code, line := fasthttp.StatusBadRequest, "malformed request"
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		code, line = fasthttp.StatusRequestEntityTooLarge, fmt.Sprintf("the body is longer than %d bytes", MaxBody)
	case errors.As(err, &small):
		line = "the head is too long"
	case errors.Is(err, errCrowded):
		code, line = fasthttp.StatusServiceUnavailable, err.Error()
	case errors.As(err, &timeout) && timeout.Timeout():
		code, line = fasthttp.StatusRequestTimeout, "the request took too long to arrive"
	}
	f.lose(ctx, code, line)
}

// lose rejects a request that is no request, and counts it in place of one.
func (f *Front) lose(ctx *fasthttp.RequestCtx, code int, line string) {
	v := routing.Failed
	if code == fasthttp.StatusTooManyRequests || code == fasthttp.StatusServiceUnavailable {
		v = routing.Refused
	}
	f.router.Refused(string(ctx.Request.Header.Peek(protocol.HeaderClass)), v)
	reject(ctx, code, line)
}
