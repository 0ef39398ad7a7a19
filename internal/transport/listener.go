package transport

import (
	"bytes"
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
	// ending is how many connections that were shut may still be on their way out of the HTTP server; then nothing is
	// accepted until some are. Its workers end slower than new connections come, and it refuses beyond its own bound.
	ending = 32
	// A flood is taken in turns: after so many connections that came to nothing the listener rests, so that the
	// poller gets to those that are served. While more stand in line than are taken, its turns grow up to mostTurn:
	// who is served next stands in that line, too.
	turnOf   = 64
	mostTurn = 256
	restFor  = 200 * time.Microsecond
	holdFor  = time.Millisecond     // where nobody can make room yet
	shortNap = 2 * time.Millisecond // for a request to come that is refused without a descriptor of its own
	deferFor = time.Second          // that the system waits for a client's first word, where admission looks at it
)

// listener carries out what package admission decides on client connections.
type listener struct {
	net.Listener
	socket *os.File // the listener's, as a listener itself lets nobody at its descriptor
	raw    syscall.RawConn
	start  time.Time
	strict bool   // levels bound slow clients, and what a client has said is looked at before it is let in
	shared bool   // others have the socket; whoever starts one may make it block, for all
	header string // that names a client, empty for none
	log    func() // the process had no descriptor left
	waits  Patience

	leaving atomic.Bool           // answers tell that their connections end
	mover   atomic.Pointer[Mover] // to a process that takes over, nil without one
	parting atomic.Bool           // connections end with their answers, also those whose answers could not tell

	mu        sync.Mutex
	admission *admission.Controller
	conns     []*clientConn // by their names at admission
	ended     bool          // nothing is accepted any more
	alive     int           // given to the HTTP server and not closed by it
	most      int           // of alive
	room      *sync.Cond    // alive went down

	// Accept's alone:
	idle  int           // connections that came to nothing since the last rest
	turn  int           // as many make a rest due
	spare *os.File      // held back for when there is no other descriptor
	ahead [8 << 10]byte // what a client has said by the time that it is accepted
	text  []byte        // of a refusal
}

func newListener(limits *FrontLimits) *listener {
	c := limits.Admission
	l := &listener{start: time.Now(), admission: admission.New(c, limits.Seed), most: c.Places + c.Step + ending, log: limits.Short,
		strict: c.Patience != [3]time.Duration{}, header: limits.Identity, turn: turnOf, waits: limits.Patience}
	l.room = sync.NewCond(&l.mu)
	return l
}

// now is admission's clock. It begins at a second, as 0 is never.
func (l *listener) now() time.Duration { return time.Second + time.Since(l.start) }

// listen has l listen on ln, which must be a socket of the system's.
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
	// The system keeps a silent client to itself for a second; whoever speaks is accepted when its word is there.
	failed := l.raw.Control(func(fd uintptr) {
		err = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_DEFER_ACCEPT, int(deferFor/time.Second))
	})
	return errors.Join(failed, err)
}

// Close ends the listener, also one that is about to listen; connections stay.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.socket == nil {
		l.ended = true
		return nil
	}
	l.ended = true
	err := l.Listener.Close()
	if l.shared { // made to block in the wrong moment, it would block the close, too, until one more client comes
		go l.socket.Close()
		return err
	}
	return errors.Join(err, l.socket.Close())
}

// emptyEvery is how often the last connections are looked at.
const emptyEvery = 20 * time.Millisecond

// emptied calls empty until no connection is left.
func (l *listener) emptied(empty func()) {
	for {
		empty()
		l.mu.Lock()
		left := l.alive
		l.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(emptyEvery)
	}
}

// accept returns the descriptor of the next connection. Those that are turned away never come any further: making a
// net.Conn of one costs as much as all else that is done for it.
func (l *listener) accept() (fd int, from netip.Addr, err error) {
	var failed error
	err = l.raw.Read(func(socket uintptr) bool {
		var sa syscall.Sockaddr
		for {
			if l.shared {
				syscall.SetNonblock(int(socket), true)
			}
			if fd, sa, failed = syscall.Accept4(int(socket), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); failed != syscall.EINTR {
				break
			}
		}
		switch a := sa.(type) {
		case *syscall.SockaddrInet4:
			from = netip.AddrFrom4(a.Addr)
		case *syscall.SockaddrInet6:
			from = netip.AddrFrom16(a.Addr)
		}
		if failed == syscall.EAGAIN { // nobody stands in line
			l.idle, l.turn = 0, turnOf
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

// made makes a connection of a descriptor, which it takes.
func made(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "client")
	defer f.Close()
	c, err := net.FileConn(f) // has a second descriptor until f is closed
	if short(err) {
		sayShort(fd)
	}
	return c, err
}

// short tells that an error is the lack of a descriptor.
func short(err error) bool { return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) }

// sayShort refuses a client on its descriptor as it is. What it asked so far must be read, or the close would take
// back the answer.
func sayShort(fd int) {
	syscall.Read(fd, make([]byte, 4096))
	syscall.Write(fd, []byte(refusedShort))
}

// Accept returns the next connection that is let in. Those that are not are closed here.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.spare == nil {
			l.spare, _ = os.Open(os.DevNull) // without one there is nothing to be done now
		}
		if l.idle >= l.turn {
			l.idle = 0
			l.turn = min(2*l.turn, mostTurn)
			time.Sleep(restFor)
		}
		fd, from, err := l.accept()
		switch {
		case err == nil:
			if c := l.opened(fd, from); c != nil {
				return c, nil
			}
		case short(err):
			l.refuseShort()
		case errors.Is(err, syscall.ECONNABORTED): // by its client, before it was accepted
		default:
			return nil, err
		}
	}
}

