package transport

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"reachspread/internal/admission"
	"reachspread/internal/protocol"
)

const (
	// lingerFor and lingerBytes bound what is read of a request that was refused before its end, lingerShort where
	// places are short.
	lingerFor   = time.Second
	lingerLess  = 500 * time.Millisecond // where the client may have been accepted late
	lingerShort = 100 * time.Millisecond
	lingerBytes = 4 << 20
)

// stuckFor is how long a client may take to read what one write sent, where admission has no bound of its own.
const stuckFor = 10 * time.Second

// clientConn is a client's connection. Of requests that come together it reads just the first: what was read of others would be
// lost with a connection that has to end. While a request is open the HTTP server does not read, so a watch looks whether the
// client leaves.
type clientConn struct {
	net.Conn
	listener *listener
	name     int32  // at admission
	ahead    []byte // read elsewhere, due to the next calls of Read
	due      int    // bytes of the request that is read and have not come, where its head tells; 0 for unknown
	used     bool   // something was read
	begun    bool   // something of the next request was read
	unread   bool   // more of a refused request may come
	open     bool   // a request was read whole and is not answered
	closed   bool
	hurried  bool // its time is over; the listener's lock guards it

	readAt  time.Time // when Read returned something last
	beganAt time.Time // when the first byte of the request came that is read or open

	// Of the watch, its user's alone:
	gone    func()
	watched chan struct{} // closed when it ends, nil without one
	left    atomic.Bool   // the client ended the connection
	first   atomic.Bool   // the watch has read the first byte of the next request
	firstAt time.Time     // when
}

// Read is called by the HTTP server between requests and for what is left of one, never while one is open.
func (c *clientConn) Read(p []byte) (n int, err error) {
	c.answered()
	switch {
	case c.begun:
		if c.due > 0 {
			p = p[:min(len(p), c.due)]
		}
		n, err = c.readKept(p)
		c.due = max(c.due-n, 0)
		c.readAt = time.Now()
		return n, err
	case len(c.ahead) == 0 && c.used && c.listener.parting.Load():
		n, err = c.lastLook(p, io.EOF)
	default:
		n, err = c.readFirst(p)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
			n, err = c.lastLook(p, err)
		}
	}
	if n > 0 {
		c.readAt = time.Now()
		c.begin(n)
	}
	return n, err
}

// SetReadDeadline is called by the HTTP server before it reads. Where clients have a patience of their own, that goes before the server's.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	if c.listener.waits != nil && !t.IsZero() {
		t = time.Now().Add(c.listener.waits(c.begun && !c.open))
	}
	return c.Conn.SetReadDeadline(t)
}

// taken notes that a request was read whole. Where its bytes came along with those of the one before, no Read has told so.
func (c *clientConn) taken() {
	c.answered()
	if !c.begun {
		c.begin(0)
	}
}

// begin notes that a request has begun with so many bytes.
func (c *clientConn) begin(bytes int) {
	c.used, c.begun, c.beganAt = true, true, c.readAt
	if c.first.Swap(false) {
		c.beganAt = c.firstAt
	}
	c.due = max(c.due-bytes, 0)
	// It is not idle any more; later bytes gain a slow sender no time.
	c.listener.tell(admission.Event{Kind: admission.Began, Conn: c.name})
	c.unhurry()
}

// readKept reads what was read elsewhere, or else from the connection.
func (c *clientConn) readKept(p []byte) (n int, err error) {
	if len(c.ahead) == 0 {
		return c.Conn.Read(p)
	}
	n = copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}

