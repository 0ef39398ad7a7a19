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
	dialTimeout     = 200 * time.Millisecond // a machine that comes up meanwhile is not noticed by the try under way
	writeTimeout    = 2 * time.Second
	retryInterval   = 50 * time.Millisecond // between two tries
	tcpUserTimeout  = 1500 * time.Millisecond
	idleTimeout     = 20 * time.Second // then a connection is closed
	maxQueuedFrames = 256              // messages that wait for one address; further ones are lost
	maxQueuedBytes  = 4 << 20          // in these; one message alone may be longer
	maxTotalBytes   = 24 << 20         // in messages that wait for all addresses
	maxAddresses    = 4096
	maxAccepted     = 1024
	bufferSize      = 16 << 10
	frameHeaderLen  = 4 + 1

	// MostMessage bounds a message, in bytes.
	MaxMessageLen = 24 << 20
)

// Kind tells messages of different protocols on one link apart.
type Kind uint8

// Handler is given each message that comes. It must not keep data, and other messages of the same sender wait for it.
type Handler func(kind Kind, data []byte)

// Figures are counters since the start.
type Stats struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64
	Lost                    uint64 // found no room, or no connection
	Connected               uint64 // connections that were opened to others
	Unreachable             uint64 // tries to open one in vain
	Broken                  uint64 // that ended while something was sent, or that nothing went through
}

// Link is one process's.
type Link struct {
	listen  netip.AddrPort
	handler Handler
	ctx     context.Context

	mu      sync.Mutex
	queues  map[string]*sendQueue
	inbound mapset.Set[net.Conn]

	closing sync.WaitGroup

	queuedBytes                                    atomic.Int64 // bytes in frames that were left and not written yet
	sent, sentBytes, received, receivedBytes, lost atomic.Uint64
	connected, unreachable, broken                 atomic.Uint64
}

// line is the way to one address.
type sendQueue struct {
	frames      chan []byte  // frames
	queuedBytes atomic.Int64 // bytes in them, and in the one that is being written
}

// New returns a link that will listen at an address.
func New(listen netip.AddrPort, handle Handler) *Link {
	return &Link{listen: listen, handler: handle, queues: map[string]*sendQueue{}, inbound: mapset.NewThreadUnsafeSet[net.Conn]()}
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
func (l *Link) Stats() Stats {
	return Stats{Sent: l.sent.Load(), SentBytes: l.sentBytes.Load(), Received: l.received.Load(), ReceivedBytes: l.receivedBytes.Load(), Lost: l.lost.Load(),
		Connected: l.connected.Load(), Unreachable: l.unreachable.Load(), Broken: l.broken.Load()}
}

func (l *Link) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) || l.ctx.Err() != nil {
			return
		}
		if err != nil {
			sleep(l.ctx, retryInterval)
			continue
		}
		l.mu.Lock()
		full := l.inbound.Cardinality() >= maxAccepted || l.ctx.Err() != nil
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

func sleep(ctx context.Context, d time.Duration) {
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
	in := bufio.NewReaderSize(&ackingConn{Conn: c}, bufferSize)
	var head [frameHeaderLen]byte
	for {
		if _, err := io.ReadFull(in, head[:]); err != nil {
			return
		}
		n := binary.BigEndian.Uint32(head[:])
		if n > MaxMessageLen {
			return
		}
		data, err := io.ReadAll(io.LimitReader(in, int64(n))) // grows as it comes: a length alone takes no memory
		if err != nil || len(data) != int(n) {
			return
		}
		l.received.Add(1)
		l.receivedBytes.Add(uint64(frameHeaderLen + len(data)))
		l.handler(Kind(head[4]), data)
	}
}

// Send leaves a message for an address. It waits for nobody.
func (l *Link) Send(to string, kind Kind, data []byte) {
	if len(data) > MaxMessageLen || failpoint.DropMessage(to) {
		l.lost.Add(1)
		return
	}
	frame := make([]byte, 0, frameHeaderLen+len(data))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(data)))
	frame = append(append(frame, byte(kind)), data...)
	l.mu.Lock()
	defer l.mu.Unlock()
	ln := l.queues[to]
	if ln == nil {
		if len(l.queues) >= maxAddresses || l.ctx == nil || l.ctx.Err() != nil {
			l.lost.Add(1)
			return
		}
		ln = &sendQueue{frames: make(chan []byte, maxQueuedFrames)}
		l.queues[to] = ln
		go l.write(to, ln)
	}
	size := int64(len(frame))
	if waiting := ln.queuedBytes.Load(); waiting > 0 && waiting+size > maxQueuedBytes || l.queuedBytes.Load()+size > maxTotalBytes+maxQueuedBytes {
		l.lost.Add(1)
		return
	}
	select {
	case ln.frames <- frame:
		ln.queuedBytes.Add(size)
		l.queuedBytes.Add(size)
	default:
		l.lost.Add(1)
	}
}

// done notes that a frame does not wait any more.
func (l *Link) release(ln *sendQueue, frame []byte) {
	ln.queuedBytes.Add(-int64(len(frame)))
	l.queuedBytes.Add(-int64(len(frame)))
}

// write sends what is left for one address, over one connection at a time, until nothing came for long.
func (l *Link) write(to string, ln *sendQueue) {
	var c *outbound
	var out *bufio.Writer
	var again time.Time
	patience := minDeliveryTimeout
	drop := func() {
		c.Close()
		patience = c.nextDeliveryTimeout()
		c = nil
		l.broken.Add(1)
	}
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		var frame []byte
		idle.Reset(idleTimeout)
		select {
		case <-l.ctx.Done():
			return
		case frame = <-ln.frames:
		case <-idle.C:
			if l.removeIfEmpty(to, ln) {
				return
			}
			continue
		}
		if c != nil && !c.isDelivering(time.Now()) {
			drop()
		}
		if c == nil {
			if time.Now().Before(again) {
				l.release(ln, frame)
				l.lost.Add(1)
				continue
			}
			if c = l.dial(to, patience); c == nil {
				again = time.Now().Add(retryInterval)
				l.release(ln, frame)
				l.lost.Add(1)
				continue
			}
			out = bufio.NewWriterSize(c, bufferSize)
		}
		if err := l.flush(c, out, ln, frame); err != nil {
			drop()
			again = time.Now().Add(retryInterval)
		}
	}
}

// retire forgets a line that nothing waits on.
func (l *Link) removeIfEmpty(to string, ln *sendQueue) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(ln.frames) > 0 {
		return false
	}
	delete(l.queues, to)
	return true
}

// flush writes a frame and those that wait behind it.
func (l *Link) flush(c *outbound, out *bufio.Writer, ln *sendQueue, frame []byte) error {
	now := time.Now()
	c.SetWriteDeadline(now.Add(writeTimeout))
	c.recordWrite(now)
	for {
		_, err := out.Write(frame)
		l.release(ln, frame)
		if err != nil {
			return err
		}
		l.sent.Add(1)
		l.sentBytes.Add(uint64(len(frame)))
		select {
		case frame = <-ln.frames:
			continue
		default:
		}
		return out.Flush()
	}
}

// dial connects to an address, nil where it does not answer soon.
func (l *Link) dial(to string, patience time.Duration) *outbound {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(l.ctx, "tcp4", to)
	if err != nil {
		l.unreachable.Add(1)
		return nil
	}
	l.connected.Add(1)
	setUserTimeout(c)
	o := &outbound{Conn: c, deliveryTimeout: patience}
	go o.readAcks()
	return o
}

// giveUp has the system end a connection whose other side acknowledges nothing.
func setUserTimeout(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) {
		unix.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}
