package transport

import (
	"io"
	"net"
	"sync"
	"time"
)

const (
	// lingerFor and lingerBytes bound what is read of a request that was refused before its end.
	lingerFor   = time.Second
	lingerBytes = 4 << 20
	stuckClient = 10 * time.Second // to read what one write sent
)

// listener bounds the client connections. Where there are too many, the one that has waited longest without an open
// request makes room: those who connect and say nothing must not keep others out.
type listener struct {
	net.Listener
	most int

	mu    sync.Mutex
	conns map[*clientConn]bool
}

func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &clientConn{Conn: nc, listener: l, since: time.Now()}
	l.mu.Lock()
	var oldest *clientConn
	if len(l.conns) >= l.most {
		for o := range l.conns {
			if !o.open && (oldest == nil || o.since.Before(oldest.since)) {
				oldest = o
			}
		}
		delete(l.conns, oldest)
	}
	l.conns[c] = true
	l.mu.Unlock()
	if oldest != nil {
		oldest.Conn.Close()
	}
	return c, nil
}

// clientConn is a client's connection, which can be watched while its request is held or out: fasthttp does not
// read it then, and would not notice that the client leaves.
type clientConn struct {
	net.Conn
	listener *listener
	ahead    []byte // read by the watch, due to the next Read
	used     bool   // something was read
	begun    bool   // something of the next request was read
	unread   bool   // more of a refused request may come

	open  bool      // a request was read whole and is not answered; the listener's lock guards this and since
	since time.Time // of the connection, of the end of its last answer, or of the first byte since then
}

// setOpen notes that a request was read whole, or that the next one is waited for.
func (c *clientConn) setOpen(open bool) {
	c.listener.mu.Lock()
	c.open, c.since = open, time.Now()
	c.listener.mu.Unlock()
}

// Read is called by fasthttp between requests and for what is left of one, never while one is open.
func (c *clientConn) Read(p []byte) (int, error) {
	if c.open { // only the goroutine that serves the connection sets it, so it may look without the lock
		c.begun = false
		c.setOpen(false)
	}
	var n int
	var err error
	if len(c.ahead) > 0 {
		n = copy(p, c.ahead)
		c.ahead = c.ahead[n:]
	} else {
		n, err = c.Conn.Read(p)
	}
	if n > 0 && !c.begun {
		c.used, c.begun = true, true
		c.setOpen(false) // it is not idle any more: later bytes gain a slow sender no time
	}
	return n, err
}

// Write gives up on a client that reads no more: its stream would hold a real server's connection for ever.
func (c *clientConn) Write(p []byte) (int, error) {
	c.Conn.SetWriteDeadline(time.Now().Add(stuckClient))
	return c.Conn.Write(p)
}

// watch calls gone if the client ends the connection before stop is called. Nothing else may read meanwhile.
func (c *clientConn) watch(gone func()) (stop func()) {
	c.Conn.SetReadDeadline(time.Time{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		var b [1]byte
		n, err := c.Conn.Read(b[:])
		if n > 0 {
			c.ahead = b[:n]
			return
		}
		if timeout, ok := err.(net.Error); !ok || !timeout.Timeout() {
			gone()
		}
	}()
	return func() {
		c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		c.Conn.SetReadDeadline(time.Time{})
	}
}

// Close reads on for a moment where a request was refused before its end: closed with bytes unread, the
// connection would be reset and the client might lose the answer.
func (c *clientConn) Close() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok && c.unread && tcp.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerFor))
		io.CopyN(io.Discard, c.Conn, lingerBytes)
	}
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// load returns the share of the connections that are taken.
func (l *listener) load() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(len(l.conns)) / float64(l.most)
}
