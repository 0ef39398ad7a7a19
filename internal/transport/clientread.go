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

// Read is called by the HTTP server between requests and for the rest of a request, but never while
// a request is open.
func (c *clientConn) Read(p []byte) (n int, err error) {
	defer c.listener.panics.containError("reading a request", &err)
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

// lastRead handles an idle connection whose idle time has ended. If another process takes over, the
// connection moves there together with any bytes in transit. Otherwise lastRead reads a request
// that has arrived but was not read because the router was short of processor time. Without such a
// request it closes the connection at once, so that a new request is unlikely to cross the close.
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

// readRequest waits until bytes of a request have arrived and reads them, but nothing of the next
// request.
func (c *clientConn) readRequest(p []byte) (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	var available int
	var failed error
	peek := func(fd uintptr) (done bool) {
		available, failed = c.peekRequest(int(fd), p)
		return failed != syscall.EAGAIN
	}
	if len(c.readAhead) > 0 { // no need to wait: some bytes are there already
		err = raw.Control(func(fd uintptr) { peek(fd) })
	} else {
		err = raw.Read(peek)
	}
	if err = cmp.Or(err, failed); err != nil {
		return 0, err
	}
	return c.take(raw, p, available)
}

// peekRequest copies the bytes of readAhead and the bytes that are unread in the socket, and
// consumes neither. If the body has a stated length, it copies at most one byte from the socket, to
// find out whether any have arrived. It returns the number of bytes copied from the socket. The
// error is EAGAIN if there are none and io.EOF at the end of the connection.
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

// bodyRemaining returns how many bytes of the current request's body have not been read. It returns
// 0 if that is not known or there is no body.
func (c *clientConn) bodyRemaining() int {
	if !c.requestBegun {
		return 0
	}
	return c.framing.BodyRemaining()
}

// take consumes the bytes that peekRequest has seen and that belong to the request. In the same
// step, it tells admission that a request has begun and whether it is complete. Otherwise admission
// could evict the connection as idle, and the bytes read would be lost. take locks the listener's
// mu before it uses the socket: an eviction closes the socket with mu locked, and that close waits
// until nothing else uses the socket.
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

// takeFramed consumes those bytes copied by peekRequest that belong to the request.
func (c *clientConn) takeFramed(raw syscall.RawConn, p []byte, available int) (n int, err error) {
	ahead := min(len(p), len(c.readAhead))
	n = ahead + available
	if !c.framing.Complete() { // else the HTTP server reads on behind the end that framing found: give it all bytes
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

// recordRead records that bytes of a request were read. It informs admission when a request begins
// and when it is complete; other bytes do not extend the time of a slow sender. The caller holds
// the listener's mu.
func (c *clientConn) recordRead() {
	begins := !c.requestBegun
	if begins {
		c.beginRequest()
	}
	complete := c.requestArrived()
	if !begins && !complete {
		return
	}
	c.setAnswerDue(complete)
	c.listener.step(admission.Event{Kind: admission.RequestBegan, Conn: c.admissionID, RequestComplete: complete})
	c.restoreDeadline()
}

// requestArrived reports whether the whole request has arrived, even if the end of its body is not
// read yet.
func (c *clientConn) requestArrived() bool {
	rest := c.framing.BodyRemaining()
	return c.framing.Complete() || rest > 0 && c.unreadBytes() >= rest
}

// beginRequest records that the first bytes of a request were read.
func (c *clientConn) beginRequest() {
	if c.adoptedIdle && !c.everRead { // the HTTP server counted the wait for the request as part of the request
		c.Conn.SetReadDeadline(time.Now().Add(requestReadTimeout))
	}
	c.everRead, c.requestBegun, c.answerBegun = true, true, false
	c.beganAt = c.readAt
	if c.nextBegun.Swap(false) {
		c.beganAt = c.nextBegunAt
	}
}
