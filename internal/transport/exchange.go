package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

const (
	// maxErrorBody bounds, in bytes, the body of an answer that is read completely before it is
	// used.
	maxErrorBody = 64 << 10
	// headTimeout is how long each read of the rest of an answer's head may take. A server writes a
	// head at once, however the network splits it.
	headTimeout = time.Second
	// maxInterimAnswers bounds the number of 1xx answers, and of answers to other requests, before
	// the answer itself.
	maxInterimAnswers = 100
)

// exchange is one request on a connection and its answer, from the answer's head on.
type exchange struct {
	servers  *Servers
	conn     *conn
	resp     *fasthttp.Response
	body     answerBody
	content  io.Reader   // &body, or nil if the answer has no body
	stop     func() bool // detaches the exchange from the context
	complete bool        // the answer was read completely

	malformed *malformedAnswerError // in which way the answer is malformed, nil if it is not
}

// outgoing is a request to be sent to a server.
type outgoing struct {
	request  *fasthttp.Request
	deadline time.Time   // sent to the server as the time left; zero for none
	client   *clientConn // the client that waits for the answer, nil for no particular client
	hooks    routing.SendHooks

	dialect   protocol.Dialect
	id        string // answers to requests with other IDs are skipped; empty for no check
	fixedHost bool   // the Host header is the client's
}

// errUnsent says that nothing of a request was written, so it may be retried as if there had been
// no attempt.
var errUnsent = errors.New("request not sent: its client has left, its time is over, or the server gets no new requests")

// write writes a request, unless its client has left, its time is over, or the server is not to get
// new requests. It checks this and computes the time left at the last moment, because establishing
// the connection may have taken a while.
func (o *outgoing) write(ctx context.Context, c *conn) error {
	if !o.fixedHost {
		o.request.Header.SetHost(c.to.Addr)
	}
	if !o.deadline.IsZero() {
		left := time.Until(o.deadline)
		if left <= 0 {
			return errUnsent
		}
		f := o.dialect.TimeLeft(left)
		o.request.Header.Set(f.Name, f.Value)
	}
	if ctx.Err() != nil || o.client.clientLeft() || !o.hooks.MaySend() {
		return errUnsent
	}
	out := bufio.NewWriterSize(c, readBuffer)
	if err := o.request.Write(out); err != nil {
		return err
	}
	return out.Flush()
}

// exchange writes a request and reads the head of its answer. If that fails, it returns a nil
// exchange and the result of the attempt. Before the last byte is written, no server can have
// executed the request, so the result allows any retry. After that, the request may have executed.
func (s *Servers) exchange(ctx context.Context, to routing.Server, o outgoing) (*exchange, balance.Result) {
	o.dialect = s.dialect
	c, err := s.pool.take(ctx, to)
	if err != nil {
		if errors.Is(err, errNoSocket) {
			return nil, balance.NotSent
		}
		return nil, failureResult(ctx, balance.NotSent, balance.NoConnection)
	}
	x := &exchange{servers: s, conn: c, resp: fasthttp.AcquireResponse()}
	x.stop = context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	answered := false
	defer func() {
		if !answered {
			x.close()
		}
	}()
	if err := o.write(ctx, c); err != nil {
		unsent := errors.Is(err, errUnsent)
		x.complete = unsent // the connection can be reused
		if unsent {
			return nil, balance.NotSent
		}
		return nil, failureResult(ctx, balance.NotSent, balance.NoConnection)
	}
	o.hooks.Written()
	if err := x.readAnswer(ctx, o.id); err != nil {
		errors.As(err, &x.malformed)
		return nil, x.failed(ctx, balance.TimedOut)
	}
	answered = true
	return x, balance.OK
}

// header returns a header of the answer.
func (x *exchange) header(name string) string { return string(x.resp.Header.Peek(name)) }

// readAnswer reads the head of the answer to the request with the given ID. It skips surplus
// answers to earlier requests.
func (x *exchange) readAnswer(ctx context.Context, id string) error {
	for range maxInterimAnswers {
		if err := x.readHead(ctx); err != nil {
			return err
		}
		if id == "" || !x.servers.dialect.AnswersOther(id, x.header) {
			return nil
		}
		if x.content != nil {
			if _, err := io.CopyN(io.Discard, x.content, maxErrorBody); err != io.EOF {
				return routing.ErrMalformedAnswer
			}
		}
		x.resp.Reset()
		x.content = nil
	}
	return &malformedAnswerError{errTooManyInterim}
}

