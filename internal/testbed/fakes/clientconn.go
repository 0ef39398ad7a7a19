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

// clientConn is a client's connection to a router. As it is closed it asks the system whether the
// router had read the request that the client sent last. A router may close a connection between two requests: if
// the close crosses one that it has not read, the platform's clients send that one again. How late
// a client sees the close says nothing of that, as the client's own process may lack processor time.
//
// For the same reason it asks when the first byte of a request left, and when what was read last had
// come.
type clientConn struct {
	*net.TCPConn
	afterWrite func()                    // called once bytes were given to the system; nil for nothing
	writing    atomic.Int32              // writes that have not returned
	sent       atomic.Int64              // bytes
	sentSoFar  atomic.Int64              // of sent, before the present request
	timeLeft   atomic.Int64              // nanoseconds that the present request states
	began      atomic.Pointer[time.Time] // when the first byte of the present request left; nil before
	arrived    atomic.Pointer[time.Time] // when what was read last had come; nil before
	closing    sync.Once
	unread     bool // by the router, of the present request; set once closing is done
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

// recordSent counts bytes that were sent, and keeps when the first of the present request left.
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

// beginRequest says that what is sent from now on is of another request, which states that its
// client waits for so long.
func (c *clientConn) beginRequest(timeLeft time.Duration) {
	c.sentSoFar.Store(c.sent.Load())
	c.timeLeft.Store(timeLeft.Nanoseconds())
	c.began.Store(nil)
}

// answerDue returns when the answer to the present request is due by what it states: a router counts
// from the first byte on. ok is false before that has left.
func (c *clientConn) answerDue() (due time.Time, ok bool) {
	began := c.began.Load()
	if began == nil {
		return due, false
	}
	return began.Add(time.Duration(c.timeLeft.Load())), true
}

// answerArrives reports whether something has come since the present request left.
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
		c.unread = c.sent.Load() == c.sentSoFar.Load() || c.wasReset()
	})
	return c.TCPConn.Close()
}

// awaitWrites waits until what was written counts as sent: a router may read it and close before the
// client's write has returned.
func (c *clientConn) awaitWrites() {
	for end := time.Now().Add(deliveryTimeout); c.writing.Load() > 0 && time.Now().Before(end); {
		time.Sleep(deliveryInterval)
	}
}

// closedUnread closes the connection and reports whether the router closed it with anything unread
// of the present request.
func (c *clientConn) closedUnread() bool {
	c.Close()
	return c.unread
}

const (
	// deliveryTimeout bounds how long bytes may be on their way over the loopback.
	deliveryTimeout  = time.Second
	deliveryInterval = time.Millisecond // between two looks at them

	tcpClosed = unix.BPF_TCP_CLOSE // the state of a connection that was reset
)

// wasReset reports whether the router's system has reset the connection: it does so where its
// process closed with bytes unread, and where bytes come after the close. A process that had read
// all before it closed leaves a connection that is only half closed.
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

// transferState returns the state of the connection, and how many bytes the other system has not
// acknowledged.
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
