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
	// maxQueuedChunks bounds the queued chunks of one direction of a connection. A sender of more
	// data is blocked, as on a real link.
	maxQueuedChunks = 16
	// dialTimeout bounds a connection attempt to the far side.
	dialTimeout = 2 * time.Second
	// defaultBacklog is the length of a listener's accept queue while the link is not blackholed.
	defaultBacklog = 1024
)

// Observer is notified of events on the near side of proxied connections. Its methods must not block.
type Observer interface {
	// Closed is called when the near side has closed a connection. conn is the address of the
	// connection that the far side sees.
	Closed(conn string)
}

// ConnProxy forwards connections from its address to a target and applies the conditions of a link to
// them. The near side is the process that connects to the proxy; the far side is the target. Close
// ends the proxy's goroutines.
type ConnProxy struct {
	addr, target string
	dialer       net.Dialer // dials from the proxy's own IP address, so that the far side can tell proxies apart
	observer     Observer   // may be nil
	goroutines   sync.WaitGroup
	// accepting is held while a connection is accepted. Lock order: accepting may be locked while mu
	// is held, but mu must not be locked while accepting is held.
	accepting sync.Mutex

	mu         sync.Mutex
	listener   *net.TCPListener
	outbound   *faults.Link // towards the far side
	inbound    *faults.Link
	blackholed bool      // in either direction
	restored   chan bool // closed once the link is not blackholed
	plug       net.Conn  // occupies the listener's accept queue while the link is blackholed
	conns      map[*proxiedConn]bool
	closed     bool
	refusing   bool // the proxy does not listen, so that connections are refused
}

// proxiedConn is one proxied connection with its two sockets.
type proxiedConn struct {
	near, far  *net.TCPConn
	blackholed bool      // the link was blackholed while the connection was open; restoring the link resets it
	sentAt     time.Time // when the near side's most recent data arrived; guarded by the proxy's mu
}

// NewConnProxy starts a proxy from the address at, whose port may be 0, to the address to. Proxies
// with the same seed but different numbers draw different random numbers. It returns an error if the
// proxy can't listen.
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

// listen starts to listen and to accept connections.
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

// Addr returns the address at which the proxy listens.
func (r *ConnProxy) Addr() string { return r.addr }

// Refuse makes the proxy refuse new connections, like the address of an exited process, or accept
// them again. It returns an error if the proxy can't listen again or can't close its listener.
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

// Set sets the conditions of the link in both directions: out towards the far side and in from it.
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

// blackhole leaves new connections without an answer. It limits the listener's accept queue to one
// connection and fills it with the plug, so the kernel answers no further SYN. The caller holds mu.
func (r *ConnProxy) blackhole() error {
	r.listener.SetDeadline(time.Unix(1, 0)) // wakes accept, which then waits for restored
	r.accepting.Lock()                      // prevents accept from accepting the plug
	defer r.accepting.Unlock()
	if err := r.setBacklog(0); err != nil {
		return err
	}
	plug, err := net.DialTimeout("tcp4", r.Addr(), dialTimeout)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil // another connection already fills the queue, and the kernel answers no further SYN
	}
	if err != nil {
		return err
	}
	r.plug = plug
	return nil
}

// closePlug closes the plug, if there is one. The caller holds mu.
func (r *ConnProxy) closePlug() {
	if r.plug != nil {
		r.plug.Close()
		r.plug = nil
	}
}

// SentAt returns when the near side sent its most recent data on a connection, or zero if that is
// unknown. conn is the address of the connection that the far side sees. The time excludes the delay
// of forwarding in this process.
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

// recordSent records when the near side sent the most recently read data.
func (r *ConnProxy) recordSent(x *proxiedConn) {
	at, err := tcptime.Received(x.near)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	x.sentAt = at
}

// restore ends a blackhole. It resets the connections in the accept queue, which may have arrived
// before or during the blackhole. The caller holds mu.
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

// setBacklog changes the length of the listener's accept queue.
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

// accept accepts and forwards the connections of a listener until the listener is closed.
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
			continue // blackhole sets a deadline in the past, which ends the accept
		}
		r.mu.Lock()
		if r.blackholed || r.closed { // may have changed during acceptNext
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
	if err != nil { // the near side sees a reset, as from the far side
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

// chunk is a piece of data with the time at which it is due, or the end of one direction.
type chunk struct {
	data []byte
	due  time.Time
	err  error // why reading from the sender ended; set instead of data
}

// pump forwards one direction of a connection until reading from its sender ends. near reports
// whether the sender is the near side.
func (r *ConnProxy) pump(x *proxiedConn, from, to *net.TCPConn, link *faults.Link, near bool) {
	chunks := make(chan chunk, maxQueuedChunks)
	written := make(chan bool)
	go func() { // ends with the chunks; pump waits for it
		defer close(written)
		r.writeChunks(x, to, chunks)
	}()
	defer func() {
		close(chunks)
		<-written
	}()
	buf := make([]byte, chunkBytes)
	var last time.Time // when the previous chunk is due, because chunks must stay in order
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

// dueTime draws when a chunk that arrives now is due, which is not before last, the due time of the
// previous chunk. It returns zero, which means at once, if neither this chunk nor an earlier one is
// delayed.
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

// writeChunks writes each chunk when it is due. While the link is blackholed, it waits.
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
				x.reset() // resets the sender's side, too
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

// reset resets both sockets of the connection.
func (x *proxiedConn) reset() {
	for _, c := range []*net.TCPConn{x.near, x.far} {
		if c != nil {
			c.SetLinger(0)
			c.Close()
		}
	}
}

// Close stops the proxy, resets all its connections and waits for its goroutines.
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
