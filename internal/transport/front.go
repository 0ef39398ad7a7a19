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
	// MaxBody is the longest body that the platform allows, in bytes.
	MaxBody = 256 << 10
	// A client must get an answer or a close within 3 s of connecting, whatever it fails to send.
	requestReadTimeout       = 2 * time.Second         // for one request; for the first one, counted from connecting
	strictRequestReadTimeout = 1500 * time.Millisecond // the same where a client may be accepted up to deferAcceptTime after connecting
	// clientIdleTimeout is how long a connection may be idle between requests. When connections run
	// short, admission evicts the one that has been idle longest.
	clientIdleTimeout = 30 * time.Second
	minBodyBuffer     = 8 << 10 // initial size of a body's buffer, in bytes; the size doubles when the buffer is full
	defaultMaxHead    = 8 << 10 // bytes
)

// Front is the front end: it listens for clients and routes their requests.
type Front struct {
	intake   Intake
	router   *routing.Router // router in service, which may take over streams of another process; nil for an intake front end
	server   *fasthttp.Server
	limits   FrontLimits
	listener *listener
	tap      Tap        // nil for none
	capture  Capture    // nil for none
	memory   byteBudget // of the bodies of all requests in progress
	ready    atomic.Bool
	served   chan struct{} // closed once Serve has accepted the last client
}

// FrontLimits bounds what clients may use.
type FrontLimits struct {
	BodyBytes            int              // bound on the bodies of all requests together
	Admission            admission.Config // which connections and requests are admitted
	Seed                 uint64           // seed of admission's random draws
	Identity             string           // the header that identifies a client, empty for none
	MaxHead              int              // bytes of a request's head, 0 for the default
	ReadTimeout          ReadTimeout      // how long to wait for a client's bytes; nil for the HTTP server's timeouts
	OnDescriptorShortage func()           // called when the process has no descriptor left; nil for nothing
	// OnClose is called when a client's connection has ended and must not block; nil for nothing.
	OnClose func(ConnectionClosed)
	Panics  *PanicLog // of goroutines that serve one client; nil to let a panic end the process
}

// ReadTimeout returns how long a client may send nothing. The argument begun says whether a request
// has begun.
type ReadTimeout func(begun bool) time.Duration

// NewFront returns the front end of the router in service. The tap may be nil.
func NewFront(r *routing.Router, limits FrontLimits, tap Tap) *Front {
	f := newFront(limits)
	f.intake, f.router, f.tap = &completions{front: f, router: r}, r, tap
	return f
}

// NewIntakeFront returns a front end that passes its requests to the given intake.
func NewIntakeFront(in Intake, limits FrontLimits) *Front {
	f := newFront(limits)
	f.intake = in
	return f
}

// newFront returns a front end without an intake.
func newFront(limits FrontLimits) *Front {
	f := &Front{limits: limits, served: make(chan struct{})}
	f.SetBodyBytes(limits.BodyBytes)
	if limits.OnDescriptorShortage == nil {
		limits.OnDescriptorShortage = func() {}
	}
	f.listener = newListener(&limits)
	slow := requestReadTimeout
	if f.listener.strict {
		slow = strictRequestReadTimeout
	}
	f.server = &fasthttp.Server{
		Handler:                      f.handle,
		ErrorHandler:                 f.rejectUnread,
		Concurrency:                  f.listener.maxAlive + 1, // never reached, because the listener waits before that
		StreamRequestBody:            true,                    // readBody reads the body, to bound the memory it uses
		MaxRequestBodySize:           MaxBody,
		ReadBufferSize:               cmp.Or(limits.MaxHead, defaultMaxHead),
		IdleTimeout:                  clientIdleTimeout,
		ReadTimeout:                  slow,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		DisablePreParseMultipartForm: true,
		// Errors on a client's connection concern only the client; the on-call operator can't act
		// on them.
		Logger: log.New(io.Discard, "", 0),
	}
	return f
}

