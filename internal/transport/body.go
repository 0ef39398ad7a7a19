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
	// mostOpening bounds a stream's first event, and mostStream, the platform's word for any body, all of a stream: a chunk said
	// to hold gigabytes would go on for ever.
	mostOpening = 64 << 10
	mostStream  = MaxBody
)

// body is a stream on its way from a server. It implements routing.Body.
type body struct {
	*exchange
	ctx   context.Context
	text  io.Reader
	first []byte // read by open, due to the next Read
	end   error  // that open came to
	size  int    // read so far
	notes protocol.Notes

	message *Message
	quietTo time.Time // of the next read, where it goes on after a stop
}

// open waits for the first whole event. Up to there, another server may still serve the request.
func (b *body) open() error {
	buf := make([]byte, readBuffer)
	for len(b.first) < mostOpening {
		n, err := b.next(buf)
		b.first = append(b.first, buf[:n]...)
		if protocol.HasEvent(b.first) {
			b.end = err
			return nil
		}
		if err != nil {
			return err
		}
	}
	return errSpoilt
}

// Read passes on what has come. A broken, silent or spoilt stream gives an error other than io.EOF.
func (b *body) Read(p []byte) (int, error) {
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	if b.end != nil {
		return 0, b.end
	}
	return b.next(p)
}

// next reads from the connection. What is no stream of events is not passed on: a chunk of the wrong size has the
// next one's framing among its text.
func (b *body) next(p []byte) (int, error) {
	if b.interrupted() {
		if b.move() {
			return 0, routing.ErrHandedOver
		}
	}
	quietTo := time.Now().Add(b.servers.silent)
	if !b.quietTo.IsZero() { // what went before a stop counts
		quietTo, b.quietTo = b.quietTo, time.Time{}
	}
	b.conn.SetReadDeadline(quietTo)
	if err := b.ctx.Err(); err != nil { // after the line above, lest it undo the end of ctx
		return 0, err
	}
	n, err := b.text.Read(p)
	if b.interrupted() {
		err = nil // the next call sees to it
	}
	if err == io.EOF && b.resp.Header.ContentLength() < -1 {
		// Neither length nor chunks: an end of the connection does not tell that the stream was whole.
		err = io.ErrUnexpectedEOF
	}
	if b.size += n; !b.notes.Feed(p[:n]) || b.size > mostStream {
		return 0, errSpoilt
	}
	b.whole = err == io.EOF
	if err != nil && err != io.EOF && b.conn.err == nil {
		err = fmt.Errorf("%w: %w", errSpoilt, err)
	}
	return n, err
}

// End implements routing.Body.
func (b *body) End() (float64, *balance.Load) {
	load := b.notes.Load
	if load == nil {
		load = b.servers.readLoad(b.exchange)
	}
	if load != nil || b.notes.Err != nil {
		b.servers.judgeLoad(b.conn.to.ID, b.notes.Err)
	}
	b.close()
	return b.notes.Kept, load
}
