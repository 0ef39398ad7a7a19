package transport

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/protocol"
)

const (
	// maxClosingConns is how many connections that were shut may not have left the HTTP server yet;
	// with more, nothing is accepted. Its workers end slower than new connections come, and it
	// rejects beyond its own bound.
	maxClosingConns = 32
	// A flood is accepted in bursts: after so many connections that were rejected the listener
	// rests, so that the poller gets to those that are served. While the backlog grows, its bursts
	// grow up to maxAcceptBurst: the clients that are served next are in that backlog, too.
	minAcceptBurst   = 64
	maxAcceptBurst   = 256
	acceptRest       = 200 * time.Microsecond
	acceptRetryDelay = time.Millisecond // where no connection can be closed for another yet
	// deferAcceptTime is how long the system waits for a client's first bytes, where admission
	// reads them.
	deferAcceptTime = time.Second
)

// listener carries out what package admission decides on client connections.
type listener struct {
	net.Listener
	socket   *os.File // the listener's, as a listener gives no access to its descriptor
	raw      syscall.RawConn
	start    time.Time
	strict   bool   // slow clients are bounded by level, and first bytes are read before a client is admitted
	shared   bool   // other processes have the socket; one that starts may make it block, for all
	header   string // with a client's identity, empty for none
	log      func() // called when the process had no descriptor left
	onClose  func(ConnectionClosed)
	patience Patience

	draining            atomic.Bool           // answers say that their connections end
	mover               atomic.Pointer[Mover] // to a process that takes over, nil for none
	closingAfterAnswers atomic.Bool           // connections end with their answers, also where those could not say so
	acceptFailed        atomic.Bool           // for good

	mu           sync.Mutex
	admission    *admission.Controller
	conns        []*clientConn  // by their IDs at admission
	ended        bool           // nothing is accepted any more
	alive        int            // connections that the HTTP server has
	maxAlive     int            // of alive
	aliveDropped *sync.Cond     // alive was lowered, or nobody waits for a place any more
	closed       closeCounter   // of client connections
	backlogOpen  bool           // the listener ends, and clients may be in its backlog
	noWait       *waitRejection // what clients without a place get, nil while they wait for one
	emptied      bool           // the last connection of a listener that ends has gone
	answersDue   int            // requests that have come to their ends, and have nothing of an answer
	closing      sync.WaitGroup // until its sockets are closed: Accept may fail before that

	// Accept's alone:
	rejectedInBurst    int           // connections that were rejected since the last rest
	burst              int           // the number after which a rest is due
	reservedDescriptor *os.File      // for when there is no other descriptor
	readAhead          [8 << 10]byte // what a client has sent before it is admitted
	text               []byte        // of a rejection
}

// newListener returns a listener that does not listen yet.
func newListener(limits *FrontLimits) *listener {
	c := limits.Admission
	l := &listener{
		start:     time.Now(),
		admission: admission.New(c, limits.Seed),
		maxAlive:  c.MaxConnections + c.MaxOverflow + maxClosingConns,
		log:       limits.OnDescriptorShortage,
		onClose:   limits.OnClose,
		strict:    c.IdleTimeout != [3]time.Duration{},
		header:    limits.Identity,
		burst:     minAcceptBurst,
		patience:  limits.Patience,
	}
	l.aliveDropped = sync.NewCond(&l.mu)
	return l
}

// now is admission's clock. It begins at a second, as 0 means never.
func (l *listener) now() time.Duration { return time.Second + time.Since(l.start) }

// listen has l listen on ln, which must be a TCP socket.
func (l *listener) listen(ln net.Listener, shared bool) (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return ln.Close()
	}
	l.Listener, l.shared = ln, shared
	socket, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return fmt.Errorf("%s is no socket", ln.Addr())
	}
	if l.socket, err = socket.File(); err != nil {
		return err
	}
	l.raw, err = l.socket.SyscallConn()
	if err != nil || !l.strict {
		return err
	}
	// The system accepts a silent client after a second only, others when their first bytes have
	// come.
	failed := l.raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_DEFER_ACCEPT, int(deferAcceptTime/time.Second))
	})
	return errors.Join(failed, err)
}

// Close ends the listener, also one that is about to listen; connections stay. One that no other
// process has goes on accepting for a moment: Accept fails once it is closed.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.socket == nil {
		l.ended = true
		return nil
	}
	l.ended = true
	if !l.shared {
		l.backlogOpen = true
		l.closing.Go(func() { l.closeAfterBacklog() })
		return nil
	}
	err := l.Listener.Close()
	go l.socket.Close() // made to block by another process, it would block the close, too, until one more client comes
	return err
}

