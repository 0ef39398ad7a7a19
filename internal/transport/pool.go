// Package transport contains everything that uses sockets: the front end for clients (front.go,
// listener.go, clientconn.go), the connections to servers (servers.go, pool.go, exchange.go), the
// watch on discovery, and the handover of connections to a process that takes over (handover.go).
// Its HTTP implementation is fasthttp.
package transport

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"reachspread/internal/routing"
)

const (
	sweepInterval = time.Second
	readBuffer    = 4096
)

// errNoSocket says that all allowed connections to servers are in use. Nothing was sent.
var errNoSocket = errors.New("all allowed connections to servers are in use")

// pool holds connections to servers and bounds their number. It reuses a server's most recently
// used connection first.
type pool struct {
	connectTimeout time.Duration
	idleTimeout    time.Duration // shorter than the time after which the server closes the connection, by a margin
	limit          int           // of all connections, in use or idle

	mu     sync.Mutex
	idle   map[routing.Server][]*conn // by server and address, the longest idle first; no entry is empty
	open   int
	closed bool
	swept  time.Time
}

// conn is a connection to a server. Only one user has it at a time.
type conn struct {
	net.Conn
	err         error // last error of the socket; if it is nil, an answer that fails was malformed
	to          routing.Server
	in          *bufio.Reader
	idleSince   time.Time       // when it was returned to the pool
	idleTimeout time.Duration   // for how long the server keeps it open, less a margin; 0 for the pool's idleTimeout
	track       *streamTracker  // tracker of the stream on it, nil if the stream can't be moved
	head        context.Context // context of the head that is being read, nil for none
}

// take returns an idle connection to a server, or opens a new one.
func (p *pool) take(ctx context.Context, to routing.Server) (*conn, error) {
	p.mu.Lock()
	idle := p.idleTimeout
	p.mu.Unlock()
	for {
		c, err := p.pop(to)
		if err != nil {
			return nil, err
		}
		if c == nil {
			break
		}
		if time.Since(c.idleSince) < c.idleLimit(idle) && c.isQuiet() {
			return c, nil
		}
		p.discard(c) // the server has closed it, or its idle time is over; nothing was sent on it
	}
	p.mu.Lock()
	dialer := net.Dialer{Timeout: p.connectTimeout, KeepAlive: -1}
	p.mu.Unlock()
	nc, err := dialer.DialContext(ctx, "tcp", to.Addr)
	if err != nil {
		p.count(-1)
		return nil, err
	}
	c := &conn{Conn: nc, to: to}
	c.in = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

// pop returns the most recently used idle connection to a server. If there is none, it returns nil
// and counts a new connection. At the limit it first closes the longest idle connection to any
// server.
func (p *pool) pop(to routing.Server) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep()
	if l := p.idle[to]; len(l) > 0 {
		p.setIdle(to, l[:len(l)-1])
		return l[len(l)-1], nil
	}
	if p.open >= p.limit && !p.evict() {
		return nil, errNoSocket
	}
	p.open++
	return nil, nil
}

// evict closes the connection that has been idle longest, and reports whether there was one.
func (p *pool) evict() bool {
	var oldest *conn
	for _, l := range p.idle {
		if oldest == nil || l[0].idleSince.Before(oldest.idleSince) {
			oldest = l[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.Close()
	p.setIdle(oldest.to, p.idle[oldest.to][1:])
	p.open--
	return true
}

// setLimit sets the maximum number of connections. It closes idle connections beyond the limit;
// connections in use end with their users.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open > p.limit && p.evict() {
	}
}

// setIdle sets a server's idle connections. It deletes the entry of a server without any, because
// thousands of servers come and go during a long day.
func (p *pool) setIdle(to routing.Server, l []*conn) {
	if len(l) == 0 {
		delete(p.idle, to)
		return
	}
	p.idle[to] = l
}

// sweep closes connections that have been idle for too long: a later write could cross the server's
// close.
func (p *pool) sweep() {
	now := time.Now()
	if now.Sub(p.swept) < sweepInterval {
		return
	}
	p.swept = now
	for to, l := range p.idle {
		fresh := l[:0]
		for _, c := range l {
			if now.Sub(c.idleSince) >= c.idleLimit(p.idleTimeout) {
				c.Close()
				p.open--
				continue
			}
			fresh = append(fresh, c)
		}
		clear(l[len(fresh):])
		p.setIdle(to, fresh)
	}
}

// idleLimit returns how long the connection may be idle; usual is the pool's limit.
func (c *conn) idleLimit(usual time.Duration) time.Duration {
	if c.idleTimeout > 0 {
		return min(c.idleTimeout, usual)
	}
	return usual
}

// takeIdle removes all idle connections from the pool and returns them.
func (p *pool) takeIdle() (all []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		all = append(all, l...)
	}
	clear(p.idle)
	return all
}

// adopt takes over a connection from another process that has been idle for the given time. It
// returns false if there are too many connections or the pool is closed.
func (p *pool) adopt(nc net.Conn, to routing.Server, idle time.Duration) bool {
	p.mu.Lock()
	if p.closed || p.open >= p.limit {
		p.mu.Unlock()
		return false
	}
	p.open++
	p.mu.Unlock()
	c := &conn{Conn: nc, to: to}
	c.in = bufio.NewReaderSize(c, readBuffer)
	p.putSince(c, time.Now().Add(-idle))
	return true
}

// put returns a connection that is ready for the next request to the pool.
func (p *pool) put(c *conn) { p.putSince(c, time.Now()) }

// putSince returns a connection to the pool that has been idle since the given time.
func (p *pool) putSince(c *conn, since time.Time) {
	if c.in.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		p.discard(c)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		p.open--
		return
	}
	c.idleSince = since
	p.idle[c.to] = append(p.idle[c.to], c)
	p.sweep()
}

// discard closes a connection that was taken from the pool.
func (p *pool) discard(c *conn) {
	c.Close()
	p.count(-1)
}

// count adds n to the number of connections and returns the new number.
func (p *pool) count(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
	return p.open
}

// closeIdle closes the idle connections to the server with the given ID.
func (p *pool) closeIdle(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, l := range p.idle {
		if to.ID != id {
			continue
		}
		for _, c := range l {
			c.Close()
		}
		p.open -= len(l)
		delete(p.idle, to)
	}
}

// load returns the fraction of the allowed connections that are in use.
func (p *pool) load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.open
	for _, l := range p.idle {
		used -= len(l)
	}
	return float64(used) / float64(p.limit)
}

// keepIdle says whether idle connections may stay open. If not, it closes the idle ones now, and
// each other one as soon as it would become idle.
func (p *pool) keepIdle(may bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = !may
	if may {
		return
	}
	for to, l := range p.idle {
		for _, c := range l {
			c.Close()
		}
		p.open -= len(l)
		delete(p.idle, to)
	}
}

// Read implements net.Conn. Each read of a head has its own timeout.
func (c *conn) Read(p []byte) (int, error) {
	if c.head != nil {
		c.SetReadDeadline(time.Now().Add(headTimeout))
		if c.head.Err() != nil { // checked after setting the deadline, which would otherwise override the one set when the context ended
			return 0, os.ErrDeadlineExceeded
		}
	}
	if c.track != nil {
		return c.track.read(c, p)
	}
	n, err := c.Conn.Read(p)
	if err != nil {
		c.err = err
	}
	return n, err
}

// isQuiet reports whether the server has neither closed an idle connection nor sent anything on it.
func (c *conn) isQuiet() bool {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && peeked == syscall.EAGAIN
}
