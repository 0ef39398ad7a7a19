package transport

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/protocol"
)

const (
	// During a flood of connections, the listener pauses after each burst of rejected connections,
	// so that the network poller also gets to the connections that are served. While the backlog is
	// not empty, the burst size doubles up to maxAcceptBurst, because the backlog also holds the
	// clients that will be served next.
	minAcceptBurst   = 64
	maxAcceptBurst   = 256
	acceptDelay      = 200 * time.Microsecond
	acceptRetryDelay = time.Millisecond // pause after a connection error, and before asking admission again when it can't make room yet
)

// accept returns the descriptor of the next connection and its client's address. Only admitted
// connections get a net.Conn, because creating one costs as much as everything else that is done
// for a connection.
func (l *listener) accept() (fd int, from netip.AddrPort, err error) {
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
		from = addrPortOf(sa)
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

// addrPortOf returns the IP address and port of a socket address. It returns the zero AddrPort for
// nil and for an address of another family.
func addrPortOf(sa syscall.Sockaddr) netip.AddrPort {
	switch a := sa.(type) {
	case *syscall.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *syscall.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	return netip.AddrPort{}
}

// peerOf returns the address of the other side of a connection that was made of a descriptor. ok is
// false if the other side had reset the connection by then, as the system no longer knew it.
func peerOf(c net.Conn) (peer netip.AddrPort, ok bool) {
	tcp, ok := c.RemoteAddr().(*net.TCPAddr)
	if !ok {
		return netip.AddrPort{}, false
	}
	peer = tcp.AddrPort()
	return netip.AddrPortFrom(peer.Addr().Unmap(), peer.Port()), true
}

// connOf returns a connection for the descriptor fd and takes ownership of fd. If the client has
// reset the connection, its RemoteAddr is nil.
func connOf(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "client")
	defer f.Close()
	c, err := net.FileConn(f) // duplicates the descriptor; f.Close closes the original
	if isDescriptorShortage(err) {
		rejectForShortage(fd)
	}
	return c, err
}

// Accept returns the next connection that admission accepts. It rejects all others itself.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.reservedDescriptor == nil {
			l.reservedDescriptor, _ = os.Open(os.DevNull) // if this fails, the listener runs without a reserved descriptor
		}
		if l.rejectedInBurst >= l.burst {
			l.rejectedInBurst = 0
			l.burst = min(2*l.burst, maxAcceptBurst)
			time.Sleep(acceptDelay)
		}
		fd, from, err := l.accept()
		switch {
		case err == nil:
			if c := l.admitOpened(fd, from); c != nil {
				return c, nil
			}
		case isDescriptorShortage(err):
			l.rejectNextForShortage()
		case errors.Is(err, syscall.ECONNABORTED): // the client aborted the connection before it was accepted
		case isConnectionError(err):
			time.Sleep(acceptRetryDelay)
		default:
			l.acceptFailed.Store(true)
			return nil, err
		}
	}
}

// readEarly peeks at the bytes that a client has sent so far, if admission is strict. It returns
// the event for admission and the number of bytes copied to l.readAhead. The bytes stay unread in
// the socket, because the connection may still be dropped.
func (l *listener) readEarly(fd int, from netip.AddrPort) (e admission.Event, got int) {
	e = admission.Event{Kind: admission.Opened, Addr: from.Addr()}
	defer l.panics.contain("reading ahead of admission", func() { got = max(got, 0) })
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

// admitOpened asks admission whether to accept a connection and returns nil if the connection is
// not admitted. It blocks while the HTTP server still holds too many connections.
func (l *listener) admitOpened(fd int, from netip.AddrPort) (c *clientConn) {
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
			if err != nil { // the connection is closed already, or no descriptor is left for the duplicate
				l.admission.Step(l.now(), admission.Event{Kind: admission.Closed, Conn: a.Conn})
				if isDescriptorShortage(err) {
					l.admission.Step(l.now(), admission.Event{Kind: admission.DescriptorShortage})
					l.rejectedInBurst = maxAcceptBurst // pause before the next accept
					go l.log()                         // in a goroutine: the callback asks for counts, which need the lock
				}
				return nil
			}
			c = l.admit(a.Conn, nc, from)
		case admission.Drop:
			l.rejectedInBurst++
			if !e.ClientLeft { // no complete request was read, so the client is not owed an answer
				syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
			}
			syscall.Close(fd)
		case admission.Reject:
			l.rejectedInBurst++
			syscall.Read(fd, l.readAhead[:got]) // closing with unread bytes would reset the connection, and the client could lose the answer
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

// admit registers a connection of the client at an address under its admission ID. The caller holds
// l.mu.
func (l *listener) admit(id int32, nc net.Conn, from netip.AddrPort) *clientConn {
	c := &clientConn{Conn: nc, listener: l, client: from, admissionID: id, openedAt: time.Now()}
	for int(id) >= len(l.conns) {
		l.conns = append(l.conns, nil)
	}
	l.conns[id] = c
	l.alive++
	return c
}
