package fakes

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// clientConn is a client's connection to a router. As it is closed it asks the system whether the
// router had read the request that the client sent last. A router may close a connection between two requests: if
// the close crosses one that it has not read, the platform's clients send that one again. How late
// a client sees the close says nothing of that, as the client's own process may lack processor time.
type clientConn struct {
	*net.TCPConn
	sent      atomic.Int64 // bytes
	sentSoFar atomic.Int64 // of sent, before the present request
	closing   sync.Once
	unread    bool // by the router, of the present request; set once closing is done
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
	n, err := c.TCPConn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// ReadFrom implements io.ReaderFrom.
func (c *clientConn) ReadFrom(r io.Reader) (int64, error) {
	n, err := c.TCPConn.ReadFrom(r)
	c.sent.Add(n)
	return n, err
}

// beginRequest says that what is sent from now on is of another request.
func (c *clientConn) beginRequest() { c.sentSoFar.Store(c.sent.Load()) }

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.closing.Do(func() { c.unread = c.sent.Load() == c.sentSoFar.Load() || c.wasReset() })
	return c.TCPConn.Close()
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
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, 0, err
	}
	var infoErr, queueErr error
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, infoErr = unix.GetsockoptTCPInfo(int(fd), syscall.IPPROTO_TCP, unix.TCP_INFO); infoErr == nil {
			state = info.State
		}
		onTheWay, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	})
	for _, e := range []error{err, infoErr, queueErr} {
		if e != nil {
			return 0, 0, e
		}
	}
	return state, onTheWay, nil
}
