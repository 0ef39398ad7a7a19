package transport

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"reachspread/internal/door"
	"reachspread/internal/protocol"
)

const (
	// lingerFor and lingerBytes bound what is read of a request that was refused before its end, lingerShort where
	// places are short.
	lingerFor   = time.Second
	lingerLess  = 500 * time.Millisecond // where the client may have been accepted late
	lingerShort = 100 * time.Millisecond
	lingerBytes = 4 << 20

	// mostAhead bounds what is read of a client's further requests while one is open. Beyond it the client's own
	// sending stops, and with it the news that it has left.
	mostAhead = 64 << 10
	// aheadBuffer is how much of it is read at a time.
	aheadBuffer = 4 << 10
)

// stuckFor is how long a client may take to read what one write sent, where the door has no bound of its own.
const stuckFor = 10 * time.Second

// budget bounds the bytes that clients sent and nobody has used yet.
type budget struct{ used, most atomic.Int64 }

// take reserves bytes, if there are so many left.
func (b *budget) take(bytes int) bool {
	if b.used.Add(int64(bytes)) > b.most.Load() {
		b.used.Add(-int64(bytes))
		return false
	}
	return true
}

// give returns bytes that were taken.
func (b *budget) give(bytes int) { b.used.Add(-int64(bytes)) }

// share is the part of the bytes that is in use.
func (b *budget) share() float64 { return float64(b.used.Load()) / float64(b.most.Load()) }

// received is what came from a client at one time.
type received struct {
	bytes  []byte
	at     time.Time
	budget int // that it holds until it is used
}

// clientConn is a client's connection. While a request on it is open the HTTP server does not read it, so a watch does: it
// notices that the client leaves, and keeps what comes of further requests.
type clientConn struct {
	net.Conn
	listener *listener
	name     int32      // at the door
	ahead    []received // by the watch, due to the next calls of Read
	used     bool       // something was read
	begun    bool       // something of the next request was read
	unread   bool       // more of a refused request may come
	open     bool       // a request was read whole and is not answered
	closed   bool
	hurried  bool // its time is over; the listener's lock guards it

	readAt  time.Time // when the bytes came that Read returned last
	beganAt time.Time // when the first byte of the request came that is read or open

	// Of the watch, its user's alone:
	gone    func()
	watched chan struct{} // closed when it ends, nil without one
	left    atomic.Bool   // the client ended the connection

	further atomic.Bool // bytes of a request behind the open one are kept
}

// keep leaves bytes for the next calls of Read that were read elsewhere.
func (c *clientConn) keep(bytes []byte) {
	if len(bytes) > 0 {
		c.ahead = append(c.ahead, received{bytes: bytes, at: time.Now()})
	}
}

// Read is called by the HTTP server between requests and for what is left of one, never while one is open.
func (c *clientConn) Read(p []byte) (n int, err error) {
	c.answered()
	at := time.Now()
	switch {
	case len(c.ahead) > 0:
		n, at = c.readKept(p)
	case c.used && !c.begun && c.listener.parting.Load():
		n, err = c.lastLook(p, io.EOF)
	default:
		n, err = c.Conn.Read(p)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() && !c.begun {
			n, err = c.lastLook(p, err)
		}
		at = time.Now()
	}
	if n == 0 {
		return n, err
	}
	if !c.begun {
		n -= c.keepFurther(p[:n], at)
	}
	c.readAt = at
	if !c.begun {
		c.used, c.begun, c.beganAt = true, true, at
		// It is not idle any more; later bytes gain a slow sender no time.
		c.listener.tell(door.Event{Kind: door.Began, Conn: c.name})
		c.unhurry()
	}
	return n, err
}

// keepFurther takes what lies behind the first request in bytes that were just read, for the next calls of Read. It returns how many
// those are. The HTTP server is not to hold them: it would drop them with a connection that ends, and their clients get no answer.
func (c *clientConn) keepFurther(p []byte, at time.Time) int {
	seen, whole := protocol.Look(p, "")
	if !whole || seen.Length < 0 || seen.Length >= len(p) {
		return 0
	}
	rest := received{bytes: append([]byte(nil), p[seen.Length:]...), at: at}
	if c.listener.memory.take(len(rest.bytes)) {
		rest.budget = len(rest.bytes)
	}
	c.ahead = append([]received{rest}, c.ahead...)
	c.further.Store(true)
	return len(rest.bytes)
}

// answered notes that the request which was open has its final answer, if one was. Only the goroutine that serves the
// connection calls it.
func (c *clientConn) answered() {
	if !c.open {
		return
	}
	c.open, c.begun = false, false
	c.listener.tell(door.Event{Kind: door.Done, Conn: c.name})
}

// taken notes that a request was read whole. Where its bytes came along with those of the one before, no Read has told
// so.
func (c *clientConn) taken() {
	c.answered()
	if c.begun {
		return
	}
	c.begun, c.beganAt = true, c.readAt
	c.listener.tell(door.Event{Kind: door.Began, Conn: c.name})
}

