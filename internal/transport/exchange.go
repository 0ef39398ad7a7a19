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
	// mostRefusal bounds the body of an answer that is no stream.
	mostRefusal = 64 << 10
	// headIn is how long a head that has begun may be silent. A server writes it at once, in whatever pieces.
	headIn = time.Second
	// mostInterim bounds the 1xx answers, and those to other requests, before the answer itself.
	mostInterim = 100
)

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

	dialect   protocol.Dialect
	id        string // answers to requests of other ids are passed over; empty for none
	fixedHost bool   // the Host header is the client's
}

// errUnsent says that nothing of a request was written.
var errUnsent = errors.New("nobody waits for the answer any more")

// write writes a request, unless nobody waits for its answer any more. That is looked at, and what is left of the
// deadline worked out, at the last moment: the connection may have taken a while to come up.
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
func (s *Servers) exchange(ctx context.Context, to routing.Server, o outgoing) (*exchange, balance.Result) {
	o.dialect = s.dialect
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
	if err := x.readOwn(ctx, o.id); err != nil {
		result := x.failed(ctx, balance.TimedOut)
		x.close()
		return nil, result
	}
	return x, balance.OK
}

// header reads a header of the answer.
func (x *exchange) header(name string) string { return string(x.resp.Header.Peek(name)) }

// readOwn reads the head of the answer to the request with the id, and passes over surplus answers to earlier requests that come
// before it.
func (x *exchange) readOwn(ctx context.Context, id string) error {
	for range mostInterim {
		if err := x.readHead(ctx); err != nil {
			return err
		}
		if id == "" || !x.servers.dialect.Foreign(id, x.header) {
			return nil
		}
		if body := x.resp.BodyStream(); body != nil {
			if _, err := io.CopyN(io.Discard, body, mostRefusal); err != io.EOF {
				return errSpoilt
			}
		}
		x.resp.Reset()
	}
	return errSpoilt
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
var errSpoilt = fmt.Errorf("%w: the answer can not be read", routing.ErrMalformedAnswer)

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
	if keep := x.servers.dialect.KeepAlive(x.header); keep > 0 {
		x.conn.idleFor = idlePart(keep)
	}
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
