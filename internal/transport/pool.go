// Package transport has all that touches sockets: the front end for clients (front.go, listener.go,
// clientconn.go), the connections to servers (servers.go, pool.go, exchange.go), the watch on
// discovery, and the handover of connections to a process that takes over (handover.go). The HTTP
// on them is fasthttp's.
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

// errNoSocket says that all connections to servers are in use. Nothing was sent.
var errNoSocket = errors.New("no socket left for servers")

// pool keeps connections to servers, for each the most recently used first, and bounds their
// number.
type pool struct {
	connectTimeout time.Duration
	idleTimeout    time.Duration // safely under the time after which the other side closes
	limit          int           // connections in all

	mu     sync.Mutex
	idle   map[routing.Server][]*conn // by server and address, the oldest first; none is empty
	open   int
	closed bool
	swept  time.Time
}

// conn is a connection to a server. Its user has it alone.
type conn struct {
	net.Conn
	err         error // the last of the socket; without one, an answer that fails was malformed
	to          routing.Server
	in          *bufio.Reader
	idleSince   time.Time       // in the pool
	idleTimeout time.Duration   // for which its server keeps it, with a margin; 0 for that of the pool
	track       *streamTracker  // of the stream that it carries, nil if that can't move
	head        context.Context // of the head that is being read, nil for none
}

// take returns an idle connection to a server, or a new one.
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
		p.discard(c) // closed by the other side while idle: nothing was sent on it
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

// pop returns the most recently used idle connection. Without one it returns nil and counts a new
// one, if need be in place of the longest idle connection to any server.
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

// evict closes the longest idle connection.
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

// setLimit sets how many connections there may be. Idle ones beyond it are closed; those in use end
// with their users.
func (p *pool) setLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	for p.open > p.limit && p.evict() {
	}
}

// setIdle sets a server's idle connections. Without any its entry is deleted: over a long day there
// are thousands of servers.
func (p *pool) setIdle(to routing.Server, l []*conn) {
	if len(l) == 0 {
		delete(p.idle, to)
		return
	}
	p.idle[to] = l
}

// sweep closes what has been idle for too long: a later write might cross the other side's close.
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

// idleLimit returns how long the connection may be idle.
func (c *conn) idleLimit(usual time.Duration) time.Duration {
	if c.idleTimeout > 0 {
		return min(c.idleTimeout, usual)
	}
	return usual
}

// takeIdle takes all idle connections out.
func (p *pool) takeIdle() (all []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.idle {
		all = append(all, l...)
	}
	clear(p.idle)
	return all
}

// adopt takes over a connection of another process that has been idle for so long, unless there are
// too many.
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

// put returns a connection that is ready for the next request.
func (p *pool) put(c *conn) { p.putSince(c, time.Now()) }

// putSince returns a connection that is idle since a time.
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

// discard closes a connection that was taken.
func (p *pool) discard(c *conn) {
	c.Close()
	p.count(-1)
}

// count counts n more connections and returns how many there are.
func (p *pool) count(n int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
	return p.open
}

// closeIdle closes the idle connections to a server.
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

// load returns the fraction of the connections that is in use.
func (p *pool) load() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	used := p.open
	for _, l := range p.idle {
		used -= len(l)
	}
	return float64(used) / float64(p.limit)
}

// keepIdle says whether idle connections may stay open. If not, the idle ones are closed, and each
// other one as soon as it would become idle.
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

// Read implements net.Conn. Each read of a head has a timeout of its own.
func (c *conn) Read(p []byte) (int, error) {
	if c.head != nil {
		c.SetReadDeadline(time.Now().Add(headTimeout))
		if c.head.Err() != nil { // after the line above, lest it undo the end of the context
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

// isQuiet reports whether the other side has neither closed an idle connection nor sent anything on
// it.
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