// Serve answers the clients that connect to ln until Shutdown. shared says that other processes
// have the listening socket, too. If it is not shared, its address is free when Serve returns.
func (f *Front) Serve(ln net.Listener, shared bool) error {
	if err := f.listener.listen(ln, shared); err != nil || f.listener.socket == nil {
		return err
	}
	defer close(f.served)
	defer f.listener.closing.Wait()
	return f.server.Serve(f.listener)
}

// Capture receives each accepted request. It must not block.
type Capture interface {
	Take(a balance.Arrival, receivedAt time.Time)
}

// SetCapture sets the capture that receives the requests. It must be called before Serve.
func (f *Front) SetCapture(c Capture) { f.capture = c }

// SetReady sets the readiness that /-/ready reports.
func (f *Front) SetReady(ready bool) { f.ready.Store(ready) }

// SetBodyBytes bounds the bytes of the bodies of all requests together.
func (f *Front) SetBodyBytes(most int) { f.memory.limit.Store(int64(most)) }

// SetKeepAlive says whether connections stay open after their answers. Answers that begin after the
// call announce it to their clients.
func (f *Front) SetKeepAlive(keeps bool) {
	f.listener.draining.Store(!keeps)
	f.listener.closingAfterAnswers.Store(false)
}

// Draining reports whether connections end with their answers.
func (f *Front) Draining() bool { return f.listener.draining.Load() }

// CloseAfterAnswers closes connections after their answers, including answers that began too early
// to announce it. Such a close may cross the client's next request.
func (f *Front) CloseAfterAnswers() { f.listener.closingAfterAnswers.Store(true) }

// CloseIdle closes the connections that have been idle for at least idleTime. A connection whose
// next request has arrived by then is served.
func (f *Front) CloseIdle(idleTime time.Duration) {
	f.listener.notifyAdmission(admission.Event{Kind: admission.CloseIdle, IdleTime: idleTime})
}

// StopAccepting ends Serve once the clients that have connected by now are accepted. Existing
// connections stay open. An inherited listening socket stays open for the other processes that have
// it.
func (f *Front) StopAccepting() { f.listener.Close() }

// AnswersDue returns how many requests have arrived completely without any byte of an answer
// written. The backlog of a listener that is closing counts as one.
func (f *Front) AnswersDue() int {
	f.listener.mu.Lock()
	defer f.listener.mu.Unlock()
	due := f.listener.answersDue
	if f.listener.backlogOpen {
		due++
	}
	return due
}

// Shutdown waits until all accepted requests are answered. It reads each idle connection once more
// before closing it, which the HTTP server's own shutdown does not do.
func (f *Front) Shutdown() error {
	f.StopAccepting()
	if f.listener.exclusive() {
		<-f.served
	}
	f.listener.closeUntilEmpty(func() { f.CloseIdle(0) })
	return f.server.Shutdown()
}

// handle serves one request of the HTTP server.
func (f *Front) handle(ctx *fasthttp.RequestCtx) {
	defer f.closeIfDraining(ctx)
	defer f.limits.Panics.contain("serving a request", func() { f.rejectPanicked(ctx) })
	if !f.intake.Local(ctx) {
		f.serve(ctx)
		return
	}
	if c, ok := ctx.Conn().(*clientConn); ok {
		c.requestOpen = true // the next read records it as answered
	}
}

// rejectPanicked answers a request whose handling panicked, and closes its connection. An attempt
// at it may have been executed.
func (f *Front) rejectPanicked(ctx *fasthttp.RequestCtx) {
	ctx.Response.Reset()
	reject(ctx, fasthttp.StatusBadGateway, "failed")
}

// closeIfDraining closes a connection after its answer while the router is draining, unless further
// requests have arrived on it: they are answered first. It also closes an evicted connection.
func (f *Front) closeIfDraining(ctx *fasthttp.RequestCtx) {
	conn, ok := ctx.Conn().(*clientConn)
	if ok && conn.isEvicted() {
		ctx.SetConnectionClose()
	}
	if f.listener.draining.Load() && !(ok && conn.hasNextRequest()) {
		ctx.SetConnectionClose()
	}
}

