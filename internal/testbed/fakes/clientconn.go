package fakes

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"reachspread/internal/testbed/tcptime"
)

// clientConn is a client's connection to a router. When it closes, it asks the kernel whether the
// router had read the client's last request. A router may close a connection between two requests.
// If the client sent a request that the router had not read when it closed, the platform's clients
// send that request again. The time at which a client sees the close does not tell whether the
// router had read the request, because the client's own process may lack processor time.
//
// For the same reason, clientConn asks the kernel when the first byte of a request left and when the
// most recently read bytes arrived.
type clientConn struct {
	*net.TCPConn
	afterWrite func()                    // called after bytes were handed to the kernel; may be nil
	writing    atomic.Int32              // writes in progress
	sent       atomic.Int64              // bytes sent over the connection
	sentBefore atomic.Int64              // value of sent at the start of the current request
	timeLeft   atomic.Int64              // time left that the current request states, in nanoseconds
	began      atomic.Pointer[time.Time] // when the first byte of the current request left; nil before that
	arrived    atomic.Pointer[time.Time] // when the most recently read bytes arrived; nil before the first read
	closing    sync.Once
	unread     bool // the router had not read all of the current request; valid once closing is done
}

// dialClient opens a connection to a router.
func dialClient(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &clientConn{TCPConn: conn.(*net.TCPConn)}, nil
}

// Write implements net.Conn.
func (c *clientConn) Write(p []byte) (int, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.TCPConn.Write(p)
	if c.afterWrite != nil {
		c.afterWrite()
	}
	c.recordSent(int64(n))
	return n, err
}

// ReadFrom implements io.ReaderFrom.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	c.writing.Add(1)
	defer c.writing.Add(-1)
	n, err := c.TCPConn.ReadFrom(r)
	c.recordSent(n)
	return n, err
}

// recordSent counts sent bytes and records when the first byte of the current request left.
func (c *clientConn) recordSent(n int64) {
	c.sent.Add(n)
	if n == 0 || c.began.Load() != nil {
		return
	}
	if left, err := tcptime.Sent(c); err == nil {
		c.began.Store(&left)
	}
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	if came, timeErr := tcptime.Received(c); timeErr == nil {
		c.arrived.Store(&came)
	}
	return n, err
}

// beginRequest marks the start of a new request on the connection. timeLeft is how long its client
// waits, as the request states it.
func (c *clientConn) beginRequest(timeLeft time.Duration) {
	c.sentBefore.Store(c.sent.Load())
	c.timeLeft.Store(timeLeft.Nanoseconds())
	c.began.Store(nil)
}

// answerDue returns when the answer to the current request is due: the stated time left after the
// first byte of the request, because a router counts from the first byte. ok is false until the
// first byte has left.
func (c *clientConn) answerDue() (due time.Time, ok bool) {
	began := c.began.Load()
	if began == nil {
		return due, false
	}
	return began.Add(time.Duration(c.timeLeft.Load())), true
}

// answerArrives reports whether any bytes have arrived since the current request left.
func (c *clientConn) answerArrives() bool {
	began := c.began.Load()
	if began == nil {
		return false
	}
	came, err := tcptime.Received(c)
	return err == nil && came.After(*began)
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.closing.Do(func() {
		c.awaitWrites()
		c.unread = c.sent.Load() == c.sentBefore.Load() || c.wasReset()
	})
	return c.TCPConn.Close()
}

// awaitWrites waits until writes in progress have returned and their bytes are counted as sent. A
// router may read a request and close the connection before the client's write has returned.
func (c *clientConn) awaitWrites() {
	for end := time.Now().Add(deliveryTimeout); c.writing.Load() > 0 && time.Now().Before(end); {
		time.Sleep(deliveryInterval)
	}
}

// closedUnread closes the connection and reports whether the router closed it before it had read all
// of the current request.
func (c *clientConn) closedUnread() bool {
	c.Close()
	return c.unread
}

const (
	// deliveryTimeout bounds how long bytes may be in transit over the loopback.
	deliveryTimeout  = time.Second
	deliveryInterval = time.Millisecond // between two polls for bytes in transit

	tcpClosed = unix.BPF_TCP_CLOSE // TCP state of a connection that was reset
)

// wasReset reports whether the router's kernel has reset the connection. The kernel does so if the
// router closed with bytes unread, or if bytes arrive after the close. If the router had read all
// bytes before it closed, the connection is only half closed.
func (c *clientConn) wasReset() bool {
	for end := time.Now().Add(deliveryTimeout); ; time.Sleep(deliveryInterval) {
		state, onTheWay, err := c.transferState()
		if err != nil {
			return false
		}
		if state == tcpClosed {
			return true
		}
		if onTheWay == 0 || time.Now().After(end) {
			return false
		}
	}
}

// transferState returns the TCP state of the connection and the number of sent bytes that the peer's
// kernel has not acknowledged.
func (c *clientConn) transferState() (state uint8, onTheWay int, err error) {
	info, err := tcptime.Info(c)
	if err != nil {
		return 0, 0, err
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	var queueErr error
	err = raw.Control(func(fd uintptr) { onTheWay, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return info.State, onTheWay, errors.Join(err, queueErr)
}
