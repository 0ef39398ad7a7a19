package transport

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

// Forward says how a request of the fleet's dialect is passed on: with the headers of its client, to be answered as the server
// answers.
type Forward struct {
	Header  []protocol.Field // as they are passed along, Host among them
	Events  bool             // the answer is a stream of events
	FirstIn time.Duration    // the answer must have begun by then, of a stream its first event; 0 for no bound but the deadline
	Silent  time.Duration    // a stream that says nothing for so long is taken for dead; 0 for the usual
	// Admit allows an attempt right before it is sent, nil for all; see routing.Readmitter.
	Admit func(again bool) (ok bool, wait time.Duration)
	After string // of a resumed stream, the id of the last event that the client has; empty for none
	// Version is the only one whose answers count, 0 for all: the server is told of it, and must say that it has it.
	Version int64
}

// head writes the client's headers.
func (f *Forward) head(to *fasthttp.RequestHeader) {
	for _, h := range f.Header {
		if h.Name == fasthttp.HeaderHost {
			to.SetHost(h.Value)
			continue
		}
		to.Add(h.Name, h.Value)
	}
	if f.After != "" {
		to.Set(protocol.HeaderLastEventID, f.After)
	}
	if f.Version > 0 {
		to.Set(protocol.HeaderExpectVersion, strconv.FormatInt(f.Version, 10))
	}
}

// errVersion says that an answer, or its rest, is not of the version that alone counts.
var errVersion = fmt.Errorf("%w: the answer is of another version", routing.ErrUnacceptable)

// turnedAway tells that a server has not run a request as it has another version than the one that counts.
func (f *Forward) turnedAway(status int) bool {
	return f != nil && f.Version > 0 && status == fasthttp.StatusMisdirectedRequest
}

// checkVersion tells whether an answer that says it is of a version counts.
func (f *Forward) checkVersion(said string) error {
	if f.Version == 0 {
		return nil
	}
	if v, err := strconv.ParseInt(strings.TrimSpace(said), 10, 64); err != nil || v != f.Version {
		return errVersion
	}
	return nil
}

// Final is a server's own answer, to be passed on unchanged.
type Final struct {
	Status int
	Header []protocol.Field
	Body   []byte // whole; nil for a body that is read from elsewhere
	Length int    // of a body that is read, as the server announced it; -1 for chunks
}

// answer copies the head of an answer, but for what concerns one connection.
func (f *Forward) answer(resp *fasthttp.Response) *Final {
	final := &Final{Status: resp.StatusCode(), Length: resp.Header.ContentLength()}
	for name, value := range resp.Header.All() {
		if n := string(name); !protocol.ConnectionField(n) {
			final.Header = append(final.Header, protocol.Field{Name: n, Value: string(value)})
		}
	}
	return final
}

// NewForwarded returns the message of a request that is passed on with its client's headers.
func NewForwarded(ctx *fasthttp.RequestCtx, body []byte, f *Forward) *Message {
	header := &ctx.Request.Header
	return &Message{
		method:  bytes.Clone(header.Method()),
		uri:     bytes.Clone(header.RequestURI()),
		id:      bytes.Clone(header.Peek(protocol.HeaderRequestID)),
		body:    body,
		forward: f,
	}
}

// After returns a copy that goes on with a stream behind an event, with an answer of a version alone, 0 for any. Admit takes the place of the
// one before.
func (m *Message) After(event string, version int64, admit func(again bool) (ok bool, wait time.Duration)) *Message {
	c, f := *m, *m.forward
	f.After, f.Version, f.Admit, c.forward = event, version, admit, &f
	return &c
}

// Admit implements routing.Readmitter.
func (m *Message) Admit(again bool) (ok bool, wait time.Duration) {
	if m.forward == nil || m.forward.Admit == nil {
		return true, 0
	}
	return m.forward.Admit(again)
}

// FinalOf is the head of an answer that is on its way.
func FinalOf(s *routing.Stream) *Final {
	if h, ok := s.Body().(headed); ok {
		return h.Final()
	}
	return &Final{Status: fasthttp.StatusOK, Length: -1}
}

// WriteFinal writes a server's own answer; a body that is read from elsewhere is not written.
func WriteFinal(ctx *fasthttp.RequestCtx, final *Final) {
	ctx.SetStatusCode(final.Status)
	ctx.Response.Header.SetNoDefaultContentType(true)
	for _, h := range final.Header {
		if h.Name == fasthttp.HeaderContentType {
			ctx.Response.Header.SetContentType(h.Value)
			continue
		}
		ctx.Response.Header.Add(h.Name, h.Value)
	}
	if final.Body != nil {
		ctx.SetBody(final.Body)
	}
}

