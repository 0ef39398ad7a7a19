package transport

import (
	"context"
	"fmt"
	"io"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

const (
	// maxFirstEvent bounds a stream's first event, in bytes, and maxStream all of it, by the
	// platform's bound for any body: a chunk that is said to have gigabytes would go on for ever.
	maxFirstEvent = 64 << 10
	maxStream     = MaxBody
)

// body is a stream of completions from a server. It implements routing.Body.
type body struct {
	*exchange
	ctx        context.Context
	text       io.Reader
	firstEvent []byte // read by open, for the next Read
	endErr     error  // of open, for the Read after that
	size       int    // bytes read so far
	events     protocol.StreamReader

	message      *Message
	readDeadline time.Time // of the next read after a stopped move, 0 for the usual
}

// open waits for the first complete event. Until then another server may still serve the request.
func (b *body) open() error {
	buf := make([]byte, readBuffer)
	for len(b.firstEvent) < maxFirstEvent {
		n, err := b.readNext(buf)
		b.firstEvent = append(b.firstEvent, buf[:n]...)
		if protocol.HasEvent(b.firstEvent) {
			b.endErr = err
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errMalformedAnswer
}

// Read returns what has come. A stream that breaks, times out or is malformed gives an error other
// than io.EOF.
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

// readNext reads from the connection. What is no stream of events is not forwarded: a chunk of a
// wrong size has the framing of the next one in its text.
func (b *body) readNext(p []byte) (int, error) {
	if b.stoppedForMove() {
		if b.move() {
			return 0, routing.ErrHandedOver
		}
	}
	deadline := time.Now().Add(b.servers.streamIdleTimeout)
	if !b.readDeadline.IsZero() { // the time before a stop counts
		deadline, b.readDeadline = b.readDeadline, time.Time{}
	}
	b.conn.SetReadDeadline(deadline)
	if err := b.ctx.Err(); err != nil { // after the line above, lest it undo the end of ctx
		return 0, err
	}
	n, err := b.text.Read(p)
	if b.stoppedForMove() {
		err = nil // the next call sees to it
	}
	if err == io.EOF && b.resp.Header.ContentLength() < -1 {
		// Neither length nor chunks: an end of the connection does not say that the stream was
		// complete.
		err = io.ErrUnexpectedEOF
	}
	b.size += n
	if !b.events.Feed(p[:n]) || b.size > maxStream {
		return 0, errMalformedAnswer
	}
	b.complete = err == io.EOF
	if err != nil && err != io.EOF && b.conn.err == nil {
		err = fmt.Errorf("%w: %w", errMalformedAnswer, err)
	}
	return n, err
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
