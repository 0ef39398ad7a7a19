package transport

import (
	"context"
	"io"
	"slices"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

const (
	// maxFirstEvent bounds the first event of a stream and maxStream the whole stream, both in
	// bytes. maxStream is the platform's bound for any body. Without it, a chunk with an announced
	// size of gigabytes would never end.
	maxFirstEvent = 64 << 10
	maxStream     = MaxBody
)

// body is a stream of completions from a server. It implements routing.Body.
type body struct {
	*exchange
	ctx        context.Context
	text       io.Reader
	firstEvent []byte // read by open, and returned by the next calls of Read
	endErr     error  // error found by open, and returned by Read after firstEvent
	size       int    // bytes read so far
	events     protocol.StreamReader

	message      *Message
	readDeadline time.Time // deadline of the next read after a failed move; zero for the usual one
}

// open waits for the first complete event. Until then another server may still serve the request.
func (b *body) open() error {
	for len(b.firstEvent) < maxFirstEvent {
		b.firstEvent = slices.Grow(b.firstEvent, readBuffer)
		size := len(b.firstEvent)
		n, err := b.readNext(b.firstEvent[size : size+readBuffer])
		b.firstEvent = b.firstEvent[:size+n]
		if protocol.HasEvent(b.firstEvent) {
			b.endErr = err
			return nil
		}
		if err != nil {
			return err
		}
	}
	return routing.ErrMalformedAnswer
}

// Read returns the bytes received so far. If the stream breaks, times out or is malformed, the
// error is not io.EOF.
func (b *body) Read(p []byte) (int, error) {
	if len(b.firstEvent) > 0 {
		n := copy(p, b.firstEvent)
		b.firstEvent = b.firstEvent[n:]
		return n, nil
	}
	if b.endErr != nil {
		return 0, b.endErr
	}
	return b.readNext(p)
}

// readNext reads from the connection. It does not forward data that is not an event stream: if a
// chunk has a wrong size, the framing of the next chunk ends up in its text.
func (b *body) readNext(p []byte) (int, error) {
	if b.stoppedForMove() {
		if b.move() {
			return 0, routing.ErrHandedOver
		}
	}
	deadline := time.Now().Add(b.servers.streamIdleTimeout)
	if !b.readDeadline.IsZero() { // the time before the failed move counts
		deadline, b.readDeadline = b.readDeadline, time.Time{}
	}
	b.conn.SetReadDeadline(deadline)
	if err := b.ctx.Err(); err != nil { // checked after setting the deadline, which would otherwise override the one set when ctx ended
		return 0, err
	}
	n, err := b.text.Read(p)
	if b.stoppedForMove() {
		err = nil // the next call handles the move
	}
	if err == io.EOF && b.resp.Header.ContentLength() < -1 {
		// Without a length or chunked framing, the end of the connection does not show that the
		// stream was complete.
		err = io.ErrUnexpectedEOF
	}
	b.size += n
	if !b.events.Feed(p[:n]) || b.size > maxStream {
		return 0, routing.ErrMalformedAnswer
	}
	b.complete = err == io.EOF
	return n, b.bodyError(err)
}

// End implements routing.Body.
func (b *body) End() (float64, *balance.Load) {
	load := b.events.Load
	if load == nil {
		load = b.servers.readLoad(b.exchange)
	}
	if load != nil || b.events.Err != nil {
		b.servers.recordLoadReport(b.conn.to.ID, b.events.Err)
	}
	b.close()
	return b.events.CachedTokens, load
}
