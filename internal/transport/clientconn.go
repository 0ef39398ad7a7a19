package transport

import (
	"bytes"
	"cmp"
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
	furtherAhead  bool                    // readAhead had bytes of a further request as the last Read returned
	requestUnread bool                    // more of a rejected request may come
	requestOpen   bool                    // a request was read to its end and is not answered
	answerBegun   bool                    // something of the request's final answer was written
	adoptedIdle   bool                    // of another process, and a request came on it there
	closed        bool

	// The listener's lock guards these:
	hurried       bool            // admission has shortened its read deadline
	expiryCause   admission.Cause // why it has
	closeReason   CloseReason
	unreadAtClose int  // bytes
	answerDue     bool // a request has come to its end, and nothing of its answer was written

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

// Read is called by the HTTP server between requests and for what is left of one, never while one
// is open.
func (c *clientConn) Read(p []byte) (n int, err error) {
	c.requestAnswered()
	switch {
	case c.requestBegun && c.framing.BodyRemaining() > 0 && len(c.readAhead) == 0:
		n, err = c.Conn.Read(p[:min(len(p), c.framing.BodyRemaining())])
		c.framing.Feed(p[:n])
		c.readAt = time.Now()
		if c.framing.Complete() {
			c.recordRead()
		}
	case !c.requestBegun && len(c.readAhead) == 0 && c.everRead && c.listener.closingAfterAnswers.Load():
		return c.lastRead(p, io.EOF, ClosedDraining)
	default:
		n, err = c.readRequest(p)
		if timeout, ok := err.(net.Error); ok && timeout.Timeout() && !c.requestBegun {
			return c.lastRead(p, err, c.idleReason())
		}
	}
	c.recordClientClose(n, err)
	return n, err
}

// SetReadDeadline is called by the HTTP server before it reads. A Patience replaces the deadline of
// the server.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	switch {
	case t.IsZero():
	case c.listener.patience != nil:
		t = time.Now().Add(c.listener.patience(c.requestBegun && !c.requestOpen))
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
		c.recordReadLocked()
	}
	c.setAnswerDue(true)
}

// readRequest reads what has come of a request, nothing of the next one, and waits until something
// has.
func (c *clientConn) readRequest(p []byte) (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	if len(c.readAhead) > 0 {
		err = raw.Control(func(fd uintptr) { n, failed = c.take(int(fd), p) })
	} else {
		err = raw.Read(func(fd uintptr) bool {
			n, failed = c.take(int(fd), p)
			return failed != syscall.EAGAIN
		})
	}
	if err == nil {
		err = failed
	}
	return n, err
}

// take reads what has come of a request without waiting for any; the error is EAGAIN for nothing and
// io.EOF at the end of the connection. What was read elsewhere comes first. That a request has begun,
// and that it is complete, admission knows in the same step: it would take the connection for an idle
// one that it may evict, and what was read would be lost.
func (c *clientConn) take(fd int, p []byte) (n int, err error) {
	ahead := copy(p, c.readAhead)
	came, _, err := syscall.Recvfrom(fd, p[ahead:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	came = max(came, 0)
	switch {
	case ahead > 0:
	case err == syscall.EINTR:
		return 0, syscall.EAGAIN
	case err != nil:
		return 0, err
	case came == 0:
		return 0, io.EOF
	}
	if !c.requestBegun {
		c.framing = protocol.RequestFraming{}
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closeReason == ClosedEvicted {
		return 0, net.ErrClosed
	}
	n = ahead + came
	if !c.framing.Complete() { // otherwise the HTTP server sees no end where it is
		n = c.framing.Feed(p[:ahead+came])
	}
	c.readAhead = c.readAhead[min(n, ahead):]
	c.furtherAhead = len(c.readAhead) > 0
	if got, err := syscall.Read(fd, p[ahead:n]); got < n-ahead {
		return 0, cmp.Or(err, io.ErrUnexpectedEOF)
	}
	c.readAt = time.Now()
	c.recordReadLocked()
	return n, nil
}

// recordRead records that bytes of a request were read.
func (c *clientConn) recordRead() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.recordReadLocked()
}

// recordReadLocked is recordRead for a caller that has the listener's lock. Admission has to know of
// a request as it begins and as it is complete; other bytes gain a slow sender no time.
func (c *clientConn) recordReadLocked() {
	begins := !c.requestBegun
	if begins {
		c.beginRequest()
	}
	if !begins && !c.framing.Complete() {
		return
	}
	c.setAnswerDue(c.framing.Complete())
	c.listener.step(admission.Event{Kind: admission.RequestBegan, Conn: c.admissionID, RequestComplete: c.requestHasCome()})
	c.restoreDeadline()
}

// requestHasCome reports whether all of the request has come, also where the end of its body was not
// read yet.
func (c *clientConn) requestHasCome() bool {
	rest := c.framing.BodyRemaining()
	return c.framing.Complete() || rest > 0 && c.unreadBytes() >= rest
}

// beginRequest says that the first bytes of a request were read.
func (c *clientConn) beginRequest() {
	c.everRead, c.requestBegun, c.answerBegun = true, true, false
	c.beganAt = c.readAt
	if c.nextBegun.Swap(false) {
		c.beganAt = c.nextBegunAt
	}
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

// lastRead is for an idle connection whose time is over. If another process takes over, the
// connection goes there, with what is on its way. Otherwise a request that has come but was not
// read, as the router was short of processor time, is read now. Without one the close follows at
// once, so that hardly any request can cross it.
func (c *clientConn) lastRead(p []byte, over error, reason CloseReason) (n int, err error) {
	if m := c.listener.mover.Load(); m != nil && m.move(movedConn{Used: c.everRead || c.adoptedIdle}, c.Conn) == nil {
		c.closeAs(ClosedMoved)
		return 0, over
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, over
	}
	raw.Control(func(fd uintptr) { n, err = c.take(int(fd), p) })
	if n > 0 {
		c.Conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
		return n, nil
	}
	c.closeAs(reason)
	return 0, over
}

// restoreDeadline gives a request that came as its connection's deadline was shortened the time
// that any has. The caller has the listener's lock.
func (c *clientConn) restoreDeadline() {
	if c.hurried {
		c.hurried = false
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
	over := false
	err = raw.Read(func(fd uintptr) bool { // is called whenever something comes
		over = hungUp(fd)
		return over
	})
	return err == nil && over
}

// hungUp reports whether the other side has ended a connection, or only its sending, whatever is
// unread of it.
func hungUp(fd uintptr) bool {
	const ended = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(look, 0)
	return err == nil && n > 0 && look[0].Revents&ended != 0
}

// hasFurther reports whether anything of a further request has come while one is open.
func (c *clientConn) hasFurther() bool {
	if c.furtherAhead || c.nextBegun.Load() {
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
