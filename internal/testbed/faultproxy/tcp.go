package faultproxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"reachspread/internal/testbed/faults"
)

const (
	chunkBytes = 16 << 10
	// maxQueuedChunks bounds what one direction of a connection holds; whoever writes more waits, as on a wire.
	maxQueuedChunks = 16
	// dialFor is how long the far side has to come up.
	dialFor = 2 * time.Second
	// usualBacklog is the length of a listener's queue when nothing is cut.
	usualBacklog = 1024
)

// Observer is told of connections as the near side sees them. No method may wait.
type Observer interface {
	// Closed tells that the near side has closed a connection, which the far side knows by this address.
	Closed(conn string)
}

// Conns carries connections from an address to another.
type Conns struct {
	at, to  string
	dialer  net.Dialer // from the address that it listens at, so that the far side can tell relays apart
	watcher Observer   // nil for nobody
	all     sync.WaitGroup
	// taking is held while a connection is taken from the queue. It may be waited for with mu held, not the other way round.
	taking sync.Mutex

	mu      sync.Mutex
	ln      *net.TCPListener
	out, in *faults.Link // towards the far side, and from it
	cut     bool         // in either direction
	on      chan bool    // closed once nothing is cut
	plug    net.Conn     // takes the only place of the queue while it is
	open    map[*carried]bool
	closed  bool
	refuses bool // nobody listens
}

// carried is one connection.
type carried struct {
	near, far *net.TCPConn
	cut       bool // nothing passed for a while: it is reset as the cut ends
}

// NewConns starts at an address.
func NewConns(at, to string, seed, number uint64, watcher Observer) (*Conns, error) {
	r := &Conns{at: at, to: to, watcher: watcher, out: faults.NewLink(seed, number<<1|1<<40), in: faults.NewLink(seed, number<<1|1|1<<40),
		on: make(chan bool), open: map[*carried]bool{}}
	close(r.on)
	return r, r.listen()
}

func (r *Conns) listen() error {
	ln, err := net.Listen("tcp4", r.at)
	if err != nil {
		return err
	}
	r.at, r.ln = ln.Addr().String(), ln.(*net.TCPListener)
	r.dialer = net.Dialer{Timeout: dialFor, LocalAddr: &net.TCPAddr{IP: ln.Addr().(*net.TCPAddr).IP}}
	listener := r.ln
	r.all.Go(func() { r.accept(listener) })
	return nil
}

// Addr is where it listens.
func (r *Conns) Addr() string { return r.at }

// Refuse has new connections be refused, as those to a process that has ended, or come up again.
func (r *Conns) Refuse(on bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if on == r.refuses || r.closed {
		return nil
	}
	r.refuses = on
	if on {
		if r.cut {
			r.plug.Close()
		}
		return r.ln.Close()
	}
	if err := r.listen(); err != nil {
		return err
	}
	if r.cut {
		return r.deafen()
	}
	return nil
}

// Set has the link be as the conditions say, towards the far side and from it.
func (r *Conns) Set(out, in faults.Condition) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Condition, r.in.Condition = out, in
	cut := out.Blackholed || in.Blackholed
	if cut == r.cut || r.closed {
		return nil
	}
	r.cut = cut
	if cut {
		r.on = make(chan bool)
		for c := range r.open {
			c.cut = true
		}
		if r.refuses {
			return nil
		}
		return r.deafen()
	}
	for c := range r.open {
		if c.cut {
			c.reset()
		}
	}
	return r.hear()
}

// deafen has no new connection come up, nor be refused: with a queue of one place that is taken, the kernel answers no
// further SYN. The lock is held.
func (r *Conns) deafen() error {
	r.ln.SetDeadline(time.Unix(1, 0)) // wakes accept, which waits for the end
	r.taking.Lock()                   // it may be about to take what comes next, which would be the plug
	defer r.taking.Unlock()
	if err := r.backlog(0); err != nil {
		return err
	}
	plug, err := net.DialTimeout("tcp4", r.Addr(), dialFor)
	if err != nil {
		return err
	}
	r.plug = plug
	return nil
}

