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
	// maxClosingConns is how many connections that were shut may not have left the HTTP server yet;
	// with more, nothing is accepted. Its workers end slower than new connections come, and it
	// rejects beyond its own bound.
	maxClosingConns = 32
	// deferAcceptTime is how long the system waits for a client's first bytes, where admission
	// reads them.
	deferAcceptTime = time.Second
)

// listener carries out what package admission decides on client connections.
type listener struct {
	net.Listener
	socket      *os.File // the listener's, as a listener gives no access to its descriptor
	raw         syscall.RawConn
	start       time.Time
	strict      bool   // slow clients are bounded by level, and first bytes are read before a client is admitted
	shared      bool   // other processes have the socket; one that starts may make it block, for all
	header      string // with a client's identity, empty for none
	log         func() // called when the process had no descriptor left
	onClose     func(ConnectionClosed)
	readTimeout ReadTimeout

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
		start:       time.Now(),
		admission:   admission.New(c, limits.Seed),
		maxAlive:    c.MaxConnections + c.MaxOverflow + maxClosingConns,
		log:         limits.OnDescriptorShortage,
		onClose:     limits.OnClose,
		strict:      c.IdleTimeout != [3]time.Duration{},
		header:      limits.Identity,
		burst:       minAcceptBurst,
		readTimeout: limits.ReadTimeout,
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

// carryOut carries out an action on a connection. The caller has the lock.
func (l *listener) carryOut(a admission.Action) {
	switch a.Kind {
	case admission.Evict:
		l.conns[a.Conn].evict()
	case admission.Expire:
		l.conns[a.Conn].deadlineShortened, l.conns[a.Conn].expiryCause = true, a.Cause
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
