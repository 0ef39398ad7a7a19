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
	// dialTimeout bounds one attempt to connect. It is short, because an attempt in progress doesn't
	// notice a machine that starts in the meantime.
	dialTimeout = 200 * time.Millisecond
	// retryInterval is the time from a failed attempt to connect, or from a failed write, to the
	// next attempt to connect. It is also the pause after a failed accept.
	retryInterval = 50 * time.Millisecond
	// writeTimeout bounds the time for writing the frames that are queued.
	writeTimeout = 2 * time.Second
	// tcpUserTimeout is how long sent bytes may remain without a TCP acknowledgement before the
	// operating system ends the connection.
	tcpUserTimeout = 1500 * time.Millisecond

	maxQueuedFrames = 256      // for one address
	maxQueuedBytes  = 4 << 20  // for one address; a single message may be longer
	maxTotalBytes   = 24 << 20 // for all addresses; enqueue allows maxQueuedBytes more
	maxAddresses    = 4096     // addresses with a queue
)

// sendQueue holds the frames that wait to be sent to one address.
type sendQueue struct {
	frames      chan []byte
	queuedBytes atomic.Int64 // bytes of the waiting frames and of the frame being written
}

// Send queues a message for an address. It never blocks: a message that can't be queued is lost and
// counted in Stats.Lost. The caller may reuse data once Send has returned.
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

// queueFor returns the queue of an address, and creates the queue and its sender if there is none. It
// returns nil if there are maxAddresses queues already or the link isn't running. The caller must
// hold mu.
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

// enqueue adds a frame to a queue. It returns false if the frame would exceed the bounds of the queue
// or of all queues.
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

// release subtracts a frame from the counts of queued bytes.
func (l *Link) release(q *sendQueue, frame []byte) {
	q.queuedBytes.Add(-int64(len(frame)))
	l.queuedBytes.Add(-int64(len(frame)))
}

// sender is the state of the goroutine that sends the frames of one queue.
type sender struct {
	link            *Link
	to              string
	queue           *sendQueue
	conn            *outbound     // nil while there is no connection
	out             *bufio.Writer // writes to conn
	deliveryTimeout time.Duration // of the next connection
	retryAt         time.Time     // the earliest time of the next attempt to connect
}

// drain sends the frames of a queue until the queue has been empty for idleTimeout or the link ends.
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

// removeIfEmpty removes an idle queue, unless a frame has been queued in the meantime. It reports
// whether it removed the queue.
func (l *Link) removeIfEmpty(to string, q *sendQueue) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(q.frames) > 0 {
		return false
	}
	delete(l.queues, to)
	return true
}

// send writes a frame and the frames queued after it. If the current connection delivers nothing,
// send replaces it first. If no connection can be opened, the frame is lost.
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

// connect opens a connection and reports whether it succeeded. It doesn't try before retryAt.
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

// dropConn closes a connection that failed or delivers nothing, and sets the delivery timeout of the
// next one.
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

// flush writes a frame and the frames queued after it.
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

// dial connects to an address. It returns nil if the attempt fails or takes longer than dialTimeout.
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

// setUserTimeout makes the operating system end a connection if sent bytes remain without a TCP
// acknowledgement for tcpUserTimeout.
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