// readKept returns bytes that were kept, and when they came.
func (c *clientConn) readKept(p []byte) (n int, at time.Time) {
	next := &c.ahead[0]
	n, at = copy(p, next.bytes), next.at
	if next.bytes = next.bytes[n:]; len(next.bytes) == 0 {
		c.listener.memory.give(next.budget)
		c.ahead = c.ahead[1:]
		c.further.Store(len(c.ahead) > 0)
	}
	return n, at
}

// dropKept gives up what nobody will read any more.
func (c *clientConn) dropKept() {
	for _, r := range c.ahead {
		c.listener.memory.give(r.budget)
	}
	c.ahead = nil
}

// lastLook is for a silent connection whose time is over. If another process takes over, it goes there, with whatever
// is on its way. Otherwise a request that has come but was not read, as the router had
// no time of the core, is read now; where there is none, the close follows at once, so that hardly any can cross it.
func (c *clientConn) lastLook(p []byte, over error) (n int, err error) {
	if m := c.listener.mover.Load(); m != nil && m.move(moved{}, c.Conn) == nil {
		c.Conn.Close()
		return 0, over
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, over
	}
	raw.Control(func(fd uintptr) { n, err = syscall.Read(int(fd), p) })
	if n > 0 {
		c.Conn.SetReadDeadline(time.Now().Add(slowClient))
		return n, nil
	}
	c.Conn.Close()
	return 0, over
}

// unhurry gives a request that came as its connection was hurried the time that any has.
func (c *clientConn) unhurry() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.hurried {
		c.hurried = false
		c.Conn.SetReadDeadline(time.Now().Add(slowClient))
	}
}

// Write gives up on a client that reads no more: its stream would hold a server's connection for ever.
func (c *clientConn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(c.listener.reading()))
	return c.Conn.Write(p)
}

// watch calls gone if the client ends the connection, or only its sending, before unwatch is called. Nothing else may
// read meanwhile.
func (c *clientConn) watch(gone func()) {
	c.Conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	c.gone, c.watched = gone, done
	go func() {
		defer close(done)
		if c.readAhead() {
			c.left.Store(true)
			gone()
		}
	}()
}

// readAhead keeps what comes. It returns at the end of the watch, or true when the client leaves.
func (c *clientConn) readAhead() (left bool) {
	var one [1]byte // most clients send nothing
	buffer := one[:]
	for kept := 0; kept < mostAhead; {
		n, err := c.Conn.Read(buffer)
		if n > 0 {
			if !c.listener.memory.take(n) {
				// Without the room to note them they are kept all the same, as they were read, but nothing more is.
				c.keep(append([]byte(nil), buffer[:n]...))
				return false
			}
			c.keepAhead(buffer[:n])
			kept += n
			if len(buffer) == 1 {
				buffer = make([]byte, aheadBuffer)
			}
		}
		if err != nil {
			timeout, ok := err.(net.Error)
			return !ok || !timeout.Timeout()
		}
	}
	return false
}

// keepAhead keeps bytes that were read by the watch. The first one of a request was read alone; what follows goes with it.
func (c *clientConn) keepAhead(p []byte) {
	c.further.Store(true)
	if last := len(c.ahead) - 1; last >= 0 && len(c.ahead[last].bytes) == 1 {
		c.ahead[last].bytes = append(c.ahead[last].bytes, p...)
		c.ahead[last].budget += len(p)
		return
	}
	c.ahead = append(c.ahead, received{bytes: append([]byte(nil), p...), at: time.Now(), budget: len(p)})
}

// hasLeft looks at the connection itself, as the watch may be late where the router is short of processor time. With
// bytes unread in front of its end only the watch can tell.
func (c *clientConn) hasLeft() bool {
	if c == nil { // a copy, for whose answer no client waits
		return false
	}
	if c.left.Load() {
		return true
	}
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	left := true // if it is closed on this side
	raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil || err == syscall.ECONNRESET || err == syscall.EPIPE
	})
	return left
}

// unwatch ends the watch, if there is one.
func (c *clientConn) unwatch() {
	if c.watched == nil {
		return
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-c.watched
	c.watched = nil
	c.Conn.SetReadDeadline(time.Time{})
}

// Close reads on for a moment where a request was refused before its end: closed with bytes unread, the
// connection would be reset and the client might lose the answer.
func (c *clientConn) Close() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	c.dropKept()
	l := c.listener
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unread && tcp.CloseWrite() == nil {
		linger := lingerFor
		switch {
		case l.level() > door.Calm:
			linger = lingerShort
		case l.strict:
			linger = lingerLess
		}
		c.Conn.SetReadDeadline(time.Now().Add(linger))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	err := c.Conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alive--
	actions := l.door.Step(l.now(), door.Event{Kind: door.Closed, Conn: c.name})
	l.conns[c.name] = nil
	for _, a := range actions {
		l.carryOut(a)
	}
	l.room.Signal()
	return err
}
