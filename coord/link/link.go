// Package link carries messages between processes: frames over TCP, one connection to each address that something is sent to. Nothing is
// sent twice; what can't be sent soon is lost, as on any network. Messages of one sender to one address that arrive over one connection do so
// in their order. A receiver says that bytes arrive, and no more: a connection through which nothing does is replaced (delivery.go).
package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	mapset "github.com/deckarep/golang-set/v2"
	"golang.org/x/sys/unix"

	"reachspread/coord/failpoint"
)

const (
	dialFor      = 200 * time.Millisecond // a machine that comes up meanwhile is not noticed by the try under way
	writeFor     = 2 * time.Second
	dialAgain    = 50 * time.Millisecond // between two tries
	unacked      = 1500 * time.Millisecond
	idleFor      = 20 * time.Second // then a connection is closed
	queued       = 256              // messages that wait for one address; further ones are lost
	lineBytes    = 4 << 20          // in these; one message alone may be longer
	linkBytes    = 24 << 20         // in messages that wait for all addresses
	mostAddress  = 4096
	mostAccepted = 1024
	buffer       = 16 << 10
	frameHead    = 4 + 1

	// MostMessage bounds a message, in bytes.
	MostMessage = 24 << 20
)

// Kind tells messages of different protocols on one link apart.
type Kind uint8

// Handler is given each message that comes. It must not keep data, and other messages of the same sender wait for it.
type Handler func(kind Kind, data []byte)

// Figures are counters since the start.
type Figures struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	Lost                    uint64 // found no room, or no connection
	Connected               uint64 // connections that were opened to others
	Unreachable             uint64 // tries to open one in vain
	Broken                  uint64 // that ended while something was sent, or that nothing went through
}

// Link is one process's.
type Link struct {
	listen netip.AddrPort
	handle Handler
	ctx    context.Context

	mu      sync.Mutex
	lines   map[string]*line
	inbound mapset.Set[net.Conn]

	closing sync.WaitGroup

	waiting                                        atomic.Int64 // bytes in frames that were left and not written yet
	sent, sentBytes, received, receivedBytes, lost atomic.Uint64
	connected, unreachable, broken                 atomic.Uint64
}

// line is the way to one address.
type line struct {
	queue   chan []byte  // frames
	waiting atomic.Int64 // bytes in them, and in the one that is being written
}

// New returns a link that will listen at an address.
func New(listen netip.AddrPort, handle Handler) *Link {
	return &Link{listen: listen, handle: handle, lines: map[string]*line{}, inbound: mapset.NewThreadUnsafeSet[net.Conn]()}
}

// Start listens and carries messages until ctx ends.
func (l *Link) Start(ctx context.Context) error {
	listener := net.ListenConfig{KeepAlive: -1}
	ln, err := listener.Listen(ctx, "tcp4", l.listen.String())
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.ctx = ctx // what was sent before is lost
	l.mu.Unlock()
	l.closing.Add(1)
	context.AfterFunc(ctx, func() {
		defer l.closing.Done()
		ln.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for c := range mapset.Elements(l.inbound) {
			c.Close()
		}
	})
	go l.accept(ln)
	return nil
}

// Wait returns once the link has let go of its address, after its context has ended.
func (l *Link) Wait() { l.closing.Wait() }

// Figures returns the counters.
func (l *Link) Figures() Figures {
	return Figures{Sent: l.sent.Load(), SentBytes: l.sentBytes.Load(), Received: l.received.Load(), ReceivedBytes: l.receivedBytes.Load(), Lost: l.lost.Load(),
		Connected: l.connected.Load(), Unreachable: l.unreachable.Load(), Broken: l.broken.Load()}
}

func (l *Link) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || l.ctx.Err() != nil {
			return
		}
		if err != nil {
			pause(l.ctx, dialAgain)
			continue
		}
		l.mu.Lock()
		full := l.inbound.Cardinality() >= mostAccepted || l.ctx.Err() != nil
		if !full {
			l.inbound.Add(c)
		}
		l.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		go l.read(c)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// read takes messages until the connection ends or has been silent for long.