// look reads what a client has said by now, if admission wants to know. It returns admission's event and how many bytes
// are in l.ahead.
func (l *listener) look(fd int, from netip.Addr) (e admission.Event, got int) {
	e = admission.Event{Kind: admission.Opened, Addr: from}
	if !l.strict {
		return e, 0
	}
	got, err := syscall.Read(fd, l.ahead[:])
	switch {
	case got > 0:
		var seen protocol.Glance
		seen, e.Said = protocol.Look(l.ahead[:got], l.header)
		e.Identity, e.Whole = seen.Named, e.Said && seen.Length >= 0 && got >= seen.Length
	case err != syscall.EAGAIN && err != syscall.EINTR:
		e.Left = true
	}
	return e, max(got, 0)
}

// opened asks admission, and waits while too many connections are still on their way out.
func (l *listener) opened(fd int, from netip.Addr) (c *clientConn) {
	e, got := l.look(fd, from)
	l.mu.Lock()
	defer l.mu.Unlock()
again:
	for l.alive >= l.most {
		l.room.Wait()
	}
	for _, a := range l.admission.Step(l.now(), e) {
		switch a.Kind {
		case admission.Admit:
			nc, err := made(fd)
			if err != nil { // it is gone already, or there is no descriptor for the moment that this takes two
				l.admission.Step(l.now(), admission.Event{Kind: admission.Closed, Conn: a.Conn})
				if short(err) {
					l.admission.Step(l.now(), admission.Event{Kind: admission.Short})
					l.idle = mostTurn // a rest, and then whoever is next
					go l.log()        // asks for the counts, which the lock guards
				}
				return nil
			}
			c = l.admit(a.Conn, nc)
			c.ahead = bytes.Clone(l.ahead[:got])
		case admission.Turn:
			l.idle++
			if !e.Left { // no request was read whole, so nothing is owed
				syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
			}
			syscall.Close(fd)
		case admission.Refuse:
			l.idle++
			l.refuse(fd, e.Whole && got < len(l.ahead), a)
		case admission.Hold:
			l.mu.Unlock()
			time.Sleep(holdFor)
			l.mu.Lock()
			goto again
		default:
			if a.Kind == admission.Shut {
				l.idle++
			}
			l.carryOut(a)
		}
	}
	return c
}

// admit gives a connection its name. The lock is held.
func (l *listener) admit(name int32, nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, listener: l, name: name}
	for int(name) >= len(l.conns) {
		l.conns = append(l.conns, nil)
	}
	l.conns[name] = c
	l.alive++
	return c
}

// refuse answers a request that was read as its connection was accepted, whole or not. The lock is held.
func (l *listener) refuse(fd int, whole bool, a admission.Action) {
	l.text = protocol.AppendRefusal(l.text[:0], a.Code, a.Away, refusalLine(a))
	// All of it goes out, in one packet with the end, or the client is gone.
	syscall.SendmsgN(fd, l.text, nil, nil, syscall.MSG_MORE|syscall.MSG_DONTWAIT|syscall.MSG_NOSIGNAL)
	if whole || l.alive >= l.most {
		syscall.Close(fd)
		return
	}
	// More of it is on its way; a close with bytes unread would take back the answer.
	syscall.Shutdown(fd, syscall.SHUT_WR)
	l.alive++
	time.AfterFunc(lingerShort, func() {
		rest := make([]byte, 8<<10)
		for n, got := 1, 0; n > 0 && got < lingerBytes; got += n {
			n, _ = syscall.Read(fd, rest)
		}
		syscall.Close(fd)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.alive--
		l.room.Signal()
	})
}

// refusalLine is the text of a refusal.
func refusalLine(a admission.Action) string {
	switch {
	case a.Code == http.StatusTooManyRequests && a.Cause == admission.OverRate:
		return "too many new connections of this client; trying again is harmless"
	case a.Code == http.StatusTooManyRequests:
		return "too many " + a.Cause.String() + " of this client; trying again is harmless"
	}
	return "no place for this request; trying again is harmless"
}

// carryOut does what admission wants of a connection. The lock is held.
func (l *listener) carryOut(a admission.Action) {
	switch a.Kind {
	case admission.Shut:
		l.conns[a.Conn].Conn.Close()
	case admission.Hurry:
		l.conns[a.Conn].hurried = true
		l.conns[a.Conn].Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// tell has admission know of something that concerns one connection, or none.
func (l *listener) tell(e admission.Event) (answer admission.Action) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.admission.Step(l.now(), e) {
		if a.Kind == admission.Serve || a.Kind == admission.Refuse {
			answer = a
			continue
		}
		l.carryOut(a)
	}
	return answer
}

// refuseShort spends the descriptor held back to tell one client that there is no other, and takes a new one.
func (l *listener) refuseShort() {
	l.tell(admission.Event{Kind: admission.Short})
	l.log()
	if l.spare == nil {
		time.Sleep(shortNap)
		return
	}
	l.spare.Close()
	l.spare = nil
	fd, _, err := l.accept()
	if err != nil {
		time.Sleep(shortNap)
		return
	}
	time.Sleep(shortNap) // for its request to come
	sayShort(fd)
	syscall.Close(fd)
}

// refusedShort is the answer of a process without descriptors.
const refusedShort = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// level returns admission's level.
func (l *listener) level() admission.Level {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Level()
}

// reading returns how long a client may take for what one write sent.
func (l *listener) reading() time.Duration {
	if !l.strict {
		return stuckFor
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return cmp.Or(l.admission.Reading(), stuckFor)
}

// use returns the share of the places that is taken.
func (l *listener) use() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admission.Use()
}
