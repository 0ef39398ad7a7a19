package transport

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"reachspread/balance"
	"reachspread/internal/routing"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// eventID is the ID of an event. IDs increase within a stream.
type eventID struct {
	value uint64
	known bool
}

// Set parses an ID. An empty text means no ID.
func (e *eventID) Set(text string) error {
	if text == "" {
		return nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("%w: event id %q is not a number", routing.ErrMalformedAnswer, text)
	}
	*e = eventID{v, true}
	return nil
}

// String returns the ID in decimal, or the empty string if there is none.
func (e eventID) String() string {
	if !e.known {
		return ""
	}
	return strconv.FormatUint(e.value, 10)
}

// events is a stream of events from a server. It forwards only complete events, so that another
// server can continue a stream that breaks. It implements routing.Body.
type events struct {
	*exchange
	ctx         context.Context
	final       *Final
	idleTimeout time.Duration
	chunk       [readBuffer]byte // read last
	buffered    []byte           // read but not forwarded yet
	ready       int              // length of the complete events at the start of buffered
	last        eventID          // ID of the last event that was forwarded or is ready
	// version checks the version of an event.
	version func(version string) error
	endErr  error // error of the last read
}

// open waits for the first complete event. Until then another server may still serve the request.
func (b *events) open() error {
	for b.ready == 0 && b.endErr == nil {
		b.fill()
	}
	if b.ready == 0 && b.endErr != io.EOF {
		return b.endErr
	}
	return nil
}

// Final implements hasFinal.
func (b *events) Final() *Final { return b.final }

// LastEvent returns the ID of the last event that was forwarded, empty for none.
func (b *events) LastEvent() string { return b.last.String() }

// Read returns complete events. If the stream breaks, times out or is malformed, the error is not
// io.EOF.
func (b *events) Read(p []byte) (int, error) {
	for b.ready == 0 {
		if b.endErr != nil {
			return 0, b.endErr
		}
		b.fill()
	}
	n := copy(p, b.buffered[:b.ready])
	b.buffered, b.ready = b.buffered[n:], b.ready-n
	return n, nil
}

// fill reads the next bytes and finds the complete events in them.
func (b *events) fill() {
	b.conn.SetReadDeadline(time.Now().Add(b.idleTimeout))
	if err := b.ctx.Err(); err != nil { // checked after setting the deadline, which would otherwise override the one set when ctx ended
		b.endErr = err
		return
	}
	if b.content == nil {
		b.endErr = routing.ErrMalformedAnswer
		return
	}
	n, err := b.content.Read(b.chunk[:])
	b.buffered = append(b.buffered, b.chunk[:n]...)
	if bad := b.scan(); bad != nil {
		b.endErr = bad
		return
	}
	if err == nil {
		return
	}
	b.endErr = err
	if err == io.EOF && (b.resp.Header.ContentLength() < -1 || b.ready < len(b.buffered)) {
		// Without a length or chunked framing, the end of the connection does not show that the
		// stream was complete, and an unfinished event shows that it was not.
		b.endErr = io.ErrUnexpectedEOF
		return
	}
	b.complete = err == io.EOF
}

var (
	eventEnd  = []byte("\n\n")
	eventEnd2 = []byte("\r\n\r\n")
	idField   = []byte("id:")
	// versionsField is in the first line of an event at which a server's version changes.
	versionsField = []byte("versions:")
)

// scan moves ready to the end of the last complete event in buffered.
func (b *events) scan() error {
	for {
		rest := b.buffered[b.ready:]
		end, size := bytes.Index(rest, eventEnd), len(eventEnd)
		if other := bytes.Index(rest, eventEnd2); other >= 0 && (end < 0 || other < end) {
			end, size = other, len(eventEnd2)
		}
		if end < 0 {
			if len(rest) > maxEvent {
				return fmt.Errorf("%w: an event of more than %d bytes", routing.ErrMalformedAnswer, maxEvent)
			}
			return nil
		}
		if err := b.checkEvent(rest[:end]); err != nil {
			return err
		}
		b.ready += end + size
	}
}

// checkEvent checks a complete event: its ID must be greater than the previous one, and its version
// must be acceptable.
func (b *events) checkEvent(event []byte) error {
	if err := b.checkVersion(event); err != nil {
		return err
	}
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, idField)
		if !ok {
			continue
		}
		var id eventID
		if err := id.Set(string(bytes.TrimSpace(value))); err != nil {
			return err
		}
		if id.known && b.last.known && id.value <= b.last.value {
			return fmt.Errorf("%w: event %d after event %d", routing.ErrMalformedAnswer, id.value, b.last.value)
		}
		b.last = id
	}
	return nil
}

// checkVersion checks the version of an event, if the event states one.
func (b *events) checkVersion(event []byte) error {
	for line := range bytes.Lines(event) {
		if version, ok := bytes.CutPrefix(line, versionsField); ok {
			return b.version(string(version))
		}
	}
	return nil
}

// End implements routing.Body.
func (b *events) End() (float64, *balance.Load) {
	load := b.servers.readLoad(b.exchange)
	b.close()
	return 0, load
}

var _ routing.Body = (*events)(nil)
