package transport

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"reachspread/internal/admission"
)

const (
	// maxClosingConns is how many closed connections the HTTP server may still hold; with more,
	// nothing is accepted. The server's workers end more slowly than new connections arrive, and
	// the server rejects connections beyond its own bound.
	maxClosingConns = 32
	// deferAcceptTime is how long the system waits for a client's first bytes before it hands the
	// connection over, if admission reads those bytes.
	deferAcceptTime = time.Second
)

// listener accepts client connections and carries out the decisions of package admission on them.
type listener struct {
	net.Listener
	socket      *os.File // duplicate of the Listener's socket, because a Listener gives no access to its descriptor
	raw         syscall.RawConn
	start       time.Time
	strict      bool   // limits on slow clients depend on admission's level, and the first bytes are read before a client is admitted
	shared      bool   // other processes have the socket; a process that starts may set it to blocking mode, which affects all of them
	header      string // name of the header with a client's identity, empty for none
	log         func() // called when the process has no descriptor left
	onClose     func(ConnectionClosed)
	panics      *PanicLog // nil to let a panic end the process
	readTimeout ReadTimeout

	draining            atomic.Bool           // answers announce that their connections end
	mover               atomic.Pointer[Mover] // moves connections to the process that takes over, nil for none
	closingAfterAnswers atomic.Bool           // connections end with their answers, even with answers that could not announce it
	acceptFailed        atomic.Bool           // accept has failed permanently

	mu           sync.Mutex
	admission    *admission.Controller
	conns        []*clientConn  // indexed by admission ID
	ended        bool           // no further connection is accepted
	alive        int            // connections that the HTTP server holds, and rejected ones that are still read from
	maxAlive     int            // upper bound of alive
	aliveDropped *sync.Cond     // signals that alive was lowered, or that noWait was set
	closed       closeCounter   // of client connections
	backlogOpen  bool           // the listener is closing, and clients may be in its backlog
	noWait       *waitRejection // answer to clients without a place, nil while they wait for one
	emptied      bool           // the listener is closing, and its last connection has gone
	answersDue   int            // complete requests of whose answers nothing was written
	closing      sync.WaitGroup // waits until the sockets are closed: Accept may fail before that

	// Only Accept uses these fields:
	rejectedInBurst    int           // connections rejected since the last pause
	burst              int           // number of rejections after which a pause is due
	reservedDescriptor *os.File      // released when no other descriptor is free
	readAhead          [8 << 10]byte // bytes that a client has sent before it is admitted
	text               []byte        // buffer for the text of a rejection
}

// newListener returns a listener that does not listen yet.
func newListener(limits *FrontLimits) *listener {
	c := limits.Admission
	l := &listener{
		start:       time.Now(),
		admission:   admission.New(c, limits.Seed),
		maxAlive:    c.MaxConnections + c.MaxOverflow + maxClosingConns,
		log:         limits.OnDescriptorShortage,
		onClose:     limits.OnClose,
		panics:      limits.Panics,
		strict:      c.IdleTimeout != [3]time.Duration{},
		header:      limits.Identity,
		burst:       minAcceptBurst,
		readTimeout: limits.ReadTimeout,
	}
	l.aliveDropped = sync.NewCond(&l.mu)
	return l
}

// now returns the time of admission's clock. The clock starts at one second, because 0 means never.
func (l *listener) now() time.Duration { return time.Second + time.Since(l.start) }

// listen makes l listen on ln, which must be a TCP socket.
func (l *listener) listen(ln net.Listener, shared bool) (err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return ln.Close()
	}
	l.Listener, l.shared = ln, shared
	socket, ok := ln.(interface{ File() (*os.File, error) })
	if !ok {
		return fmt.Errorf("listener on %s is not a socket", ln.Addr())
	}
	if l.socket, err = socket.File(); err != nil {
		return err
	}
	l.raw, err = l.socket.SyscallConn()
	if err != nil || !l.strict {
		return err
	}
	// The system hands over a silent client only after a second, and other clients when their first
	// bytes have arrived.
	failed := l.raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_DEFER_ACCEPT, int(deferAcceptTime/time.Second))
	})
	return errors.Join(failed, err)
}

// Close ends the listener, even if it does not listen yet. Existing connections stay open. If no
// other process has the socket, the listener keeps accepting until its backlog is empty; Accept
// fails when the socket is closed after that.
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
	go l.socket.Close() // asynchronous: if another process has set the socket to blocking mode, this close waits until one more client connects
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

// drainCheckInterval is the interval at which a drain closes the remaining connections that are
// idle.
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

// isEmpty reports whether no connection is left. After it has returned true, the listener takes
// over no connection from another process.
func (l *listener) isEmpty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.emptied = l.alive == 0
	return l.emptied
}

// carryOut carries out an action of admission on a connection. The caller holds l.mu.
func (l *listener) carryOut(a admission.Action) {
	switch a.Kind {
	case admission.Evict:
		l.conns[a.Conn].evict()
	case admission.Expire:
		l.conns[a.Conn].deadlineShortened, l.conns[a.Conn].expiryCause = true, a.Cause
		l.conns[a.Conn].Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// notifyAdmission passes an event to admission, and returns its answer to a request that was read.
func (l *listener) notifyAdmission(e admission.Event) (answer admission.Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.step(e)
}

// step does what notifyAdmission does, for a caller that holds l.mu.
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

// writeTimeout returns how long a client may take to read the bytes of one write.
func (l *listener) writeTimeout() time.Duration {
	if !l.strict {
		return clientWriteTimeout
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return cmp.Or(l.admission.WriteTimeout(), clientWriteTimeout)
}

// usedFraction returns the fraction of the allowed connections that are in use.
func (l *listener) usedFraction() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.UsedFraction()
}
