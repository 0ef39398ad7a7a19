package link

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// ackInterval is the shortest time between two acknowledgements on a connection.
	ackInterval = 400 * time.Millisecond
	// minDeliveryTimeout is how long after a write no acknowledgement may come. Writes may succeed
	// meanwhile: they go into buffers, and after a network partition the system may wait as long
	// again as the partition lasted before it sends any of them.
	minDeliveryTimeout = 1500 * time.Millisecond
	// maxDeliveryTimeout bounds it where the connections before had no acknowledgement either: a
	// receiver of a version that sends none, or one that is stalled, is not reconnected to at once.
	maxDeliveryTimeout = 24 * time.Second
)

// ack is what a receiver sends; its content does not matter.
var ack = []byte{1}

// ackingConn is an inbound connection that sends acknowledgements: within ackInterval of the first
// byte that arrives, and at that interval while more come, in the middle of a long message too.
type ackingConn struct {
	net.Conn
	ackDue  bool // bytes arrived since the last acknowledgement
	ackedAt time.Time
}

// Read implements io.Reader. It fails where the connection was idle for too long.
func (a *ackingConn) Read(p []byte) (n int, err error) {
	for {
		deadline := time.Now().Add(2 * idleTimeout)
		if a.ackDue {
			deadline = a.ackedAt.Add(ackInterval)
		}
		a.SetReadDeadline(deadline)
		n, err = a.Conn.Read(p)
		a.ackDue = a.ackDue || n > 0
		acked, ackErr := a.sendAck(time.Now())
		if ackErr != nil {
			return n, ackErr
		}
		if acked && n == 0 && os.IsTimeout(err) {
			continue // the read ended for the acknowledgement only
		}
		return n, err
	}
}

// sendAck sends an acknowledgement if one is due and reports whether it was.
func (a *ackingConn) sendAck(now time.Time) (sent bool, err error) {
	if !a.ackDue || now.Sub(a.ackedAt) < ackInterval {
		return false, nil
	}
	a.ackDue, a.ackedAt = false, now
	a.SetWriteDeadline(now.Add(ackInterval))
	_, err = a.Write(ack)
	return true, err
}

// outbound is a connection that messages are written to.
type outbound struct {
	net.Conn
	deliveryTimeout time.Duration

	unackedSince atomic.Int64 // first write without an acknowledgement since, in Unix nanoseconds; 0 for none
	wasAcked     atomic.Bool
}

// recordWrite takes note that bytes are written.
func (o *outbound) recordWrite(now time.Time) { o.unackedSince.CompareAndSwap(0, now.UnixNano()) }

// isDelivering reports whether what was written arrives, as far as is known.
func (o *outbound) isDelivering(now time.Time) bool {
	since := o.unackedSince.Load()
	return since == 0 || now.Sub(time.Unix(0, since)) < o.deliveryTimeout
}

// readAcks reads acknowledgements until the connection ends, and closes it then.
func (o *outbound) readAcks() {
	defer o.Close()
	var buf [64]byte
	for {
		n, err := o.Read(buf[:])
		if n > 0 {
			o.wasAcked.Store(true)
			o.unackedSince.Store(0)
		}
		if err != nil {
			return
		}
	}
}

// nextDeliveryTimeout is that of the connection after this one: doubled while none is acknowledged.
func (o *outbound) nextDeliveryTimeout() time.Duration {
	if o.wasAcked.Load() {
		return minDeliveryTimeout
	}
	return min(2*o.deliveryTimeout, maxDeliveryTimeout)
}

var _ io.Reader = (*ackingConn)(nil)
