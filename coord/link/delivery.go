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
	// minDeliveryTimeout is how long a sender waits for an acknowledgement after a write before it
	// replaces the connection. Writes that succeed meanwhile prove nothing: the data goes into
	// buffers, and after a network partition the operating system may wait as long again as the
	// partition lasted before it sends any of it.
	minDeliveryTimeout = 1500 * time.Millisecond
	// maxDeliveryTimeout bounds the delivery timeout, which doubles with each successive connection
	// that receives no acknowledgement. Because of the doubling, a sender reconnects less and less
	// often to a receiver that is stalled or whose version sends no acknowledgements.
	maxDeliveryTimeout = 24 * time.Second
)

// ack is the acknowledgement that a receiver sends. Its content doesn't matter.
var ack = []byte{1}

// ackingConn is an inbound connection that sends acknowledgements. It sends the first one within
// ackInterval of the first byte that arrives, and then one per ackInterval while more bytes arrive,
// also in the middle of a long message.
type ackingConn struct {
	net.Conn
	ackDue  bool      // bytes have arrived since the last acknowledgement
	ackedAt time.Time // when the last acknowledgement was sent
}

// Read implements io.Reader. It sends acknowledgements that are due, and fails if the connection has
// been idle for 2 * idleTimeout.
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
			continue // the read timed out only because an acknowledgement was due
		}
		return n, err
	}
}

// sendAck sends an acknowledgement if one is due, and reports whether one was due.
func (a *ackingConn) sendAck(now time.Time) (sent bool, err error) {
	if !a.ackDue || now.Sub(a.ackedAt) < ackInterval {
		return false, nil
	}
	a.ackDue, a.ackedAt = false, now
	a.SetWriteDeadline(now.Add(ackInterval))
	_, err = a.Write(ack)
	return true, err
}

// outbound is a connection that this process opened to send messages.
type outbound struct {
	net.Conn
	deliveryTimeout time.Duration // how long a write may remain without an acknowledgement

	unackedSince atomic.Int64 // time of the first write after the last acknowledgement, in Unix nanoseconds; 0 for none
	wasAcked     atomic.Bool  // an acknowledgement has arrived on this connection
}

// recordWrite records that bytes are written to the connection at the given time.
func (o *outbound) recordWrite(now time.Time) { o.unackedSince.CompareAndSwap(0, now.UnixNano()) }

// isDelivering reports whether the connection seems to deliver what is written to it: no write has
// remained without a later acknowledgement for as long as the delivery timeout.
func (o *outbound) isDelivering(now time.Time) bool {
	since := o.unackedSince.Load()
	return since == 0 || now.Sub(time.Unix(0, since)) < o.deliveryTimeout
}

// readAcks reads acknowledgements until the connection ends, and then closes the connection.
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

// nextDeliveryTimeout returns the delivery timeout of the connection that replaces this one. It is
// twice that of this connection if this one received no acknowledgement, up to maxDeliveryTimeout.
func (o *outbound) nextDeliveryTimeout() time.Duration {
	if o.wasAcked.Load() {
		return minDeliveryTimeout
	}
	return min(2*o.deliveryTimeout, maxDeliveryTimeout)
}

var _ io.Reader = (*ackingConn)(nil)