// closeSockets closes both descriptors of a listening socket.
func (l *listener) closeSockets() error { return errors.Join(l.Listener.Close(), l.socket.Close()) }

// exclusive reports whether the listener has listened on a socket that no other process has.
func (l *listener) exclusive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket != nil && !l.shared
}

// drainCheckInterval is how often the last connections are closed if they are idle.
const drainCheckInterval = 20 * time.Millisecond

// closeUntilEmpty calls closeIdle until no connection is left.
func (l *listener) closeUntilEmpty(closeIdle func()) {
	for {
		closeIdle()
		if l.isEmpty() {
			return
		}
		time.Sleep(drainCheckInterval)
	}
}

// isEmpty reports whether no connection is left. From then on none is taken over from another process.
func (l *listener) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.emptied = l.alive == 0
	return l.emptied
}

// accept returns the descriptor of the next connection. A net.Conn is made only of those that are
// admitted: making one costs as much as all else that is done for a connection.
func (l *listener) accept() (fd int, from netip.Addr, err error) {
	var failed error
	err = l.raw.Read(func(socket uintptr) bool {
		var sa syscall.Sockaddr
		for {
			if l.shared {
				syscall.SetNonblock(int(socket), true)
			}
			fd, sa, failed = syscall.Accept4(int(socket), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
			if failed != syscall.EINTR {
				break
			}
		}
		switch a := sa.(type) {
		case *syscall.SockaddrInet4:
			from = netip.AddrFrom4(a.Addr)
		case *syscall.SockaddrInet6:
			from = netip.AddrFrom16(a.Addr)
		}
		if failed == syscall.EAGAIN { // the backlog is empty
			l.rejectedInBurst, l.burst = 0, minAcceptBurst
			return false
		}
		return true
	})
	if errors.Is(err, os.ErrClosed) {
		err = net.ErrClosed
	}
	if err == nil {
		err = failed
	}
	return fd, from, err
}

// connOf makes a connection of a descriptor, which it takes over.
func connOf(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "client")
	defer f.Close()
	c, err := net.FileConn(f) // has a second descriptor until f is closed
	if isDescriptorShortage(err) {
		rejectForShortage(fd)
	}
	return c, err
}

// Accept returns the next connection that is admitted. Others are rejected here.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.reservedDescriptor == nil {
			l.reservedDescriptor, _ = os.Open(os.DevNull) // without one there is nothing to do now
		}
		if l.rejectedInBurst >= l.burst {
			l.rejectedInBurst = 0
			l.burst = min(2*l.burst, maxAcceptBurst)
			time.Sleep(acceptRest)
		}
		fd, from, err := l.accept()
		switch {
		case err == nil:
			if c := l.admitOpened(fd, from); c != nil {
				return c, nil
			}
		case isDescriptorShortage(err):
			l.rejectNextForShortage()
		case errors.Is(err, syscall.ECONNABORTED): // by its client, before it was accepted
		case isConnectionError(err):
			time.Sleep(acceptRetryDelay)
		default:
			l.acceptFailed.Store(true)
			return nil, err
		}
	}
}

