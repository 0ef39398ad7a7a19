package transport

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/admission"
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
	usualHead  = 8 << 10                 // bytes of a request's head
)

// Front listens for clients and hands their requests to the core.
type Front struct {
	intake   Intake
	router   *routing.Router // of the router in service, whose streams may come from another process; nil otherwise
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
	Bodies    int              // bytes, of all requests together
	Admission admission.Config // who gets in
	Seed      uint64           // of admission
	Identity  string           // the header that names a client, empty for none
	Head      int              // bytes of a request's head, 0 for the usual
	Patience  Patience         // with clients; nil for the usual
	Short     func()           // told that the process had no descriptor left; nil for nobody
}

// Patience is how long a client may be silent, before a request has begun or within one.
type Patience func(begun bool) time.Duration

// NewFront returns a front that keeps to the limits.
// A tap may be nil.
func NewFront(r *routing.Router, limits FrontLimits, tap Tap) *Front {
	f := newFront(limits)
	f.intake, f.router, f.tap = &completions{front: f, router: r}, r, tap
	return f
}

// NewIntakeFront returns a front whose requests an intake of the caller's judges.
func NewIntakeFront(in Intake, limits FrontLimits) *Front {
	f := newFront(limits)
	f.intake = in
	return f
}

func newFront(limits FrontLimits) *Front {
	f := &Front{limits: limits}
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
		ReadBufferSize:               cmp.Or(limits.Head, usualHead),
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

// Leaving tells that connections end with their answers.
func (f *Front) Leaving() bool { return f.listener.leaving.Load() }

// Part ends connections with their answers, also where the answer had begun before it could tell so. That may cross the
// client's next request.
func (f *Front) Part() { f.listener.parting.Store(true) }

// Empty closes the connections that have been silent for so long. One whose next request has come by then is served.
func (f *Front) Empty(silent time.Duration) {
	f.listener.tell(admission.Event{Kind: admission.Empty, Silent: silent})
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
	if !f.intake.Local(ctx) {
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
		f.lose(ctx, Rejection{Code: fasthttp.StatusBadRequest, Line: err.Error()})
		return
	}
	if no := f.intake.Head(ctx); no != nil {
		f.lose(ctx, *no)
		return
	}
	body, err := f.readBody(ctx)
	needed := false // the body, once the answer has begun
	defer func() {
		if !needed {
			f.memory.give(cap(body))
		}
	}()
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
	for {
		var again bool
		if needed, again = f.carry(ctx, conn, body, came); !again {
			return
		}
	}
}

// carry takes one request that was read through the core. Needed tells that its body is, once the answer has begun; again, that the request
// has to be planned anew, as nothing of it was sent.
func (f *Front) carry(ctx *fasthttp.RequestCtx, conn *clientConn, body []byte, came time.Time) (needed, again bool) {
	plan, no := f.intake.Plan(ctx, body, conn.beganAt)
	if no != nil {
		f.lose(ctx, *no)
		return false, false
	}
	plan.Message.client = conn
	conn.open = true
	request, err := plan.Router.Accept(plan.Arrival, conn.beganAt, plan.Message)
	if err != nil {
		plan.end(routing.Answer{Verdict: routing.Rejected})
		f.lose(ctx, Rejection{Code: fasthttp.StatusConflict, Line: err.Error()})
		return false, false
	}
	if f.capture != nil {
		f.capture.Take(plan.Arrival, came)
	}
	var watcher Watcher
	if f.tap != nil {
		watcher = f.offer(&ctx.Request.Header, &plan.Arrival, came, plan.Message)
	}
	e := &errand{front: f, plan: plan, conn: conn, request: request, began: conn.beganAt}
	conn.watch(e.leave)
	answer, ok := request.Wait()
	if ok && e.outdated(answer) {
		e.end(answer)
		return false, true
	}
	if plan.Resume != nil {
		needed, e.body = true, cap(body)
	}
	if ok && answer.Verdict == routing.Served {
		f.intake.Served(ctx, answer.Stream)
		var stream io.ReadCloser = &relayed{Stream: answer.Stream, errand: e}
		if watcher != nil {
			stream = &watchedStream{Stream: answer.Stream, watcher: watcher, end: func() { e.end(answer) }}
		}
		ctx.Response.SetBodyStream(stream, bodyLength(answer.Stream))
		return needed, false
	}
	e.end(answer)
	if watcher != nil {
		watcher.Refused(ok, answer.Verdict)
	}
	if !ok {
		ctx.SetConnectionClose() // nobody reads it
		return needed, false
	}
	f.intake.Unserved(ctx, answer)
	return needed, false
}

// bodyLength is the length of an answer that is to be announced, -1 where it is not known.
func bodyLength(s *routing.Stream) int {
	if h, ok := s.Body().(headed); ok {
		if final := h.Final(); final.Length >= 0 {
			return final.Length
		}
	}
	return -1
}

// ask has admission decide on a request that was read, and answers it if it is refused.
func (f *Front) ask(ctx *fasthttp.RequestCtx, conn *clientConn) bool {
	identity := ""
	if f.limits.Identity != "" {
		identity = string(ctx.Request.Header.Peek(f.limits.Identity))
	}
	answer := f.listener.tell(admission.Event{Kind: admission.Asked, Conn: conn.name, Identity: identity})
	if answer.Kind == admission.Serve {
		if answer.Last {
			ctx.SetConnectionClose()
		}
		return true
	}
	no := Rejection{Code: answer.Code, Line: refusalLine(answer), Wait: answer.Away}
	if no.Code == 0 { // its connection was shut while the request came: nobody reads this
		no.Code = fasthttp.StatusServiceUnavailable
	}
	f.lose(ctx, no)
	return false
}

// errCrowded says that the bodies of other requests take all the room that there is.
var errCrowded = errors.New("no room for the body")

// readBody reads a request's body. Its buffer grows with what comes, not with what was announced, and counts in
// f.memory, whatever the error. A client that closes half-way ends fasthttp's stream like a whole body.
func (f *Front) readBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	length := ctx.Request.Header.ContentLength() // negative where it was not announced
	most := f.intake.MaxBody()
	if length > most {
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
		case len(body) > most:
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
	no := Rejection{Code: fasthttp.StatusBadRequest, Line: "malformed request"}
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		no = Rejection{Code: fasthttp.StatusRequestEntityTooLarge, Line: fmt.Sprintf("the body is longer than %d bytes", f.intake.MaxBody())}
	case errors.As(err, &small):
		no = f.intake.LongHead()
	case errors.Is(err, errCrowded):
		no = Rejection{Code: fasthttp.StatusServiceUnavailable, Line: err.Error()}
	case errors.As(err, &timeout) && timeout.Timeout():
		no = Rejection{Code: fasthttp.StatusRequestTimeout, Line: "the request took too long to arrive"}
	}
	f.lose(ctx, no)
}

// lose rejects a request that is no request, and counts it in place of one.
func (f *Front) lose(ctx *fasthttp.RequestCtx, no Rejection) {
	f.intake.Count(ctx, no)
	if c, ok := ctx.Conn().(*clientConn); ok && no.Keep {
		c.open = true // it is answered with the next read
	}
	Refuse(ctx, no)
}