// serve reads a request, routes it and answers it.
func (f *Front) serve(ctx *fasthttp.RequestCtx) {
	header := &ctx.Request.Header
	if err := protocol.CheckFraming(header.RawHeaders()); err != nil {
		f.rejectAndCount(ctx, Rejection{Code: fasthttp.StatusBadRequest, Text: err.Error()})
		return
	}
	if rejection := f.intake.Head(ctx); rejection != nil {
		f.rejectAndCount(ctx, *rejection)
		return
	}
	body, err := f.readBody(ctx)
	needed := false // whether the body is still needed after the answer has begun
	defer func() {
		if !needed {
			f.memory.release(cap(body))
		}
	}()
	if err != nil {
		f.rejectUnread(ctx, err)
		return
	}
	// Until here the connection counts as idle, so that half a request can't keep other clients
	// out.
	conn := ctx.Conn().(*clientConn)
	conn.requestRead()
	receivedAt := time.Now()
	if !f.admit(ctx, conn) {
		return
	}
	for {
		var planAgain bool
		needed, planAgain = f.serveOnce(ctx, conn, body, receivedAt)
		if !planAgain {
			return
		}
	}
}

// serveOnce plans a request that was read, routes it and answers it. The result needed says that
// the body is still needed after the answer has begun. The result planAgain says that the request
// has to be planned again, because nothing of it was sent.
func (f *Front) serveOnce(ctx *fasthttp.RequestCtx, conn *clientConn, body []byte, receivedAt time.Time) (needed, planAgain bool) {
	plan, rejection := f.intake.Plan(ctx, body, conn.beganAt)
	if rejection != nil {
		f.rejectAndCount(ctx, *rejection)
		return false, false
	}
	plan.Message.client = conn
	conn.requestOpen = true
	request, err := plan.Router.Accept(plan.Arrival, conn.beganAt, plan.Message)
	if err != nil {
		plan.end(routing.Answer{Verdict: routing.Rejected})
		f.rejectAndCount(ctx, Rejection{Code: fasthttp.StatusConflict, Text: err.Error()})
		return false, false
	}
	if f.capture != nil {
		f.capture.Take(plan.Arrival, receivedAt)
	}
	var observer AnswerObserver
	if f.tap != nil {
		observer = f.offerCopy(&ctx.Request.Header, &plan.Arrival, receivedAt, plan.Message)
	}
	e := &clientRequest{front: f, plan: plan, conn: conn, request: request, began: conn.beganAt}
	panicked := true
	defer func() {
		if panicked {
			e.endPanicked()
		}
	}()
	needed, planAgain = f.answerRequest(ctx, e, observer, cap(body))
	panicked = false
	return needed, planAgain
}

// answerRequest waits for the answer to an accepted request and answers the client. bodyBytes is
// what the request's body has reserved. The results are those of serveOnce.
func (f *Front) answerRequest(ctx *fasthttp.RequestCtx, e *clientRequest, observer AnswerObserver, bodyBytes int) (needed, planAgain bool) {
	e.conn.watch(e.abandon)
	request, plan := e.request, e.plan
	answer, ok := request.Wait()
	if ok && e.outdated(answer) {
		e.end(answer)
		return false, true
	}
	if plan.Resume != nil {
		needed, e.bodyBytes = true, bodyBytes
	}
	if ok && answer.Verdict == routing.Served {
		f.intake.Served(ctx, answer.Stream)
		var stream io.ReadCloser = &resumingStream{Stream: answer.Stream, request: e}
		if observer != nil {
			stream = &observedStream{Stream: answer.Stream, observer: observer, end: func() { e.end(answer) }}
		}
		ctx.Response.SetBodyStream(stream, bodyLength(answer.Stream))
		return needed, false
	}
	e.end(answer)
	if observer != nil {
		observer.Refused(ok, answer.Verdict)
	}
	if !ok { // a client that has closed only its sending side reads this
		answerLine(ctx, fasthttp.StatusBadGateway, "given up, as the client ended its sending")
		ctx.SetConnectionClose()
		return needed, false
	}
	f.intake.Unserved(ctx, answer)
	return needed, false
}

// bodyLength returns the length of an answer for its head, -1 if it is not known.
func bodyLength(s *routing.Stream) int {
	if h, ok := s.Body().(hasFinal); ok {
		if final := h.Final(); final.Length >= 0 {
			return final.Length
		}
	}
	return -1
}

