package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/tcptime"
)

const (
	chunkBytes = 16 << 10
	// maxQueuedChunks bounds what one direction of a connection queues; a sender of more waits, as
	// on a wire.
	maxQueuedChunks = 16
	// dialTimeout bounds a connection attempt to the far side.
	dialTimeout = 2 * time.Second
	// defaultBacklog is the length of a listener's queue while the link is not blackholed.
	defaultBacklog = 1024
)

// Observer observes connections as the near side sees them. Its methods must not block.
type Observer interface {
	// Closed is called when the near side has closed a connection, which the far side knows by this
	// address.
	Closed(conn string)
}

// ConnProxy forwards connections from its address to a target, under the conditions of a link. Its
// goroutines end with Close.
type ConnProxy struct {
	addr, target string
	dialer       net.Dialer // from its own IP address, so that the far side can tell proxies apart
	observer     Observer   // may be nil
	goroutines   sync.WaitGroup
	// accepting is held while a connection is accepted. It may be locked with mu held, but mu not
	// with accepting held.
	accepting sync.Mutex

	mu         sync.Mutex
	listener   *net.TCPListener
	outbound   *faults.Link // towards the far side
	inbound    *faults.Link
	blackholed bool      // in either direction
	restored   chan bool // closed once the link is not blackholed
	plug       net.Conn  // occupies the listener's queue while the link is blackholed
	conns      map[*proxiedConn]bool
	closed     bool
	refusing   bool // does not listen
}

// proxiedConn is one connection, of two sockets.
type proxiedConn struct {
	near, far  *net.TCPConn
	blackholed bool      // the link was blackholed meanwhile: it is reset when that ends
	sentAt     time.Time // when what the near side sent last came; mu of the proxy guards it
}

// NewConnProxy starts a proxy at an address, which may end with port 0. The links of proxies with
// different numbers draw different random numbers of the seed. The error is that of listening.
func NewConnProxy(at, to string, seed, number uint64, observer Observer) (*ConnProxy, error) {
	r := &ConnProxy{
		addr:     at,
		target:   to,
		observer: observer,
		outbound: faults.NewLink(seed, number<<1|1<<40),
		inbound:  faults.NewLink(seed, number<<1|1|1<<40),
		restored: make(chan bool),
		conns:    map[*proxiedConn]bool{},
	}
	close(r.restored)
	return r, r.listen()
}

// listen begins to accept connections.
func (r *ConnProxy) listen() error {
	ln, err := net.Listen("tcp4", r.addr)
	if err != nil {
		return err
	}
	r.addr, r.listener = ln.Addr().String(), ln.(*net.TCPListener)
	r.dialer = net.Dialer{Timeout: dialTimeout, LocalAddr: &net.TCPAddr{IP: ln.Addr().(*net.TCPAddr).IP}}
	listener := r.listener
	r.goroutines.Go(func() { r.accept(listener) })
	return nil
}

// Addr is the address where the proxy listens.
func (r *ConnProxy) Addr() string { return r.addr }

// Refuse refuses new connections, as the address of an exited process does, or accepts them again.
// The error is that of listening.
func (r *ConnProxy) Refuse(on bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on == r.refusing || r.closed {
		return nil
	}
	r.refusing = on
	if on {
		r.closePlug()
		return r.listener.Close()
	}
	if err := r.listen(); err != nil {
		return err
	}
	if r.blackholed {
		return r.blackhole()
	}
	return nil
}

// Set sets the conditions of the link towards the far side and from it.
func (r *ConnProxy) Set(out, in faults.Condition) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbound.Condition, r.inbound.Condition = out, in
	blackholed := out.Blackholed || in.Blackholed
	if blackholed == r.blackholed || r.closed {
		return nil
	}
	r.blackholed = blackholed
	if blackholed {
		r.restored = make(chan bool)
		for c := range r.conns {
			c.blackholed = true
		}
		if r.refusing {
			return nil
		}
		return r.blackhole()
	}
	for c := range r.conns {
		if c.blackholed {
			c.reset()
		}
	}
	return r.restore()
}

// blackhole leaves new connections without an answer: while a listener's queue has one place, which
// the plug occupies, the kernel answers no further SYN. The lock is held.
func (r *ConnProxy) blackhole() error {
	r.listener.SetDeadline(time.Unix(1, 0)) // wakes accept, which then waits for restored
	r.accepting.Lock()                      // accept might take the plug otherwise
	defer r.accepting.Unlock()
	if err := r.setBacklog(0); err != nil {
		return err
	}
	plug, err := net.DialTimeout("tcp4", r.Addr(), dialTimeout)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil // another connection has taken the one place, and the kernel answers no further SYN
	}
	if err != nil {
		return err
	}
	r.plug = plug
	return nil
}

// closePlug closes the plug, if there is one. The lock is held.
func (r *ConnProxy) closePlug() {
	if r.plug != nil {
		r.plug.Close()
		r.plug = nil
	}
}

// SentAt returns when the near side sent what it sent last on a connection that the far side knows by
// an address; zero where that is not known. It does not count how long this process took to forward
// that.
func (r *ConnProxy) SentAt(conn string) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	for x := range r.conns {
		if x.far != nil && x.far.LocalAddr().String() == conn {
			return x.sentAt
		}
	}
	return time.Time{}
}

// recordSent keeps when the near side sent what was read last.
func (r *ConnProxy) recordSent(x *proxiedConn) {
	at, err := tcptime.Received(x.near)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x.sentAt = at
}

