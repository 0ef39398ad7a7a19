package transport

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"reachspread/internal/protocol"
	"reachspread/internal/routing"
)

// streamTracker parses the chunks of a stream as they arrive from a server, so that another process
// can continue the stream at any byte. It is called below the reader of the stream and can stop
// that reader between two reads.
type streamTracker struct {
	chunks     protocol.ChunkParser
	unmovable  bool         // its chunks are malformed, so it must stay in this process
	begun      bool         // its answer has begun, so the stream is committed to its client
	moving     *atomic.Bool // the flag of Servers: all streams are to move
	stopped    bool         // all received bytes were forwarded, and nothing more is read
	lastReadAt time.Time    // when bytes were last read
}

// errStopped ends a read so that the stream can move.
var errStopped = errors.New("read stopped so that the stream can move")

// read reads from the connection on behalf of the stream's reader.
func (t *streamTracker) read(c *conn, p []byte) (int, error) {
	movable := t.begun && !t.unmovable && t.chunks.At != protocol.AtComplete
	if t.stopped || movable && t.moving.Load() {
		t.stopped = true
		return 0, errStopped
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		t.lastReadAt = time.Now()
	}
	t.feed(p[:n])
	if n == 0 && movable && t.moving.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		t.stopped = true
		return 0, errStopped
	}
	if err != nil {
		c.err = err
	}
	return n, err
}

// feed parses received bytes.
func (t *streamTracker) feed(p []byte) {
	if used, err := t.chunks.Feed(p, func([]byte) {}); err != nil || used < len(p) {
		t.unmovable = true
	}
}

// beginTracking tracks a stream whose head was just read, if the stream may move.
func (b *body) beginTracking() {
	if !b.servers.tracksStreams || b.message.client == nil || b.resp.Header.ContentLength() != -1 {
		return
	}
	t := &streamTracker{moving: &b.servers.moving, lastReadAt: time.Now()}
	ahead, _ := b.conn.in.Peek(b.conn.in.Buffered())
	t.feed(ahead)
	b.conn.track = t
}

// allowMove allows a stream whose answer has begun to move.
func (b *body) allowMove() {
	if b.conn.track == nil {
		return
	}
	b.conn.track.begun = true
	b.servers.mu.Lock()
	defer b.servers.mu.Unlock()
	b.servers.movable[b.conn] = true
}

// endTracking stops the tracking when the stream ends.
func (s *Servers) endTracking(c *conn) {
	if c.track == nil {
		return
	}
	c.track = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.movable, c)
}

// Move moves all streams to another process, as far as the front end allows it, and the idle
// connections as well: each new connection would cost a server work and delay the first request on
// it.
func (s *Servers) Move(m *Mover) {
	s.moving.Store(true)
	for _, c := range s.pool.takeIdle() {
		m.move(movedConn{Server: &c.to, Idle: time.Since(c.idleSince)}, c.Conn) // a connection that is declined is closed as well
		s.pool.discard(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.movable {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// stoppedForMove reports whether reading was stopped for a move.
func (b *body) stoppedForMove() bool { return b.conn.track != nil && b.conn.track.stopped }

// move moves the stream to the process that takes over. If that fails, the stream continues here
// from where it was stopped.
func (b *body) move() bool {
	t, client := b.conn.track, b.message.client
	mover := client.listener.mover.Load()
	if mover != nil {
		client.unwatch()
		m := movedConn{Stream: true, Class: b.message.class, Chunks: t.chunks, Size: b.size, Server: &b.conn.to, Keep: !b.resp.ConnectionClose(),
			Idle: time.Since(t.lastReadAt)}
		m.Line, m.Long = b.events.Unfinished()
		if len(client.readAhead) == 0 && !client.hasLeft.Load() && mover.move(m, client.Conn, b.conn.Conn) == nil {
			return true
		}
		client.watch(client.onLeave)
	}
	b.readDeadline = t.lastReadAt.Add(b.servers.streamIdleTimeout)
	b.servers.endTracking(b.conn)
	b.text = &unchunked{from: b.conn, chunks: t.chunks}
	return false
}

// unchunked reads the rest of a chunked body without its framing.
type unchunked struct {
	from   io.Reader
	chunks protocol.ChunkParser
}

// Read implements io.Reader.
func (u *unchunked) Read(p []byte) (n int, err error) {
	if u.chunks.At == protocol.AtComplete {
		return 0, io.EOF
	}
	got, err := u.from.Read(p)
	used, bad := u.chunks.Feed(p[:got], func(chunk []byte) { n += copy(p[n:], chunk) })
	switch {
	case bad != nil:
		return n, bad
	case used < got:
		return n, routing.ErrMalformedAnswer
	case err == io.EOF && u.chunks.At != protocol.AtComplete:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
