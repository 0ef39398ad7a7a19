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
	ClosedAfterAnswer CloseReason = iota // the answer announced the close, or the request could not be read completely
	ClosedByClient                       // the client closed the connection, or the connection was lost
	ClosedUnused                         // no request arrived in time after the connection was opened
	ClosedIdle                           // no further request arrived in time
	ClosedDraining                       // the connection was idle while the router was draining
	ClosedExpired                        // the connection was idle for longer than admission allows at its level
	ClosedEvicted                        // the connection was idle, and another client needed its place
	ClosedMoved                          // another process has taken over the connection
	closeReasons
)

// String returns the reason's name in metrics and log lines.
func (r CloseReason) String() string {
	return [...]string{"answered", "client", "unused", "idle", "draining", "expired", "evicted", "moved"}[r]
}

// ConnectionClosed describes the closing of a client's connection.
type ConnectionClosed struct {
	Client     netip.AddrPort
	Reason     CloseReason
	Unread     int           // bytes that had arrived and were not read
	Unanswered bool          // part of a request was read, and nothing of an answer was written
	IdleTime   time.Duration // since the last byte was read, or since the connection was opened
}

// CloseCounts holds the counts of closed connections for one reason.
type CloseCounts struct {
	Reason             CloseReason
	Closed             uint64
	Unread, Unanswered uint64 // of these: with unread bytes; with a request but no answer
}

// closeCounter counts closed connections by their reason.
type closeCounter [closeReasons]CloseCounts

// add counts one closed connection.
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

// recordClose counts a closed connection and reports it to onClose. The caller holds l.mu.
func (l *listener) recordClose(c *clientConn) {
	defer l.panics.contain("recording the close of a connection", nil)
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

// evict closes the socket because another client needs its place. If a request has arrived that the
// connection's goroutine has not read yet, evict leaves the socket open, and that goroutine rejects
// the request. The caller holds the listener's mu.
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

// closeLocked closes the socket and records the reason, unless another reason is recorded already.
// The caller holds the listener's mu.
func (c *clientConn) closeLocked(reason CloseReason) {
	if c.closeReason == ClosedAfterAnswer {
		c.closeReason, c.unreadAtClose = reason, c.unreadBytes()
	}
	c.Conn.Close()
}

// recordClientClose records that the client has closed the connection, if a read of n bytes or a
// write returned an error that says so.
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

// unreadBytes returns how many received bytes are unread, 0 for a closed socket.
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

// idleReason returns why an idle connection is closed when its read deadline passes.
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

// describeClose describes the connection at its close. The caller holds the listener's mu.
func (c *clientConn) describeClose() ConnectionClosed {
	answered := !c.requestBegun || c.answerBegun
	left := c.hasLeft.Load() || c.closeReason == ClosedByClient
	closed := ConnectionClosed{
		Client:     c.client,
		Reason:     c.closeReason,
		Unread:     c.unreadAtClose,
		Unanswered: !answered && !left,
	}
	last := c.readAt
	if last.IsZero() {
		last = c.openedAt
	}
	closed.IdleTime = time.Since(last)
	return closed
}