// restore ends a blackhole. Connections in the queue are reset: they may have come before it or
// during it. The lock is held.
func (r *ConnProxy) restore() error {
	defer close(r.restored)
	if r.refusing {
		return nil
	}
	r.closePlug()
	r.listener.SetDeadline(time.Now().Add(time.Millisecond))
	for {
		c, err := r.listener.AcceptTCP()
		if err != nil {
			break
		}
		c.SetLinger(0)
		c.Close()
	}
	r.listener.SetDeadline(time.Time{})
	return r.setBacklog(defaultBacklog)
}

// setBacklog changes the length of the listener's queue.
func (r *ConnProxy) setBacklog(n int) error {
	raw, err := r.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}

// accept forwards the connections of a listener until it is closed.
func (r *ConnProxy) accept(ln *net.TCPListener) {
	for {
		r.mu.Lock()
		on, closed := r.restored, r.closed
		r.mu.Unlock()
		if closed {
			return
		}
		<-on
		c, err := r.acceptNext(ln)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a blackhole began
		}
		r.mu.Lock()
		if r.blackholed || r.closed { // since acceptNext
			c.SetLinger(0)
			c.Close()
			r.mu.Unlock()
			continue
		}
		x := &proxiedConn{near: c}
		r.conns[x] = true
		r.mu.Unlock()
		r.goroutines.Go(func() { r.forward(x) })
	}
}

// acceptNext accepts the next connection in the queue.
func (r *ConnProxy) acceptNext(ln *net.TCPListener) (*net.TCPConn, error) {
	r.accepting.Lock()
	defer r.accepting.Unlock()
	return ln.AcceptTCP()
}

// forward forwards a connection in both directions until both have ended.
func (r *ConnProxy) forward(x *proxiedConn) {
	defer func() {
		r.mu.Lock()
		delete(r.conns, x)
		r.mu.Unlock()
	}()
	far, err := r.dialer.Dial("tcp4", r.target)
	if err != nil { // reset as by the far side
		x.near.SetLinger(0)
		x.near.Close()
		return
	}
	r.mu.Lock()
	x.far = far.(*net.TCPConn)
	r.mu.Unlock()
	defer x.far.Close()
	defer x.near.Close()
	var both sync.WaitGroup
	both.Go(func() { r.pump(x, x.near, x.far, r.outbound, true) })
	both.Go(func() { r.pump(x, x.far, x.near, r.inbound, false) })
	both.Wait()
}

// chunk is data with the time when it is due, or the end of a direction.
type chunk struct {
	data []byte
	due  time.Time
	err  error // the end of the side that it came from, in place of data
}

// pump forwards one direction until its side ends. near says that it is the near side's.
func (r *ConnProxy) pump(x *proxiedConn, from, to *net.TCPConn, link *faults.Link, near bool) {
	chunks := make(chan chunk, maxQueuedChunks)
	written := make(chan bool)
	go func() { // until the chunks end, which this function awaits
		defer close(written)
		r.writeChunks(x, to, chunks)
	}()
	defer func() {
		close(chunks)
		<-written
	}()
	buf := make([]byte, chunkBytes)
	var last time.Time // when the chunk before is due: chunks do not overtake each other
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if near {
				r.recordSent(x)
			}
			c := chunk{data: append([]byte(nil), buf[:n]...)}
			c.due = r.dueTime(link, last)
			if !c.due.IsZero() {
				last = c.due
			}
			select {
			case chunks <- c:
			case <-written:
				return
			}
		}
		if err == nil {
			continue
		}
		if near && r.observer != nil && x.far != nil {
			r.observer.Closed(x.far.LocalAddr().String())
		}
		select {
		case chunks <- chunk{due: last, err: err}:
		case <-written:
		}
		return
	}
}

// dueTime draws when a chunk that comes now is due, not before the last one; zero for at once, if
// no chunk was ever late.
func (r *ConnProxy) dueTime(link *faults.Link, last time.Time) time.Time {
	r.mu.Lock()
	delay := link.ChunkDelay()
	r.mu.Unlock()
	if delay <= 0 && last.IsZero() {
		return time.Time{}
	}
	due := time.Now().Add(delay)
	if due.Before(last) {
		return last
	}
	return due
}

// writeChunks writes chunks at their time, and queues them while the link is blackholed.
func (r *ConnProxy) writeChunks(x *proxiedConn, to *net.TCPConn, chunks <-chan chunk) {
	for p := range chunks {
		if wait := time.Until(p.due); !p.due.IsZero() && wait > 0 {
			time.Sleep(wait)
		}
		r.mu.Lock()
		on, closed := r.restored, r.closed
		r.mu.Unlock()
		if !closed {
			<-on
		}
		switch {
		case p.err == nil:
			if _, err := to.Write(p.data); err != nil {
				x.reset() // the side that p came from sees it, too
				return
			}
		case p.err == io.EOF:
			to.CloseWrite()
		default:
			x.reset()
			return
		}
	}
}

// reset resets both sides.
func (x *proxiedConn) reset() {
	for _, c := range []*net.TCPConn{x.near, x.far} {
		if c != nil {
			c.SetLinger(0)
			c.Close()
		}
	}
}

// Close ends the proxy, resets all connections and waits for its goroutines.
func (r *ConnProxy) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		r.listener.Close()
		if r.blackholed {
			close(r.restored)
			if !r.refusing {
				r.closePlug()
			}
		}
		for c := range r.conns {
			c.reset()
		}
	}
	r.mu.Unlock()
	r.goroutines.Wait()
}
