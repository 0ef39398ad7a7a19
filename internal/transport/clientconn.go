package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"reachspread/internal/admission"
	"reachspread/internal/protocol"
)

const (
	// lingerTimeout and lingerBytes bound how long and how much the router reads of the rest of a
	// request that it rejected early. overloadLingerTimeout replaces lingerTimeout when connections
	// are scarce.
	lingerTimeout         = time.Second
	strictLingerTimeout   = 500 * time.Millisecond // with strict admission, when the client may have been accepted late
	overloadLingerTimeout = 100 * time.Millisecond
	lingerBytes           = 4 << 20
)

// clientWriteTimeout is how long a client may take to read the bytes of one write, if admission
// sets no bound of its own.
const clientWriteTimeout = 10 * time.Second

// clientConn is a connection from a client. Of pipelined requests, it reads only the first one,
// because any bytes read of the later ones would be lost if the connection had to be closed. The
// HTTP server does not read while a request is open, so a watch goroutine detects whether the
// client disconnects.
type clientConn struct {
	net.Conn
	listener      *listener
	client        netip.AddrPort          // the client's address; Conn.RemoteAddr is nil if the client had reset the connection before it was accepted
	admissionID   int32                   // its ID at admission
	readAhead     []byte                  // bytes that were read elsewhere and that the next calls of Read return
	framing       protocol.RequestFraming // of the request that is being read
	everRead      bool                    // at least one byte was read
	requestBegun  bool                    // at least one byte of the next request was read
	requestUnread bool                    // the rest of a rejected request may still arrive
	requestOpen   bool                    // a request was read completely and is not answered yet
	answerBegun   bool                    // part of the request's final answer was written
	adoptedIdle   bool                    // taken over from another process, which received a request on it
	closed        bool

	// The listener's mu guards these fields:
	deadlineShortened bool            // admission has shortened the read deadline
	expiryCause       admission.Cause // why admission has shortened it
	closeReason       CloseReason
	unreadAtClose     int  // unread bytes in the socket when it was closed
	answerDue         bool // a complete request has arrived, and nothing of its answer was written

	openedAt time.Time
	readAt   time.Time // when Read last returned bytes
	beganAt  time.Time // when the first byte of the current request arrived

	// Used by the watch. Only the goroutine that serves the connection starts and ends the watch:
	onLeave     func()
	watchDone   chan struct{} // closed when the watch ends, nil without one
	hasLeft     atomic.Bool   // the client ended the connection
	nextBegun   atomic.Bool   // the watch has read the first byte of the next request
	nextBegunAt time.Time     // when the watch read that byte
}

// SetReadDeadline is called by the HTTP server before it reads. A ReadTimeout of the
// front end replaces the deadline of the HTTP server.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	switch {
	case t.IsZero():
	case c.listener.readTimeout != nil:
		t = time.Now().Add(c.listener.readTimeout(c.requestBegun && !c.requestOpen))
	case c.adoptedIdle && !c.everRead:
		t = time.Now().Add(clientIdleTimeout) // the HTTP server treats the connection as new
	}
	return c.Conn.SetReadDeadline(t)
}

// requestRead records that a request was read completely. If its bytes arrived together with those
// of the previous request, no Read has recorded its beginning yet.
func (c *clientConn) requestRead() {
	c.requestAnswered()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.requestBegun {
		c.recordRead()
	}
	c.setAnswerDue(true)
}

// requestAnswered records that the open request, if any, has its final answer. Only the goroutine
// that serves the connection calls it.
func (c *clientConn) requestAnswered() {
	if !c.requestOpen {
		return
	}
	c.requestOpen, c.requestBegun = false, false
	c.listener.notifyAdmission(admission.Event{Kind: admission.RequestDone, Conn: c.admissionID})
}

// restoreDeadline gives a request that arrived while its connection's deadline was shortened the
// usual time to be read. The caller holds the listener's mu.
func (c *clientConn) restoreDeadline() {
	if c.deadlineShortened {
		c.deadlineShortened = false
		c.Conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
	}
}

// Write implements net.Conn. It times out if the client stops reading, because the client's stream
// would otherwise occupy a connection to a server forever.
func (c *clientConn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(c.listener.writeTimeout()))
	n, err := c.Conn.Write(p)
	if n > 0 && !bytes.HasPrefix(p, interimAnswer) {
		c.beginAnswer()
	}
	if err != nil {
		c.recordClientClose(0, err)
	}
	return n, err
}

