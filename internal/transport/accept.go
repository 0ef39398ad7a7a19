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
	// A flood is accepted in bursts: after so many connections that were rejected the listener
	// rests, so that the poller gets to those that are served. While the backlog grows, its bursts
	// grow up to maxAcceptBurst: the clients that are served next are in that backlog, too.
	minAcceptBurst   = 64
	maxAcceptBurst   = 256
	acceptPause      = 200 * time.Microsecond
	acceptRetryDelay = time.Millisecond // where no connection can be closed for another yet
)

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
			time.Sleep(acceptPause)
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
func (l *listener) admit(id int32, nc net.Conn) *clientConn {
	c := &clientConn{Conn: nc, listener: l, admissionID: id, openedAt: time.Now()}
	for int(id) >= len(l.conns) {
		l.conns = append(l.conns, nil)
	}
	l.conns[id] = c
	l.alive++
	return c
}
