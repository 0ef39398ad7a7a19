package transport

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"reachspread/internal/admission"
)

// CloseReason says why a client's connection was closed.
type CloseReason int

// The reasons.
const (
	ClosedAfterAnswer CloseReason = iota // the answer said so, or the request could not be read to its end
	ClosedByClient                       // or lost
	ClosedUnused                         // no request came in time after it was opened
	ClosedIdle                           // no further request came in time
	ClosedDraining                       // it was idle while the router drained
	ClosedExpired                        // it was idle for longer than admission allows at its level
	ClosedEvicted                        // it was idle, and another client needed its place
	ClosedMoved                          // another process has it
	closeReasons
)

// String returns the reason as figures and log lines name it.
func (r CloseReason) String() string {
	return [...]string{"answered", "client", "unused", "idle", "draining", "expired", "evicted", "moved"}[r]
}

// ConnectionClosed is the end of a client's connection.
type ConnectionClosed struct {
	Client     netip.AddrPort
	Reason     CloseReason
	Unread     int           // bytes that had come and were not read
	Unanswered bool          // something of a request was read, and nothing of an answer was written
	IdleTime   time.Duration // since the last byte was read, or since it was opened
}

// CloseCounts counts the closed connections of one reason.
type CloseCounts struct {
	Reason             CloseReason
	Closed             uint64
	Unread, Unanswered uint64 // of them: with unread bytes; with a request but no answer
}

// closeCounter counts closed connections by their reason.
type closeCounter [closeReasons]CloseCounts

// add counts one.
func (c *closeCounter) add(closed *ConnectionClosed) {
	counts := &c[closed.Reason]
	counts.Closed++
	if closed.Unread > 0 {
		counts.Unread++
	}
	if closed.Unanswered {
		counts.Unanswered++
	}
}

// all returns a copy of the counts, in the order of the reasons.
func (c *closeCounter) all() []CloseCounts {
	counts := make([]CloseCounts, closeReasons)
	for reason := range closeReasons {
		counts[reason] = c[reason]
		counts[reason].Reason = reason
	}
	return counts
}

// ClosedConnections returns how many client connections were closed, by reason.
func (f *Front) ClosedConnections() []CloseCounts {
	f.listener.mu.Lock()
	defer f.listener.mu.Unlock()
	return f.listener.closed.all()
}

// recordClose counts a connection that is closed, and reports it. The caller has the lock.
func (l *listener) recordClose(c *clientConn) {
	closed := c.describeClose()
	l.closed.add(&closed)
	if l.onClose != nil {
		l.onClose(closed)
	}
}

// closeAs closes the socket for a reason. The HTTP server calls Close later.
func (c *clientConn) closeAs(reason CloseReason) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.closeLocked(reason)
}

// evict closes the socket as another client needs its place. A request that has come, and that its
// goroutine was late to read, is left for that to reject. The caller has the listener's lock.
func (c *clientConn) evict() {
	if c.unreadBytes() > 0 {
		c.closeReason = ClosedEvicted
		return
	}
	c.closeLocked(ClosedEvicted)
}

// isEvicted reports whether the connection was evicted.
func (c *clientConn) isEvicted() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.closeReason == ClosedEvicted
}

// closeLocked closes the socket for a reason, unless it has another by now. The caller has the
// listener's lock.
func (c *clientConn) closeLocked(reason CloseReason) {
	if c.closeReason == ClosedAfterAnswer {
		c.closeReason, c.unreadAtClose = reason, c.unreadBytes()
	}
	c.Conn.Close()
}

// recordClientClose records that a read has found the end of the connection.
func (c *clientConn) recordClientClose(n int, err error) {
	timeout, ok := err.(net.Error)
	if n > 0 || err == nil || ok && timeout.Timeout() || errors.Is(err, net.ErrClosed) {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.closeReason == ClosedAfterAnswer {
		c.closeReason = ClosedByClient
	}
}

// unreadBytes returns how many bytes have come that were not read, 0 for a socket that is closed.
func (c *clientConn) unreadBytes() (n int) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	return n
}

// idleReason says why a connection that is idle is closed by its read deadline.
func (c *clientConn) idleReason() CloseReason {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.deadlineShortened && c.expiryCause == admission.RouterDraining:
		return ClosedDraining
	case c.deadlineShortened:
		return ClosedExpired
	case !c.everRead && !c.adoptedIdle:
		return ClosedUnused
	}
	return ClosedIdle
}

// describeClose describes the connection as it is closed. The caller has the listener's lock.
func (c *clientConn) describeClose() ConnectionClosed {
	answered := !c.requestBegun || c.answerBegun
	left := c.hasLeft.Load() || c.closeReason == ClosedByClient
	closed := ConnectionClosed{
		Reason:     c.closeReason,
		Unread:     c.unreadAtClose,
		Unanswered: !answered && !left,
	}
	closed.Client, _ = netip.ParseAddrPort(c.Conn.RemoteAddr().String())
	last := c.readAt
	if last.IsZero() {
		last = c.openedAt
	}
	closed.IdleTime = time.Since(last)
	return closed
}
