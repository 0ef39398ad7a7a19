package transport

import (
	"bytes"
	"errors"
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
	// lingerTimeout and lingerBytes bound what is read of a request that was rejected before its
	// end, overloadLingerTimeout the time where connections are scarce.
	lingerTimeout         = time.Second
	strictLingerTimeout   = 500 * time.Millisecond // where the client may have been accepted late
	overloadLingerTimeout = 100 * time.Millisecond
	lingerBytes           = 4 << 20
)

// clientWriteTimeout is how long a client may take to read what one write sent, where admission has
// no bound of its own.
const clientWriteTimeout = 10 * time.Second

// clientConn is a client's connection. Of pipelined requests it reads only the first: what was read
// of others would be lost with a connection that has to end. While a request is open the HTTP
// server does not read, so a watch notices whether the client leaves.
type clientConn struct {
	net.Conn
	listener      *listener
	admissionID   int32                   // its ID at admission
	readAhead     []byte                  // read elsewhere, for the next calls of Read
	framing       protocol.RequestFraming // of the request that is being read
	everRead      bool                    // anything was read
	requestBegun  bool                    // anything of the next request was read
	requestUnread bool                    // more of a rejected request may come
	requestOpen   bool                    // a request was read to its end and is not answered
	answerBegun   bool                    // something of the request's final answer was written
	adoptedIdle   bool                    // of another process, and a request came on it there
	closed        bool

	// The listener's lock guards these:
	deadlineShortened bool            // admission has shortened its read deadline
	expiryCause       admission.Cause // why it has
	closeReason       CloseReason
	unreadAtClose     int  // bytes
	answerDue         bool // a request has come to its end, and nothing of its answer was written

	openedAt time.Time
	readAt   time.Time // when Read last returned bytes
	beganAt  time.Time // when the first byte of the present request came

	// Of the watch, for its user alone:
	onLeave     func()
	watchDone   chan struct{} // closed when the watch ends, nil without one
	hasLeft     atomic.Bool   // the client ended the connection
	nextBegun   atomic.Bool   // the watch has read the first byte of the next request
	nextBegunAt time.Time     // when
}

// SetReadDeadline is called by the HTTP server before it reads. A Patience replaces the deadline of
// the server.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	switch {
	case t.IsZero():
	case c.listener.readTimeout != nil:
		t = time.Now().Add(c.listener.readTimeout(c.requestBegun && !c.requestOpen))
	case c.adoptedIdle && !c.everRead:
		t = time.Now().Add(clientIdleTimeout) // to the server it is a new one
	}
	return c.Conn.SetReadDeadline(t)
}

// requestRead says that a request was read to its end. If its bytes came along with those of the
// one before, no Read has said that it began.
func (c *clientConn) requestRead() {
	c.requestAnswered()
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.requestBegun {
		c.recordRead()
	}
	c.setAnswerDue(true)
}

// requestAnswered says that the open request, if there is one, has its final answer. Only the
// goroutine that serves the connection calls it.
func (c *clientConn) requestAnswered() {
	if !c.requestOpen {
		return
	}
	c.requestOpen, c.requestBegun = false, false
	c.listener.notifyAdmission(admission.Event{Kind: admission.RequestDone, Conn: c.admissionID})
}

// restoreDeadline gives a request that came as its connection's deadline was shortened the time
// that any has. The caller has the listener's lock.
func (c *clientConn) restoreDeadline() {
	if c.deadlineShortened {
		c.deadlineShortened = false
		c.Conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
	}
}

// Write gives up on a client that reads no more: its stream would occupy a server's connection for
// ever.
func (c *clientConn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(c.listener.writeTimeout()))
	n, err := c.Conn.Write(p)
	if n > 0 && !bytes.HasPrefix(p, interimAnswer) {
		c.beginAnswer()
	}
	return n, err
}

// interimAnswer begins an answer that is followed by another one.
var interimAnswer = []byte("HTTP/1.1 100 ")

// beginAnswer says that something of the final answer was written.
func (c *clientConn) beginAnswer() {
	if c.answerBegun {
		return
	}
	c.answerBegun = true
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.setAnswerDue(false)
}

// setAnswerDue says whether a request has come to its end and nothing of its answer was written. The
// caller has the listener's lock.
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

// watch calls onLeave if the client ends the connection, or only its sending, before unwatch is
// called. Nothing else may read meanwhile.
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

// awaitClose returns an error when the client leaves, net.ErrClosed when this side has closed the
// connection, and nil at the end of the watch. It reads the first byte of a further request, and
// nothing more of it: behind unread bytes the system still reports that the client has ended the
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

// awaitHangUp waits until the client has ended the connection, and returns true, or until the watch
// ends.
func (c *clientConn) awaitHangUp() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Read(func(fd uintptr) bool { // is called whenever something comes
		closed = hungUp(fd)
		return closed
	})
	return err == nil && closed
}

// hungUp reports whether the other side has ended a connection, or only its sending, whatever is
// unread of it.
func hungUp(fd uintptr) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0 && fds[0].Revents&ended != 0
}

// hasFurther reports whether anything of a further request has come while one is open.
func (c *clientConn) hasNextRequest() bool {
	if c.nextBegun.Load() {
		return true
	}
	n, err := c.peek()
	return n > 0 && err == nil
}

// peek returns whether anything is unread, and leaves it so. At the end of the connection it
// returns 0 and no error.
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

// clientLeft reports whether the client has gone. It asks the system, as the watch may be late
// where the router is short of processor time.
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

// hungUp reports whether the client has ended the connection behind what is unread.
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

// Close reads on for a moment after a request that was rejected before its end: closed with bytes
// unread, the connection would be reset and the client might lose the answer.
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