// hear ends that. What stands in the queue meanwhile is reset: it may have come before the cut or during it.
func (r *Conns) hear() error {
	defer close(r.on)
	if r.refuses {
		return nil
	}
	r.plug.Close()
	r.ln.SetDeadline(time.Now().Add(time.Millisecond))
	for {
		c, err := r.ln.AcceptTCP()
		if err != nil {
			break
		}
		c.SetLinger(0)
		c.Close()
	}
	r.ln.SetDeadline(time.Time{})
	return r.backlog(usualBacklog)
}

func (r *Conns) backlog(n int) error {
	raw, err := r.ln.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return failed
}

func (r *Conns) accept(ln *net.TCPListener) {
	for {
		r.mu.Lock()
		on, closed := r.on, r.closed
		r.mu.Unlock()
		if closed {
			return
		}
		<-on
		c, err := r.take(ln)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a cut began
		}
		r.mu.Lock()
		if r.cut || r.closed { // in this moment
			c.SetLinger(0)
			c.Close()
			r.mu.Unlock()
			continue
		}
		x := &carried{near: c}
		r.open[x] = true
		r.mu.Unlock()
		r.all.Go(func() { r.carry(x) })
	}
}

// take takes a connection from the queue.
func (r *Conns) take(ln *net.TCPListener) (*net.TCPConn, error) {
	r.taking.Lock()
	defer r.taking.Unlock()
	return ln.AcceptTCP()
}

func (r *Conns) carry(x *carried) {
	defer func() {
		r.mu.Lock()
		delete(r.open, x)
		r.mu.Unlock()
	}()
	far, err := r.dialer.Dial("tcp4", r.to)
	if err != nil { // as if it had come from there
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
	both.Go(func() { r.pump(x, x.near, x.far, r.out, true) })
	both.Go(func() { r.pump(x, x.far, x.near, r.in, false) })
	both.Wait()
}

// chunk is some bytes and when they are due.
type chunk struct {
	text []byte
	due  time.Time
	end  error // of the side that they came from, in place of bytes
}

// pump carries one direction until its side ends.
func (r *Conns) pump(x *carried, from, to *net.TCPConn, link *faults.Link, near bool) {
	chunks := make(chan chunk, maxQueuedChunks)
	closed := make(chan bool)
	go func() {
		defer close(closed)
		r.put(x, to, chunks)
	}()
	defer func() {
		close(chunks)
		<-closed
	}()
	buf := make([]byte, chunkBytes)
	var last time.Time // pieces do not pass each other
	for {
		n, err := from.Read(buf)
		if n > 0 {
			p := chunk{text: append([]byte(nil), buf[:n]...)}
			r.mu.Lock()
			late := link.ChunkDelay()
			r.mu.Unlock()
			if late > 0 || !last.IsZero() {
				if p.due = time.Now().Add(late); p.due.Before(last) {
					p.due = last
				}
				last = p.due
			}
			select {
			case chunks <- p:
			case <-closed:
				return
			}
		}
		if err == nil {
			continue
		}
		if near && r.watcher != nil && x.far != nil {
			r.watcher.Closed(x.far.LocalAddr().String())
		}
		select {
		case chunks <- chunk{due: last, end: err}:
		case <-closed:
		}
		return
	}
}

// put writes pieces at their time, and holds them while the link is cut.
func (r *Conns) put(x *carried, to *net.TCPConn, chunks <-chan chunk) {
	for p := range chunks {
		if wait := time.Until(p.due); !p.due.IsZero() && wait > 0 {
			time.Sleep(wait)
		}
		r.mu.Lock()
		on, closed := r.on, r.closed
		r.mu.Unlock()
		if !closed {
			<-on
		}
		switch {
		case p.end == nil:
			if _, err := to.Write(p.text); err != nil {
				x.reset() // the side that p came from is to see it, too
				return
			}
		case p.end == io.EOF:
			to.CloseWrite()
		default:
			x.reset()
			return
		}
	}
}

// reset ends both sides at once, without a word of order.
func (x *carried) reset() {
	for _, c := range []*net.TCPConn{x.near, x.far} {
		if c != nil {
			c.SetLinger(0)
			c.Close()
		}
	}
}

// Close ends it, and all connections.
func (r *Conns) Close() {
	r.mu.Lock()
	if !r.closed {
		r.closed = true
		r.ln.Close()
		if r.cut {
			close(r.on)
			if !r.refuses {
				r.plug.Close()
			}
		}
		for c := range r.open {
			c.reset()
		}
	}
	r.mu.Unlock()
	r.all.Wait()
}