// readEarly looks at what a client has sent by now, if admission is strict. It returns admission's
// event and how many bytes are in l.readAhead; they stay unread, as the connection may be dropped.
func (l *listener) readEarly(fd int, from netip.Addr) (e admission.Event, got int) {
	e = admission.Event{Kind: admission.Opened, Addr: from}
	if !l.strict {
		return e, 0
	}
	got, _, err := syscall.Recvfrom(fd, l.readAhead[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch {
	case got > 0:
		var framing protocol.RequestFraming
		framing.Feed(l.readAhead[:got])
		e.HeadComplete, e.RequestComplete = framing.HeadComplete(), framing.Complete()
		if seen, ok := protocol.ParseRequestHead(l.readAhead[:got], l.header); ok {
			e.Identity = seen.HeaderValue
		}
	case err != syscall.EAGAIN && err != syscall.EINTR:
		e.ClientLeft = true
	}
	return e, max(got, 0)
}

// admitOpened has admission decide on a connection, nil for one that is not admitted. It waits
// while too many connections have not left the HTTP server.
func (l *listener) admitOpened(fd int, from netip.Addr) (c *clientConn) {
	e, got := l.readEarly(fd, from)
	l.mu.Lock()
	defer l.mu.Unlock()
again:
	for l.alive >= l.maxAlive && l.noWait == nil {
		l.aliveDropped.Wait()
	}
	if l.alive >= l.maxAlive {
		l.rejectWaiting(fd)
		return nil
	}
	for _, a := range l.admission.Step(l.now(), e) {
		switch a.Kind {
		case admission.Admit:
			nc, err := connOf(fd)
			if err != nil { // it is closed already, or there is no second descriptor
				l.admission.Step(l.now(), admission.Event{Kind: admission.Closed, Conn: a.Conn})
				if isDescriptorShortage(err) {
					l.admission.Step(l.now(), admission.Event{Kind: admission.DescriptorShortage})
					l.rejectedInBurst = maxAcceptBurst // rest before the next one
					go l.log()                         // asks for the counts, which the lock guards
				}
				return nil
			}
			c = l.admit(a.Conn, nc)
		case admission.Drop:
			l.rejectedInBurst++
			if !e.ClientLeft { // no request was read to its end, so no answer is owed
				syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
			}
			syscall.Close(fd)
		case admission.Reject:
			l.rejectedInBurst++
			syscall.Read(fd, l.readAhead[:got]) // a close with bytes unread would take back the answer
			l.reject(fd, e.RequestComplete && got < len(l.readAhead), a)
		case admission.RetryLater:
			if l.noWait != nil {
				l.rejectWaiting(fd)
				return nil
			}
			l.mu.Unlock()
			time.Sleep(acceptRetryDelay)
			l.mu.Lock()
			goto again
		default:
			if a.Kind == admission.Evict {
				l.rejectedInBurst++
			}
			l.carryOut(a)
		}
	}
	return c
}

// admit adds a connection under its ID at admission. The caller has the lock.
func (l *listener) admit(name int32, nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, listener: l, admissionID: name, openedAt: time.Now()}
	for int(name) >= len(l.conns) {
		l.conns = append(l.conns, nil)
	}
	l.conns[name] = c
	l.alive++
	return c
}

// reject answers a request that was read, complete or not, before its connection was admitted. The
// caller has the lock.
func (l *listener) reject(fd int, complete bool, a admission.Action) {
	l.text = protocol.AppendRejection(l.text[:0], a.Code, a.RetryAfter, rejectionText(a))
	// All of it goes out, in one packet with the end, or the client is gone.
	syscall.SendmsgN(fd, l.text, nil, nil, syscall.MSG_MORE|syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	if complete || l.alive >= l.maxAlive {
		syscall.Close(fd)
		return
	}
	l.closeAfterLinger(fd)
}

// closeAfterLinger closes a rejected connection once more of its request has been read for a moment:
// a close with bytes unread would take back the answer. The caller has the lock.
func (l *listener) closeAfterLinger(fd int) {
	syscall.Shutdown(fd, syscall.SHUT_WR)
	l.alive++
	time.AfterFunc(overloadLingerTimeout, func() {
		rest := make([]byte, 8<<10)
		for n, got := 1, 0; n > 0 && got < lingerBytes; got += n {
			n, _ = syscall.Read(fd, rest)
		}
		syscall.Close(fd)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.alive--
		l.aliveDropped.Signal()
	})
}

// noCapacityText is for a client for which no connection is free.
const noCapacityText = "no place for this request; trying again is harmless"

// rejectionText returns the text of a rejection.
func rejectionText(a admission.Action) string {
	switch {
	case a.Code == http.StatusTooManyRequests && a.Cause == admission.RateExceeded:
		return "too many new connections of this client; trying again is harmless"
	case a.Code == http.StatusTooManyRequests:
		return "too many " + a.Cause.String() + " of this client; trying again is harmless"
	}
	return noCapacityText
}

// carryOut carries out an action on a connection. The caller has the lock.
func (l *listener) carryOut(a admission.Action) {
	switch a.Kind {
	case admission.Evict:
		l.conns[a.Conn].evict()
	case admission.Expire:
		l.conns[a.Conn].hurried, l.conns[a.Conn].expiryCause = true, a.Cause
		l.conns[a.Conn].Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// notifyAdmission has admission handle an event, and returns its answer to a request that was read.
func (l *listener) notifyAdmission(e admission.Event) (answer admission.Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.step(e)
}

// step is notifyAdmission for a caller that has the lock.
func (l *listener) step(e admission.Event) (answer admission.Action) {
	for _, a := range l.admission.Step(l.now(), e) {
		if a.Kind == admission.Serve || a.Kind == admission.Reject {
			answer = a
			continue
		}
		l.carryOut(a)
	}
	return answer
}

// level returns admission's level.
func (l *listener) level() admission.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Level()
}

// writeTimeout returns how long a client may take to read what one write sent.
func (l *listener) writeTimeout() time.Duration {
	if !l.strict {
		return clientWriteTimeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return cmp.Or(l.admission.WriteTimeout(), clientWriteTimeout)
}

// usedFraction returns the fraction of the connections that is used.
func (l *listener) usedFraction() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.UsedFraction()
}
