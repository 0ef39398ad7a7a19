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
	// maxErrorBody bounds the body of an answer that is not forwarded as it comes, in bytes.
	maxErrorBody = 64 << 10
	// headTimeout is how long each read of a head that has begun may take. A server writes a head
	// at once, however it is split on its way.
	headTimeout = time.Second
	// maxInterimAnswers bounds the 1xx answers, and those to other requests, before the answer
	// itself.
	maxInterimAnswers = 100
)

// exchange is one request on a connection, and its answer from the head on.
type exchange struct {
	servers  *Servers
	conn     *conn
	resp     *fasthttp.Response
	stop     func() bool // ends the effect of the context
	complete bool        // the answer was read to its end
}

// outgoing is a request on its way to a server.
type outgoing struct {
	request  *fasthttp.Request
	deadline time.Time   // that the server is given, none if zero
	client   *clientConn // that waits for the answer, nil for none in particular
	hooks    routing.SendHooks

	dialect   protocol.Dialect
	id        string // answers to requests of other IDs are skipped; empty for none
	fixedHost bool   // the Host header is the client's
}

// errUnsent says that nothing of a request was written, so that it may be retried as if there had
// been no attempt.
var errUnsent = errors.New("nobody waits for the answer any more, or the server gets nothing new")

// write writes a request, unless nobody waits for its answer any more or the server gets nothing
// new. That is checked, and the time left worked out, at the last moment: the connection may have
// taken a while to come up.
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

// exchange writes a request and reads the head of its answer. Without one it returns the result.
// Until the last byte was written no server can have executed the request, so the result is one
// that allows any retry; after it the request may have executed.
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
	if err := o.write(ctx, c); err != nil {
		unsent := errors.Is(err, errUnsent)
		x.complete = unsent // the connection can be used again
		x.close()
		if unsent {
			return nil, balance.NotSent
		}
		return nil, failureResult(ctx, balance.NotSent, balance.NoConnection)
	}
	o.hooks.Written()
	if err := x.readAnswer(ctx, o.id); err != nil {
		result := x.failed(ctx, balance.TimedOut)
		x.close()
		return nil, result
	}
	return x, balance.OK
}

// header returns a header of the answer.
func (x *exchange) header(name string) string { return string(x.resp.Header.Peek(name)) }

// readAnswer reads the head of the answer to the request with the ID, and skips surplus answers to
// earlier requests before it.
func (x *exchange) readAnswer(ctx context.Context, id string) error {
	for range maxInterimAnswers {
		if err := x.readHead(ctx); err != nil {
			return err
		}
		if id == "" || !x.servers.dialect.AnswersOther(id, x.header) {
			return nil
		}
		if body := x.resp.BodyStream(); body != nil {
			if _, err := io.CopyN(io.Discard, body, maxErrorBody); err != io.EOF {
				return errMalformedAnswer
			}
		}
		x.resp.Reset()
	}
	return errMalformedAnswer
}

// readHead reads the head of the answer, after any 1xx. It waits for the first byte of each as long
// as ctx lasts, but not for the rest: a head that stops half-way would take all the time that
// another server might use.
func (x *exchange) readHead(ctx context.Context) error {
	for range maxInterimAnswers {
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
			return errMalformedAnswer
		}
	}
	return errMalformedAnswer
}

// errMalformedAnswer says that an answer can't be read although its connection is well.
var errMalformedAnswer = fmt.Errorf("%w: the answer can not be read", routing.ErrMalformedAnswer)

// failed returns the result of an answer that broke off: by the end of ctx, with the connection, or
// else because it was malformed, which its server outlives.
func (x *exchange) failed(ctx context.Context, onTimeout balance.Result) balance.Result {
	onBroken := balance.Error
	if x.conn.err != nil && !errors.Is(x.conn.err, os.ErrDeadlineExceeded) {
		onBroken = balance.Reset
	}
	return failureResult(ctx, onTimeout, onBroken)
}

// commit takes off the deadline: the answer has begun, so only the end of ctx may end it. It
// returns false if the deadline was first.
func (x *exchange) commit(ctx context.Context) bool {
	if !x.stop() {
		return false
	}
	x.stop = context.AfterFunc(ctx, func() { x.conn.SetDeadline(time.Unix(1, 0)) })
	return true
}

// readBody reads the body of an answer that is no stream.
func (x *exchange) readBody() ([]byte, error) {
	if x.resp.BodyStream() == nil { // a status that has no body, such as 204
		return nil, nil
	}
	text, err := io.ReadAll(io.LimitReader(x.resp.BodyStream(), maxErrorBody))
	if err == nil && len(text) == maxErrorBody {
		return nil, fmt.Errorf("more than %d bytes", maxErrorBody)
	}
	return text, err
}

// close returns the connection to the pool if the answer was read to its end, and closes it
// otherwise.
func (x *exchange) close() {
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

// ended returns the result of an exchange that broke off: because its client left, because its time
// was over, or else because the connection broke. What the last two mean depends on whether the
// request was sent.
func failureResult(ctx context.Context, onTimeout, onBroken balance.Result) balance.Result {
	switch ctx.Err() {
	case context.Canceled:
		return balance.Cancelled
	case context.DeadlineExceeded:
		return onTimeout
	}
	return onBroken
}
