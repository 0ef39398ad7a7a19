package transport

import (
	"errors"
	"io"
	"os"
	"sync/atomic"
	"time"

	"reachspread/internal/protocol"
)

// track follows the chunks of a stream as they come from a server, so that another process can go on with it at any
// byte. It stands below whatever reads the stream, and stops it between two reads.
type track struct {
	chunks  protocol.Chunks
	lost    bool         // it is no chunked body that we understand: it stays here
	may     bool         // its answer has begun, so it is its client's alone
	moving  *atomic.Bool // of all streams
	stopped bool         // all that came was passed on, and nothing more is read
	last    time.Time    // that anything came
}

// errStopped ends a read that gives way to the move.
var errStopped = errors.New("stopped")

// read reads for whoever reads the stream.
func (t *track) read(c *conn, p []byte) (int, error) {
	movable := t.may && !t.lost && t.chunks.At != protocol.AtWhole
	if t.stopped || movable && t.moving.Load() {
		t.stopped = true
		return 0, errStopped
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		t.last = time.Now()
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

func (t *track) feed(p []byte) {
	if used, err := t.chunks.Feed(p, func([]byte) {}); err != nil || used < len(p) {
		t.lost = true
	}
}

// follow begins to follow a stream, whose head was just read.
func (b *body) follow() {
	if !b.servers.follows || b.message.client == nil || b.resp.Header.ContentLength() != -1 {
		return
	}
	t := &track{moving: &b.servers.moving, last: time.Now()}
	ahead, _ := b.conn.in.Peek(b.conn.in.Buffered())
	t.feed(ahead)
	b.conn.track = t
}

// mayMove lets go of a stream whose answer has begun.
func (b *body) mayMove() {
	if b.conn.track == nil {
		return
	}
	b.conn.track.may = true
	b.servers.mu.Lock()
	defer b.servers.mu.Unlock()
	b.servers.live[b.conn] = true
}

// unfollow ends that with the stream.
func (s *Servers) unfollow(c *conn) {
	if c.track == nil {
		return
	}
	c.track = nil
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.live, c)
}

// Move has all streams move to another process, as the front says which, and the idle connections with them: each new one
// would cost a server work, and the first request on it time.
func (s *Servers) Move(m *Mover) {
	s.moving.Store(true)
	for _, c := range s.pool.empty() {
		m.move(moved{Server: &c.to, Idle: time.Since(c.since)}, c.Conn) // one that is declined is closed as it would be
		s.pool.discard(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.live {
		c.SetReadDeadline(time.Unix(1, 0))
	}
}

// interrupted tells that reading was stopped for a move.
func (b *body) interrupted() bool { return b.conn.track != nil && b.conn.track.stopped }

// move gives the stream to the process that takes over. If that can't be, it goes on here, from where it was stopped.
func (b *body) move() bool {
	t, client := b.conn.track, b.message.client
	mover := client.listener.mover.Load()
	if mover != nil {
		client.unwatch()
		m := moved{Stream: true, Class: b.message.class, Chunks: t.chunks, Size: b.size, Server: &b.conn.to, Keep: !b.resp.ConnectionClose(),
			Idle: time.Since(t.last)}
		m.Line, m.Long = b.notes.Rest()
		if len(client.ahead) == 0 && !client.left.Load() && mover.move(m, client.Conn, b.conn.Conn) == nil {
			return true
		}
		client.watch(client.gone)
	}
	b.quietTo = t.last.Add(b.servers.silent)
	b.servers.unfollow(b.conn)
	b.text = &unchunked{from: b.conn, chunks: t.chunks}
	return false
}

// unchunked reads the rest of a chunked body.
type unchunked struct {
	from   io.Reader
	chunks protocol.Chunks
}

func (u *unchunked) Read(p []byte) (n int, err error) {
	if u.chunks.At == protocol.AtWhole {
		return 0, io.EOF
	}
	got, err := u.from.Read(p)
	used, bad := u.chunks.Feed(p[:got], func(piece []byte) { n += copy(p[n:], piece) })
	switch {
	case bad != nil:
		return n, bad
	case used < got:
		return n, errSpoilt
	case err == io.EOF && u.chunks.At != protocol.AtWhole:
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}