// Refuse writes an answer of the router's own.
func Refuse(ctx *fasthttp.RequestCtx, no Rejection) {
	if no.Wait > 0 {
		ctx.Response.Header.Set("Retry-After", protocol.FormatRetryAfter(no.Wait))
	}
	if !no.Keep {
		reject(ctx, no.Code, no.Line)
		return
	}
	answerLine(ctx, no.Code, no.Line)
}

// mostBuffered bounds the answers that are read whole before any of them goes to the client, so that one which breaks off may
// still be had from another server.
const mostBuffered = 64 << 10

// errPartial says that an answer ended before its announced length.
var errPartial = errors.New("the answer ended early")

// forwarded returns the body of an answer of the fleet's dialect, once its first event, or all of it, is there.
func (s *Servers) forwarded(ctx, headCtx context.Context, x *exchange, msg *Message) routing.AttemptResult {
	var body routing.Body
	err := msg.forward.checkVersion(x.header(protocol.HeaderVersions))
	if err != nil {
		load := s.readLoad(x)
		x.close()
		return routing.AttemptResult{Result: balance.Cancelled, Load: load}
	}
	if msg.forward.Events {
		b := &events{exchange: x, ctx: headCtx, final: msg.forward.answer(x.resp), silent: msg.forward.Silent, version: msg.forward.checkVersion}
		if b.silent == 0 {
			b.silent = s.silent
		}
		if err = b.last.Set(msg.forward.After); err == nil {
			err = b.open()
		}
		body = b
	} else {
		b := &plain{exchange: x, final: msg.forward.answer(x.resp)}
		err = b.open()
		body = b
	}
	if err == nil && x.commit(ctx) {
		if b, ok := body.(*events); ok {
			b.ctx = ctx
		}
		return routing.AttemptResult{Result: balance.OK, Body: body}
	}
	result := x.failed(headCtx, balance.TimedOut)
	if errors.Is(err, routing.ErrUnacceptable) {
		result = balance.Cancelled
	}
	load := s.readLoad(x)
	x.close()
	return routing.AttemptResult{Result: result, Load: load}
}

// Version is the version of which the answer says it is, 0 where it says none.
func (f *Final) Version() int64 {
	for _, h := range f.Header {
		if strings.EqualFold(h.Name, protocol.HeaderVersions) {
			v, _ := strconv.ParseInt(strings.TrimSpace(h.Value), 10, 64)
			return v
		}
	}
	return 0
}

// headed is a body that has an own head.
type headed interface{ Final() *Final }

// plain is an answer that is no stream.
type plain struct {
	*exchange
	final *Final
	begun []byte // read by open, due to the next reads
	over  error  // what open came to after them, nil for more to be read
}

// open reads the answer, whole where it is not too long.
func (b *plain) open() error {
	if b.resp.BodyStream() == nil {
		b.final.Body, b.whole, b.over = []byte{}, true, io.EOF
		return nil
	}
	text, err := io.ReadAll(io.LimitReader(b.resp.BodyStream(), mostBuffered))
	switch {
	case err != nil:
		return err
	case len(text) == mostBuffered:
		b.begun = text
		return nil
	case b.final.Length >= 0 && len(text) != b.final.Length:
		return fmt.Errorf("%w: %d of %d bytes", errPartial, len(text), b.final.Length)
	case b.final.Length < -1:
		return fmt.Errorf("%w: neither length nor chunks", errPartial)
	}
	b.begun, b.whole, b.over = text, true, io.EOF
	b.final.Length = len(text)
	return nil
}

// Final implements headed.
func (b *plain) Final() *Final { return b.final }

// Read implements routing.Body.
func (b *plain) Read(p []byte) (int, error) {
	if len(b.begun) > 0 {
		n := copy(p, b.begun)
		b.begun = b.begun[n:]
		return n, nil
	}
	if b.over != nil {
		return 0, b.over
	}
	n, err := b.resp.BodyStream().Read(p)
	b.whole = err == io.EOF
	return n, err
}

// End implements routing.Body.
func (b *plain) End() (float64, *balance.Load) {
	load := b.servers.readLoad(b.exchange)
	b.close()
	return 0, load
}
