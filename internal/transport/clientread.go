package transport

import (
	"cmp"
	"io"
	"net"
	"syscall"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/protocol"
)

// Read is called by the HTTP server between requests and for what is left of one, never while one
// is open.
func (c *clientConn) Read(p []byte) (n int, err error) {
	c.requestAnswered()
	if !c.requestBegun && len(c.readAhead) == 0 && c.everRead && c.listener.closingAfterAnswers.Load() {
		return c.lastRead(p, io.EOF, ClosedDraining)
	}
	n, err = c.readRequest(p)
	if timeout, ok := err.(net.Error); ok && timeout.Timeout() && !c.requestBegun {
		return c.lastRead(p, err, c.idleReason())
	}
	c.recordClientClose(n, err)
	return n, err
}

// lastRead is for an idle connection whose time is over. If another process takes over, the
// connection goes there, with what is on its way. Otherwise a request that has come but was not
// read, as the router was short of processor time, is read now. Without one the close follows at
// once, so that hardly any request can cross it.
func (c *clientConn) lastRead(p []byte, closeErr error, reason CloseReason) (n int, err error) {
	m := c.listener.mover.Load()
	if m != nil && m.move(movedConn{Used: c.everRead || c.adoptedIdle}, c.Conn) == nil {
		c.closeAs(ClosedMoved)
		return 0, closeErr
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, closeErr
	}
	var available int
	raw.Control(func(fd uintptr) { available, err = c.peekRequest(int(fd), p) })
	if err == nil {
		n, err = c.take(raw, p, available)
	}
	if n > 0 {
		c.Conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
		return n, nil
	}
	c.closeAs(reason)
	return 0, closeErr
}

// readRequest reads what has come of a request, nothing of the next one, and waits until something
// has.
func (c *clientConn) readRequest(p []byte) (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var available int
	var failed error
	tryPeek := func(fd uintptr) (done bool) {
		available, failed = c.peekRequest(int(fd), p)
		return failed != syscall.EAGAIN
	}
	if len(c.readAhead) > 0 { // there is nothing to wait for
		err = raw.Control(func(fd uintptr) { tryPeek(fd) })
	} else {
		err = raw.Read(tryPeek)
	}
	if err = cmp.Or(err, failed); err != nil {
		return 0, err
	}
	return c.take(raw, p, available)
}

// peekRequest copies what was read elsewhere, and what has come behind it, and leaves it there. Of a
// body of a stated length it looks at no more than whether anything has come. It returns how many
// bytes have come, and the error is EAGAIN for nothing and io.EOF at the end of the connection.
func (c *clientConn) peekRequest(fd int, p []byte) (available int, err error) {
	ahead := copy(p, c.readAhead)
	rest := p[ahead:]
	if c.bodyRemaining() > 0 {
		rest = rest[:min(len(rest), 1)]
	}
	available, _, err = syscall.Recvfrom(fd, rest, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case ahead > 0:
		return max(available, 0), nil
	case err == syscall.EINTR:
		return 0, syscall.EAGAIN
	case err != nil:
		return 0, err
	case available == 0:
		return 0, io.EOF
	}
	return available, nil
}

// bodyRemaining returns how many bytes of the present request's body have not been read, 0 where that
// is not known or there is no body.
func (c *clientConn) bodyRemaining() int {
	if !c.requestBegun {
		return 0
	}
	return c.framing.BodyRemaining()
}

// take reads what peekRequest has seen, as far as it belongs to the request. That a request has begun,
// and that it is complete, admission knows in the same step: it would take the connection for an idle
// one that it may evict, and what was read would be lost. The listener's lock comes before any use of
// the socket, as an eviction closes it with the lock, and the close waits until nobody uses it.
func (c *clientConn) take(raw syscall.RawConn, p []byte, available int) (n int, err error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.requestBegun {
		c.framing = protocol.RequestFraming{}
	}
	if c.bodyRemaining() > 0 && len(c.readAhead) == 0 {
		n, err = readNow(raw, p[:min(len(p), c.bodyRemaining())])
		c.framing.Feed(p[:n])
	} else {
		n, err = c.takeFramed(raw, p, available)
	}
	if n == 0 {
		return 0, err
	}
	c.readAt = time.Now()
	c.recordRead()
	return n, nil
}

// takeFramed reads as many of the bytes that peekRequest has copied as the request has.
func (c *clientConn) takeFramed(raw syscall.RawConn, p []byte, available int) (n int, err error) {
	ahead := min(len(p), len(c.readAhead))
	n = ahead + available
	if !c.framing.Complete() { // otherwise the HTTP server sees no end where it is
		n = c.framing.Feed(p[:n])
	}
	c.readAhead = c.readAhead[min(n, ahead):]
	if n <= ahead {
		return n, nil
	}
	if got, err := readNow(raw, p[ahead:n]); got < n-ahead {
		return 0, cmp.Or(err, io.ErrUnexpectedEOF)
	}
	return n, nil
}

// readNow reads from a socket without waiting.
func readNow(raw syscall.RawConn, p []byte) (n int, err error) {
	failed := raw.Control(func(fd uintptr) { n, err = syscall.Read(int(fd), p) })
	return max(n, 0), cmp.Or(failed, err)
}

// recordRead records that bytes of a request were read. Admission has to know of a request as it
// begins and as it is complete; other bytes gain a slow sender no time. The caller has the listener's
// lock.
func (c *clientConn) recordRead() {
	begins := !c.requestBegun
	if begins {
		c.beginRequest()
	}
	complete := c.requestHasCome()
	if !begins && !complete {
		return
	}
	c.setAnswerDue(complete)
	c.listener.step(admission.Event{Kind: admission.RequestBegan, Conn: c.admissionID, RequestComplete: complete})
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
	if c.adoptedIdle && !c.everRead { // the server took the wait for it for a part of it
		c.Conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
	}
	c.everRead, c.requestBegun, c.answerBegun = true, true, false
	c.beganAt = c.readAt
	if c.nextBegun.Swap(false) {
		c.beganAt = c.nextBegunAt
	}
}