// interimAnswer is the beginning of an interim answer, which another answer follows.
var interimAnswer = []byte("HTTP/1.1 100 ")

// beginAnswer records that part of the final answer was written.
func (c *clientConn) beginAnswer() {
	if c.answerBegun {
		return
	}
	c.answerBegun = true
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.setAnswerDue(false)
}

// setAnswerDue records whether a complete request has arrived and nothing of its answer was
// written. The caller holds the listener's mu.
func (c *clientConn) setAnswerDue(due bool) {
	if due == c.answerDue {
		return
	}
	c.answerDue = due
	if due {
		c.listener.answersDue++
	} else {
		c.listener.answersDue--
	}
}

// watch calls onLeave if, before unwatch is called, the client closes the connection or only its
// sending side. Nothing else may read from the connection meanwhile.
func (c *clientConn) watch(onLeave func()) {
	c.Conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	c.onLeave, c.watchDone = onLeave, done
	go func() {
		defer close(done)
		if err := c.awaitClose(); err != nil {
			c.hasLeft.Store(!errors.Is(err, net.ErrClosed))
			onLeave()
		}
	}()
}

// awaitClose returns an error when the client disconnects, net.ErrClosed when the router has closed
// the connection, and nil when the watch ends. It reads at most the first byte of a further
// request. With the other bytes unread, the system still reports that the client has closed the
// connection.
func (c *clientConn) awaitClose() error {
	var one [1]byte
	n, err := c.Conn.Read(one[:])
	if n > 0 {
		c.readAhead = append(c.readAhead, one[0])
		c.nextBegunAt = time.Now()
		c.nextBegun.Store(true)
		if c.awaitHangUp() {
			return io.EOF
		}
		return nil
	}
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
		return nil
	}
	return err
}

// awaitHangUp waits until the client closes the connection or the watch ends. It returns true if
// the client has closed the connection.
func (c *clientConn) awaitHangUp() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool { // called whenever the socket becomes readable
		closed = hungUp(fd)
		return closed
	})
	return err == nil && closed
}

// hungUp reports whether the other side has closed the connection or its sending side, even if
// unread bytes remain.
func hungUp(fd uintptr) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&ended != 0
}

// hasNextRequest reports whether any byte of a further request has arrived while a request is open.
func (c *clientConn) hasNextRequest() bool {
	if c.nextBegun.Load() {
		return true
	}
	n, err := c.peek()
	return n > 0 && err == nil
}

// peek returns the number of unread bytes, at most 1, and leaves them unread. At the end of the
// connection it returns 0 and no error.
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

// clientLeft reports whether the client has disconnected. It asks the system, because the watch may
// be late when the router is short of processor time.
func (c *clientConn) clientLeft() bool {
	if c == nil { // no client waits for the answer
		return false
	}
	if c.hasLeft.Load() {
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

// hungUp reports whether the client has closed the connection, even if unread bytes remain.
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
	if c.watchDone == nil {
		return
	}
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	<-c.watchDone
	c.watchDone = nil
	c.Conn.SetReadDeadline(time.Time{})
}

// Close keeps reading for a moment if a request was rejected before it was read completely. Closing
// with unread bytes would reset the connection, and the client might lose the answer.
func (c *clientConn) Close() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	l := c.listener
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.requestUnread && tcp.CloseWrite() == nil {
		linger := lingerTimeout
		switch {
		case l.level() > admission.Calm:
			linger = overloadLingerTimeout
		case l.strict:
			linger = strictLingerTimeout
		}
		c.Conn.SetReadDeadline(time.Now().Add(linger))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	unread := c.unreadBytes()
	err := c.Conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	if unread > 0 {
		c.unreadAtClose = unread
	}
	c.setAnswerDue(false)
	l.recordClose(c)
	l.alive--
	actions := l.admission.Step(l.now(), admission.Event{Kind: admission.Closed, Conn: c.admissionID})
	l.conns[c.admissionID] = nil
	for _, a := range actions {
		l.carryOut(a)
	}
	l.aliveDropped.Signal()
	return err
}
