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

// Forward says how a request in the fleet's dialect is forwarded: with the headers of its client,
// and with the server's answer passed back unchanged.
type Forward struct {
	Header            []protocol.Field // headers to send, including Host
	Events            bool             // the answer is a stream of events
	FirstEventTimeout time.Duration    // until the answer, or a stream's first event; 0 means that only the deadline applies
	IdleTimeout       time.Duration    // of a stream; 0 for the timeout of Servers
	// Admit reports, right before an attempt is sent, whether it may be sent; if not, wait is when
	// the client should retry. Nil allows all attempts. See routing.Readmitter.
	Admit       func(retry bool) (ok bool, wait time.Duration)
	LastEventID string // of a resumed stream: the last event that the client has; empty for none
	// Version is the only acceptable version of an answer, 0 for any. The request asks the server
	// for this version, and the server must confirm it.
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
	if f.LastEventID != "" {
		to.Set(protocol.HeaderLastEventID, f.LastEventID)
	}
	if f.Version > 0 {
		to.Set(protocol.HeaderExpectVersion, strconv.FormatInt(f.Version, 10))
	}
}

// errVersion says that an answer, or the rest of it, does not have the version that the request
// requires.
var errVersion = fmt.Errorf("%w: the answer is of another version", routing.ErrUnacceptable)

// rejectedForVersion reports whether a server did not execute a request because the server has
// another version. Any request may be retried after that.
func (f *Forward) rejectedForVersion(status int) bool {
	return f != nil && f.Version > 0 && status == fasthttp.StatusMisdirectedRequest
}

// checkVersion returns errVersion unless the version is acceptable.
func (f *Forward) checkVersion(version string) error {
	if f.Version == 0 {
		return nil
	}
	if v, err := strconv.ParseInt(strings.TrimSpace(version), 10, 64); err != nil || v != f.Version {
		return errVersion
	}
	return nil
}

// Final is a server's own answer, to be forwarded unchanged.
type Final struct {
	Status int
	Header []protocol.Field
	Body   []byte // the complete body; nil if the body is read from elsewhere
	Length int    // of a body that is read from elsewhere, as the server announced it; -1 for chunked
}

// usualFields is how many fields of an answer are expected to be forwarded.
const usualFields = 16

// answer copies the head of an answer, without the headers that concern only one connection.
func (f *Forward) answer(resp *fasthttp.Response) *Final {
	final := &Final{Status: resp.StatusCode(), Length: resp.Header.ContentLength(), Header: make([]protocol.Field, 0, usualFields)}
	for name, value := range resp.Header.All() {
		if n := string(name); !protocol.ConnectionField(n) {
			final.Header = append(final.Header, protocol.Field{Name: n, Value: string(value)})
		}
	}
	return final
}

// NewForwarded returns the message of a request that is forwarded with its client's headers.
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

// ResumeAfter returns a copy of m that continues a stream after an event and accepts only answers
// with the given version, 0 for any. The function admit replaces the previous one.
func (m *Message) ResumeAfter(event string, version int64, admit func(retry bool) (ok bool, wait time.Duration)) *Message {
	c, f := *m, *m.forward
	f.LastEventID, f.Version, f.Admit, c.forward = event, version, admit, &f
	return &c
}

// Admit implements routing.Readmitter.
func (m *Message) Admit(retry bool) (ok bool, wait time.Duration) {
	if m.forward == nil || m.forward.Admit == nil {
		return true, 0
	}
	return m.forward.Admit(retry)
}

// FinalOf returns the head of an answer that has begun.
func FinalOf(s *routing.Stream) *Final {
	if h, ok := s.Body().(hasFinal); ok {
		return h.Final()
	}
	return &Final{Status: fasthttp.StatusOK, Length: -1}
}

// WriteFinal writes a server's own answer. It does not write a body that is read from elsewhere.
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

// WriteRejection writes a rejection as an answer.
func WriteRejection(ctx *fasthttp.RequestCtx, rejection Rejection) {
	if rejection.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", protocol.FormatRetryAfter(rejection.RetryAfter))
	}
	if !rejection.KeepAlive {
		reject(ctx, rejection.Code, rejection.Text)
		return
	}
	answerLine(ctx, rejection.Code, rejection.Text)
}

