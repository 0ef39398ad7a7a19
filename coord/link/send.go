package link

import (
	"bufio"
	"encoding/binary"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"reachspread/coord/failpoint"
)

const (
	// dialTimeout bounds one attempt to connect. A machine that starts meanwhile is not noticed by
	// the attempt under way, so it is short.
	dialTimeout = 200 * time.Millisecond
	// retryInterval is the time between two attempts.
	retryInterval = 50 * time.Millisecond
	// writeTimeout bounds the write of what is queued.
	writeTimeout = 2 * time.Second
	// tcpUserTimeout is after how long the system ends a connection whose bytes are not
	// acknowledged.
	tcpUserTimeout = 1500 * time.Millisecond

	maxQueuedFrames = 256      // for one address
	maxQueuedBytes  = 4 << 20  // for one address; a single message may be longer
	maxTotalBytes   = 24 << 20 // for all addresses
	maxAddresses    = 4096
)

// sendQueue is the frames that wait for one address.
type sendQueue struct {
	frames      chan []byte
	queuedBytes atomic.Int64 // in them, and in the one that is being written
}

// Send queues a message for an address. It never blocks: a message that can't be queued is lost and
// counted. Data may be reused once Send has returned.
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
	q := l.queueFor(to)
	if q == nil || !l.enqueue(q, frame) {
		l.lost.Add(1)
	}
}

// queueTo returns the queue of an address, made if there was none; nil where there can't be one. It
// is called with mu held.
func (l *Link) queueFor(to string) *sendQueue {
	if q := l.queues[to]; q != nil {
		return q
	}
	if len(l.queues) >= maxAddresses || l.ctx == nil || l.ctx.Err() != nil {
		return nil
	}
	q := &sendQueue{frames: make(chan []byte, maxQueuedFrames)}
	l.queues[to] = q
	go l.drain(to, q)
	return q
}

// enqueue adds a frame to a queue and reports whether it fits.
func (l *Link) enqueue(q *sendQueue, frame []byte) bool {
	size := int64(len(frame))
	if queued := q.queuedBytes.Load(); queued > 0 && queued+size > maxQueuedBytes {
		return false
	}
	if l.queuedBytes.Load()+size > maxTotalBytes+maxQueuedBytes {
		return false
	}
	select {
	case q.frames <- frame:
		q.queuedBytes.Add(size)
		l.queuedBytes.Add(size)
		return true
	default:
		return false
	}
}

// release takes a frame off the count of queued bytes.
func (l *Link) release(q *sendQueue, frame []byte) {
	q.queuedBytes.Add(-int64(len(frame)))
	l.queuedBytes.Add(-int64(len(frame)))
}

// sender is the goroutine of one queue, with its connection.
type sender struct {
	link            *Link
	to              string
	queue           *sendQueue
	conn            *outbound // nil for none
	out             *bufio.Writer
	deliveryTimeout time.Duration // of the next connection
	retryAt         time.Time     // no attempt to connect before
}

// drain sends the frames of a queue until it was empty for idleTimeout.
func (l *Link) drain(to string, q *sendQueue) {
	s := &sender{link: l, to: to, queue: q, deliveryTimeout: minDeliveryTimeout}
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	defer s.close()
	for {
		idle.Reset(idleTimeout)
		select {
		case <-l.ctx.Done():
			return
		case frame := <-q.frames:
			s.send(frame)
		case <-idle.C:
			if l.removeIfEmpty(to, q) {
				return
			}
		}
	}
}

// removeIfEmpty removes an idle queue, unless a frame has come meanwhile.
func (l *Link) removeIfEmpty(to string, q *sendQueue) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(q.frames) > 0 {
		return false
	}
	delete(l.queues, to)
	return true
}

// send writes a frame and those that are queued behind it, over a new connection where the present
// one delivers nothing. Without a connection the frame is lost.
func (s *sender) send(frame []byte) {
	if s.conn != nil && !s.conn.isDelivering(time.Now()) {
		s.dropConn()
	}
	if s.conn == nil && !s.connect() {
		s.link.release(s.queue, frame)
		s.link.lost.Add(1)
		return
	}
	if err := s.flush(frame); err != nil {
		s.dropConn()
		s.retryAt = time.Now().Add(retryInterval)
	}
}

// connect opens a connection, unless the last attempt failed a moment ago.
func (s *sender) connect() bool {
	if time.Now().Before(s.retryAt) {
		return false
	}
	if s.conn = s.link.dial(s.to, s.deliveryTimeout); s.conn == nil {
		s.retryAt = time.Now().Add(retryInterval)
		return false
	}
	s.out = bufio.NewWriterSize(s.conn, bufferSize)
	return true
}

// dropConn closes a connection that failed or delivers nothing.
func (s *sender) dropConn() {
	s.conn.Close()
	s.deliveryTimeout = s.conn.nextDeliveryTimeout()
	s.conn = nil
	s.link.broken.Add(1)
}

func (s *sender) close() {
	if s.conn != nil {
		s.conn.Close()
	}
}

// flush writes a frame and those that are queued behind it.
func (s *sender) flush(frame []byte) error {
	now := time.Now()
	s.conn.SetWriteDeadline(now.Add(writeTimeout))
	s.conn.recordWrite(now)
	for {
		_, err := s.out.Write(frame)
		s.link.release(s.queue, frame)
		if err != nil {
			return err
		}
		s.link.sent.Add(1)
		s.link.sentBytes.Add(uint64(len(frame)))
		select {
		case frame = <-s.queue.frames:
			continue
		default:
		}
		return s.out.Flush()
	}
}

// dial connects to an address; nil where it does not answer in time.
func (l *Link) dial(to string, deliveryTimeout time.Duration) *outbound {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(l.ctx, "tcp4", to)
	if err != nil {
		l.unreachable.Add(1)
		return nil
	}
	l.connected.Add(1)
	setUserTimeout(c)
	o := &outbound{Conn: c, deliveryTimeout: deliveryTimeout}
	go o.readAcks()
	return o
}

// setUserTimeout has the system end a connection whose other side acknowledges nothing.
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