// admit asks admission about a request that was read, and rejects the request if it is not
// admitted.
func (f *Front) admit(ctx *fasthttp.RequestCtx, conn *clientConn) bool {
	identity := ""
	if f.limits.Identity != "" {
		identity = string(ctx.Request.Header.Peek(f.limits.Identity))
	}
	read := admission.Event{Kind: admission.RequestRead, Conn: conn.admissionID, Identity: identity}
	answer := f.listener.notifyAdmission(read)
	if answer.Kind == admission.Serve {
		if answer.CloseAfterAnswer {
			ctx.SetConnectionClose()
		}
		return true
	}
	rejection := Rejection{Code: answer.Code, Text: rejectionText(answer), RetryAfter: answer.RetryAfter}
	if rejection.Code == 0 { // its connection was evicted when the request arrived
		rejection.Code, rejection.RetryAfter = fasthttp.StatusServiceUnavailable, f.limits.Admission.MinRetryAfter
	}
	f.rejectAndCount(ctx, rejection)
	return false
}

// errBodyMemory says that the bodies of other requests use all of the memory for bodies.
var errBodyMemory = errors.New("no room for the body")

// readBody reads a request's body. Its buffer grows with the bytes received, not with the announced
// length. The buffer is reserved in f.memory, even if readBody fails. If a client disconnects
// halfway, fasthttp's stream ends as for a complete body, so readBody compares the length.
func (f *Front) readBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	length := ctx.Request.Header.ContentLength() // negative if it was not announced
	limit := f.intake.MaxBody()
	if length > limit {
		return nil, fasthttp.ErrBodyTooLarge
	}
	var body []byte
	for stream := ctx.RequestBodyStream(); stream != nil; {
		if len(body) == cap(body) {
			more := max(cap(body), minBodyBuffer)
			if !f.memory.reserve(more) {
				return body, errBodyMemory
			}
			body = append(make([]byte, 0, cap(body)+more), body...)
		}
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
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

// answerLine answers with one line of text.
func answerLine(ctx *fasthttp.RequestCtx, code int, line string) {
	ctx.SetStatusCode(code)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(line + "\n")
}

// reject answers a request whose client is at fault and closes the connection: later bytes on it
// can't be trusted, and a client that retries must reconnect.
func reject(ctx *fasthttp.RequestCtx, code int, line string) {
	answerLine(ctx, code, line)
	ctx.SetConnectionClose()
	if c, ok := ctx.Conn().(*clientConn); ok {
		c.requestUnread = true
		c.requestOpen = false
	}
}

// rejectUnread answers a request that could not be read.
func (f *Front) rejectUnread(ctx *fasthttp.RequestCtx, err error) {
	c, ok := ctx.Conn().(*clientConn)
	if ok && !c.requestBegun {
		// There was no request. An answer that crosses the first request would be taken for its
		// answer.
		c.closeAs(ClosedUnused)
		return
	}
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	rejection := Rejection{Code: fasthttp.StatusBadRequest, Text: "malformed request"}
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		text := fmt.Sprintf("the body is longer than %d bytes", f.intake.MaxBody())
		rejection = Rejection{Code: fasthttp.StatusRequestEntityTooLarge, Text: text}
	case errors.As(err, &small):
		rejection = f.intake.LongHead()
	case errors.Is(err, errBodyMemory):
		rejection = Rejection{Code: fasthttp.StatusServiceUnavailable, Text: err.Error()}
	case errors.As(err, &timeout) && timeout.Timeout():
		rejection = Rejection{Code: fasthttp.StatusRequestTimeout, Text: "the request took too long to arrive"}
	}
	f.rejectAndCount(ctx, rejection)
}

// rejectAndCount rejects and counts a request that does not reach the router.
func (f *Front) rejectAndCount(ctx *fasthttp.RequestCtx, rejection Rejection) {
	f.intake.Count(ctx, rejection)
	if c, ok := ctx.Conn().(*clientConn); ok && rejection.KeepAlive {
		c.requestOpen = true // the next read records it as answered
	}
	WriteRejection(ctx, rejection)
}