// readHead reads the head of the answer and skips any 1xx answers before it. It waits for the first
// byte of each head until ctx ends, but no longer than headTimeout for each further read. Otherwise
// a head that stops halfway would use up the time in which another server could answer.
func (x *exchange) readHead(ctx context.Context) error {
	for range maxInterimAnswers {
		if _, err := x.conn.in.Peek(1); err != nil {
			return err
		}
		x.conn.head = ctx
		err := readResponseHead(x.conn.in, &x.resp.Header)
		x.conn.head = nil
		if err != nil {
			return err
		}
		x.conn.SetReadDeadline(time.Time{})
		if err := ctx.Err(); err != nil {
			return err
		}
		if final, err := isFinal(&x.resp.Header); err != nil {
			return err
		} else if final {
			return x.openBody()
		}
	}
	return &malformedAnswerError{errTooManyInterim}
}

// openBody opens the body of the answer whose head was just read.
func (x *exchange) openBody() (err error) {
	code := x.resp.StatusCode()
	if code == fasthttp.StatusNoContent || code == fasthttp.StatusNotModified {
		return nil // has no body, whatever the head says
	}
	x.body.exchange, x.content = x, &x.body
	x.body.from, err = openBody(x.conn.in, x.resp, &x.body.chunked)
	return err
}

// Answers that are malformed as answers to the request that was sent.
var (
	errProtocolSwitched = errors.New("the server switches to a protocol that was not asked for")
	errTooManyInterim   = fmt.Errorf("more than %d interim answers, or answers to other requests", maxInterimAnswers)
)

// answerBody is the body of an answer, whose errors tell a malformed body from a connection that
// failed.
type answerBody struct {
	exchange *exchange
	chunked  chunkedBody
	from     io.Reader // &chunked, or the reader of a body in another framing
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.from.Read(p)
	return n, b.exchange.bodyError(err)
}

// bodyError returns the error of a body given an error of its reader. If the connection works, the
// body is malformed.
func (x *exchange) bodyError(err error) error {
	if err == nil || err == io.EOF || x.conn.err != nil || errors.Is(err, errStopped) {
		return err
	}
	if !errors.As(err, &x.malformed) {
		x.malformed = &malformedAnswerError{err}
	}
	return x.malformed
}

// failed returns the result of an answer that broke off: onTimeout or a cancellation if ctx has
// ended, a reset if the connection failed, and an error otherwise, because the answer was malformed
// while its server still works.
func (x *exchange) failed(ctx context.Context, onTimeout balance.Result) balance.Result {
	onBroken := balance.Error
	if x.conn.err != nil && !errors.Is(x.conn.err, os.ErrDeadlineExceeded) {
		onBroken = balance.Reset
	}
	return failureResult(ctx, onTimeout, onBroken)
}

// commit removes the deadline: the answer has begun, so from now on only the end of ctx may stop
// it. It returns false if the deadline passed first.
func (x *exchange) commit(ctx context.Context) bool {
	if !x.stop() {
		return false
	}
	x.stop = context.AfterFunc(ctx, func() { x.conn.SetDeadline(time.Unix(1, 0)) })
	return true
}

// readBody reads the body of an answer that is not a stream.
func (x *exchange) readBody() ([]byte, error) {
	if x.content == nil { // a status without a body, such as 204
		return nil, nil
	}
	text, err := io.ReadAll(io.LimitReader(x.content, maxErrorBody))
	if err == nil && len(text) == maxErrorBody {
		return nil, fmt.Errorf("answer body has more than %d bytes", maxErrorBody)
	}
	return text, err
}

// close returns the connection to the pool if the answer was read completely, and closes the
// connection otherwise. It records a malformed answer.
func (x *exchange) close() {
	if x.malformed != nil {
		x.servers.malformed.record(x.conn.to.ID, x.malformed.cause)
	}
	reuse := x.stop() && x.complete && !x.resp.ConnectionClose()
	if keep := x.servers.dialect.KeepAlive(x.header); keep > 0 {
		x.conn.idleTimeout = safeIdleTime(keep)
	}
	x.servers.endTracking(x.conn)
	fasthttp.ReleaseResponse(x.resp)
	if reuse {
		x.servers.pool.put(x.conn)
	} else {
		x.servers.pool.discard(x.conn)
	}
}

// failureResult returns the result of an exchange that broke off: cancelled if its client has left,
// onTimeout if its time is over, and onBroken if the connection broke. The caller chooses onTimeout
// and onBroken, because they depend on whether the request was sent.
func failureResult(ctx context.Context, onTimeout, onBroken balance.Result) balance.Result {
	switch ctx.Err() {
	case context.Canceled:
		return balance.Cancelled
	case context.DeadlineExceeded:
		return onTimeout
	}
	return onBroken
}