// maxBufferedAnswer bounds the size, in bytes, of an answer that is read completely before any of
// it goes to the client. Until then another server may still serve the request if the answer breaks
// off.
const maxBufferedAnswer = 64 << 10

// errPartial says that an answer ended before its announced length, or without a sign that it was
// complete.
var errPartial = errors.New("the answer ended early")

// forwardAnswer returns the body of an answer in the fleet's dialect once the first event of a
// stream, or the complete answer, has arrived. An answer that is not a stream may be returned after
// its first maxBufferedAnswer bytes.
func (s *Servers) forwardAnswer(ctx, headCtx context.Context, x *exchange, msg *Message) routing.AttemptResult {
	var body routing.Body
	err := msg.forward.checkVersion(x.header(protocol.HeaderVersions))
	if err != nil {
		load := s.readLoad(x)
		x.close()
		return routing.AttemptResult{Result: balance.Cancelled, Load: load}
	}
	if msg.forward.Events {
		b := &events{exchange: x, ctx: headCtx, final: msg.forward.answer(x.resp), idleTimeout: msg.forward.IdleTimeout, version: msg.forward.checkVersion}
		if b.idleTimeout == 0 {
			b.idleTimeout = s.streamIdleTimeout
		}
		if err = b.last.Set(msg.forward.LastEventID); err == nil {
			err = b.open()
		}
		body = b
	} else {
		b := &bufferedAnswer{exchange: x, final: msg.forward.answer(x.resp)}
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

// Version returns the version that the answer states, 0 if it states none.
func (f *Final) Version() int64 {
	for _, h := range f.Header {
		if strings.EqualFold(h.Name, protocol.HeaderVersions) {
			v, _ := strconv.ParseInt(strings.TrimSpace(h.Value), 10, 64)
			return v
		}
	}
	return 0
}

// hasFinal is implemented by a body that has a head of its own.
type hasFinal interface{ Final() *Final }

// bufferedAnswer is an answer that is not a stream.
type bufferedAnswer struct {
	*exchange
	final    *Final
	buffered []byte // read by open, and returned by the next calls of Read
	endErr   error  // returned after buffered; nil if there is more to read
}

// open reads the answer up to maxBufferedAnswer bytes, which includes its end if it is shorter.
func (b *bufferedAnswer) open() error {
	if b.content == nil {
		b.final.Body, b.complete, b.endErr = []byte{}, true, io.EOF
		return nil
	}
	text, err := b.readBuffered()
	switch {
	case err != nil:
		return err
	case len(text) == maxBufferedAnswer:
		b.buffered = text
		return nil
	case b.final.Length >= 0 && len(text) != b.final.Length:
		return fmt.Errorf("%w: %d of %d bytes", errPartial, len(text), b.final.Length)
	case b.final.Length < -1:
		return fmt.Errorf("%w: neither length nor chunks", errPartial)
	}
	b.buffered, b.complete, b.endErr = text, true, io.EOF
	b.final.Length = len(text)
	return nil
}

// readBuffered reads the first maxBufferedAnswer bytes.
func (b *bufferedAnswer) readBuffered() ([]byte, error) {
	var text bytes.Buffer
	if b.final.Length > 0 {
		text.Grow(min(b.final.Length, readBuffer) + bytes.MinRead) // as much as a small answer needs
	}
	_, err := text.ReadFrom(io.LimitReader(b.content, maxBufferedAnswer))
	return text.Bytes(), err
}

// Final implements hasFinal.
func (b *bufferedAnswer) Final() *Final { return b.final }

// Read implements routing.Body.
func (b *bufferedAnswer) Read(p []byte) (int, error) {
	if len(b.buffered) > 0 {
		n := copy(p, b.buffered)
		b.buffered = b.buffered[n:]
		return n, nil
	}
	if b.endErr != nil {
		return 0, b.endErr
	}
	n, err := b.content.Read(p)
	b.complete = err == io.EOF
	return n, err
}

// End implements routing.Body.
func (b *bufferedAnswer) End() (float64, *balance.Load) {
	load := b.servers.readLoad(b.exchange)
	b.close()
	return 0, load
}