func (l *Link) read(c net.Conn) {
	defer func() {
		c.Close()
		l.mu.Lock()
		l.inbound.Remove(c)
		l.mu.Unlock()
	}()
	in := bufio.NewReaderSize(&acknowledging{Conn: c}, buffer)
	var head [frameHead]byte
	for {
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > MostMessage {
			return
		}
		data, err := io.ReadAll(io.LimitReader(in, int64(n))) // grows as it comes: a length alone takes no memory
		if err != nil || len(data) != int(n) {
			return
		}
		l.received.Add(1)
		l.receivedBytes.Add(uint64(frameHead + len(data)))
		l.handle(Kind(head[4]), data)
	}
}

// Send leaves a message for an address. It waits for nobody.
func (l *Link) Send(to string, kind Kind, data []byte) {
	if len(data) > MostMessage || failpoint.Lost(to) {
		l.lost.Add(1)
		return
	}
	frame := make([]byte, 0, frameHead+len(data))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(data)))
	frame = append(append(frame, byte(kind)), data...)
	l.mu.Lock()
	defer l.mu.Unlock()
	ln := l.lines[to]
	if ln == nil {
		if len(l.lines) >= mostAddress || l.ctx == nil || l.ctx.Err() != nil {
			l.lost.Add(1)
			return
		}
		ln = &line{queue: make(chan []byte, queued)}
		l.lines[to] = ln
		go l.write(to, ln)
	}
	size := int64(len(frame))
	if waiting := ln.waiting.Load(); waiting > 0 && waiting+size > lineBytes || l.waiting.Load()+size > linkBytes+lineBytes {
		l.lost.Add(1)
		return
	}
	select {
	case ln.queue <- frame:
		ln.waiting.Add(size)
		l.waiting.Add(size)
	default:
		l.lost.Add(1)
	}
}

// done notes that a frame does not wait any more.
func (l *Link) done(ln *line, frame []byte) {
	ln.waiting.Add(-int64(len(frame)))
	l.waiting.Add(-int64(len(frame)))
}

// write sends what is left for one address, over one connection at a time, until nothing came for long.
func (l *Link) write(to string, ln *line) {
	var c *outbound
	var out *bufio.Writer
	var again time.Time
	patience := undelivered
	drop := func() {
		c.Close()
		patience = c.nextPatience()
		c = nil
		l.broken.Add(1)
	}
	idle := time.NewTimer(idleFor)
	defer idle.Stop()
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		var frame []byte
		idle.Reset(idleFor)
		select {
		case <-l.ctx.Done():
			return
		case frame = <-ln.queue:
		case <-idle.C:
			if l.retire(to, ln) {
				return
			}
			continue
		}
		if c != nil && !c.delivers(time.Now()) {
			drop()
		}
		if c == nil {
			if time.Now().Before(again) {
				l.done(ln, frame)
				l.lost.Add(1)
				continue
			}
			if c = l.dial(to, patience); c == nil {
				again = time.Now().Add(dialAgain)
				l.done(ln, frame)
				l.lost.Add(1)
				continue
			}
			out = bufio.NewWriterSize(c, buffer)
		}
		if err := l.flush(c, out, ln, frame); err != nil {
			drop()
			again = time.Now().Add(dialAgain)
		}
	}
}

// retire forgets a line that nothing waits on.
func (l *Link) retire(to string, ln *line) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(ln.queue) > 0 {
		return false
	}
	delete(l.lines, to)
	return true
}

// flush writes a frame and those that wait behind it.
func (l *Link) flush(c *outbound, out *bufio.Writer, ln *line, frame []byte) error {
	now := time.Now()
	c.SetWriteDeadline(now.Add(writeFor))
	c.wrote(now)
	for {
		_, err := out.Write(frame)
		l.done(ln, frame)
		if err != nil {
			return err
		}
		l.sent.Add(1)
		l.sentBytes.Add(uint64(len(frame)))
		select {
		case frame = <-ln.queue:
			continue
		default:
		}
		return out.Flush()
	}
}

// dial connects to an address, nil where it does not answer soon.
func (l *Link) dial(to string, patience time.Duration) *outbound {
	dialer := net.Dialer{Timeout: dialFor, KeepAlive: -1}
	c, err := dialer.DialContext(l.ctx, "tcp4", to)
	if err != nil {
		l.unreachable.Add(1)
		return nil
	}
	l.connected.Add(1)
	giveUp(c)
	o := &outbound{Conn: c, patience: patience}
	go o.listen()
	return o
}

// giveUp has the system end a connection whose other side acknowledges nothing.
func giveUp(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
	})
}