// readFirst reads the beginning of a request, and nothing of the next one where its head tells how long it is.
func (c *clientConn) readFirst(p []byte) (n int, err error) {
	if len(c.ahead) > 1 { // read as the connection was accepted, whatever it is
		n = c.firstOf(c.ahead[:min(len(c.ahead), len(p))])
		return c.readKept(p[:n])
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	kept := copy(p, c.ahead) // the byte that the watch has read
	c.ahead = nil
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		n, _, failed = syscall.Recvfrom(int(fd), p[kept:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if failed == syscall.EAGAIN || failed == syscall.EINTR {
			n, failed = 0, nil
			return kept > 0 // what is there goes on; otherwise it is waited for
		}
		if failed == nil && n > 0 {
			n, failed = syscall.Read(int(fd), p[kept:c.firstOf(p[:kept+n])])
		}
		if failed == nil && n == 0 && kept == 0 {
			failed = io.EOF
		}
		return true
	})
	if err == nil {
		err = failed
	}
	if kept+max(n, 0) > 0 { // an error comes again with the next call
		return kept + max(n, 0), nil
	}
	return 0, err
}

// firstOf returns how many of some bytes belong to the request that begins with them, and sets what is due of it.
func (c *clientConn) firstOf(p []byte) int {
	c.due = 0
	if seen, whole := protocol.Look(p, ""); whole && seen.Length > 0 {
		c.due = seen.Length
		return min(len(p), seen.Length)
	}
	return len(p)
}

// answered notes that the request which was open has its final answer, if one was. Only the goroutine that serves the
// connection calls it.
func (c *clientConn) answered() {
	if !c.open {
		return
	}
	c.open, c.begun = false, false
	c.listener.tell(admission.Event{Kind: admission.Done, Conn: c.name})
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
	c.due = 0
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
		if c.awaitLeave() {
			c.left.Store(true)
			gone()
		}
	}()
}

// awaitLeave returns true when the client leaves, and false at the end of the watch. It reads the first byte of a further request, and
// nothing more of it: behind unread bytes the system still tells that the client has ended the connection.
func (c *clientConn) awaitLeave() (left bool) {
	var one [1]byte
	n, err := c.Conn.Read(one[:])
	if n > 0 {
		c.ahead = append(c.ahead, one[0])
		c.firstAt = time.Now()
		c.first.Store(true)
		return c.awaitHangUp()
	}
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

// awaitHangUp waits until the client has ended the connection, and returns true, or until the watch ends.
func (c *clientConn) awaitHangUp() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	over := false
	err = raw.Read(func(fd uintptr) bool { // is called whenever something comes
		over = hungUp(fd)
		return over
	})
	return err == nil && over
}

// hungUp tells that the other side has ended a connection, or only its sending, whatever is unread of it.
func hungUp(fd uintptr) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(look, 0)
	return err == nil && n > 0 && look[0].Revents&ended != 0
}

// hasFurther tells that something of a further request has come while one is open.
func (c *clientConn) hasFurther() bool {
	if c.first.Load() {
		return true
	}
	n, err := c.peek()
	return n > 0 && err == nil
}

// peek looks at what is unread without taking it. At the end of the connection it returns 0 and no error.
func (c *clientConn) peek() (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, net.ErrClosed
	}
	var b [1]byte
	closed := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if closed != nil {
		return 0, net.ErrClosed
	}
	return n, err
}

// hasLeft looks at the connection itself, as the watch may be late where the router is short of processor time.
func (c *clientConn) hasLeft() bool {
	if c == nil { // a copy, for whose answer no client waits
		return false
	}
	if c.left.Load() {
		return true
	}
	n, err := c.peek()
	switch err {
	case nil:
		return n == 0 || c.hungUp()
	case net.ErrClosed, syscall.ECONNRESET, syscall.EPIPE:
		return true
	}
	return false
}

// hungUp tells that the client has ended the connection behind what is unread.
func (c *clientConn) hungUp() (ended bool) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	raw.Control(func(fd uintptr) { ended = hungUp(fd) })
	return ended
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
	l := c.listener
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unread && tcp.CloseWrite() == nil {
		linger := lingerFor
		switch {
		case l.level() > admission.Calm:
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
	actions := l.admission.Step(l.now(), admission.Event{Kind: admission.Closed, Conn: c.name})
	l.conns[c.name] = nil
	for _, a := range actions {
		l.carryOut(a)
	}
	l.room.Signal()
	return err
}
