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

// eventID is the ID of an event. Those of a stream rise.
type eventID struct {
	value uint64
	known bool
}

// Set parses an ID. An empty text is no ID.
func (e *eventID) Set(text string) error {
	if text == "" {
		return nil
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return fmt.Errorf("%w: event id %q is not a number", errMalformedAnswer, text)
	}
	*e = eventID{v, true}
	return nil
}

// String returns the ID as it was, empty for none.
func (e eventID) String() string {
	if !e.known {
		return ""
	}
	return strconv.FormatUint(e.value, 10)
}

// events is a stream of events from a server. Only complete events are forwarded, so that another
// server can go on with a stream that breaks. It implements routing.Body.
type events struct {
	*exchange
	ctx         context.Context
	final       *Final
	idleTimeout time.Duration
	buffered    []byte  // read, and not forwarded
	ready       int     // bytes of complete events at its start
	last        eventID // of the events that were forwarded or are ready
	// version checks the version that an event is of.
	version func(version string) error
	endErr  error // of the last read
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

// Final implements headed.
func (b *events) Final() *Final { return b.final }

// LastEvent returns the ID of the last event that was forwarded, empty for none.
func (b *events) LastEvent() string { return b.last.String() }

// Read returns complete events. A stream that breaks, times out or is malformed gives an error
// other than io.EOF.
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

// fill reads what comes next and finds the complete events in it.
func (b *events) fill() {
	b.conn.SetReadDeadline(time.Now().Add(b.idleTimeout))
	if err := b.ctx.Err(); err != nil { // after the line above, lest it undo the end of ctx
		b.endErr = err
		return
	}
	stream := b.resp.BodyStream()
	if stream == nil {
		b.endErr = errMalformedAnswer
		return
	}
	var chunk [readBuffer]byte
	n, err := stream.Read(chunk[:])
	b.buffered = append(b.buffered, chunk[:n]...)
	if bad := b.scan(); bad != nil {
		b.endErr = bad
		return
	}
	if err == nil {
		return
	}
	b.endErr = err
	if err == io.EOF && (b.resp.Header.ContentLength() < -1 || b.ready < len(b.buffered)) {
		// An end of the connection does not say that the stream was complete, and half an event
		// says that it was not.
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

// scan moves ready behind the last complete event that is buffered.
func (b *events) scan() error {
	for {
		rest := b.buffered[b.ready:]
		end, size := bytes.Index(rest, eventEnd), len(eventEnd)
		if other := bytes.Index(rest, eventEnd2); other >= 0 && (end < 0 || other < end) {
			end, size = other, len(eventEnd2)
		}
		if end < 0 {
			if len(rest) > maxEvent {
				return fmt.Errorf("%w: an event of more than %d bytes", errMalformedAnswer, maxEvent)
			}
			return nil
		}
		if err := b.checkEvent(rest[:end]); err != nil {
			return err
		}
		b.ready += end + size
	}
}

// checkEvent checks a complete event: its ID must be above that of the one before, and its version
// one that counts.
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
			return fmt.Errorf("%w: event %d after event %d", errMalformedAnswer, id.value, b.last.value)
		}
		b.last = id
	}
	return nil
}

// checkVersion checks the version that an event is of, if it has any.
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
