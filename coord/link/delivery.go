package link

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// acknowledgeEvery is the most often that a receiver says on a connection that bytes arrive.
	ackInterval = 400 * time.Millisecond
	// undelivered is how long after a write nothing may be heard of what arrives. Each write may succeed meanwhile: what is written goes into
	// buffers, and after a way back that was cut the system may wait as long again as the cut lasted before it sends any of it.
	minDeliveryTimeout = 1500 * time.Millisecond
	// mostUndelivered bounds it where nothing was heard on the connections before either: a receiver of a version that says nothing, or one
	// that stands still, is not connected to over and over.
	maxDeliveryTimeout = 24 * time.Second
)

// acknowledgement is what a receiver says; what it is does not matter.
var ack = []byte{1}

// acknowledging reads from a connection and says there that bytes arrive: within acknowledgeEvery of the first of them, and as often while
// more come, in the middle of a long message too.
type ackingConn struct {
	net.Conn
	ackDue  bool // bytes came since the last acknowledgement
	ackedAt time.Time
}

// Read implements io.Reader. It ends where the connection has been silent for long.
func (a *ackingConn) Read(p []byte) (n int, err error) {
	for {
		until := time.Now().Add(2 * idleTimeout)
		if a.ackDue {
			until = a.ackedAt.Add(ackInterval)
		}
		a.SetReadDeadline(until)
		n, err = a.Conn.Read(p)
		a.ackDue = a.ackDue || n > 0
		now := time.Now()
		if a.ackDue && now.Sub(a.ackedAt) >= ackInterval {
			a.ackDue, a.ackedAt = false, now
			a.SetWriteDeadline(now.Add(ackInterval))
			if _, failed := a.Write(ack); failed != nil {
				return n, failed
			}
			if n == 0 && os.IsTimeout(err) {
				continue
			}
		}
		return n, err
	}
}

// outbound is a connection that messages are written to.
type outbound struct {
	net.Conn
	deliveryTimeout time.Duration // how long nothing may be heard of what arrives

	unackedSince atomic.Int64 // of the first write that nothing was heard after, in Unix nanoseconds; 0 for none
	wasAcked     atomic.Bool  // the receiver has said something
}

// wrote notes that bytes were written.
func (o *outbound) recordWrite(now time.Time) { o.unackedSince.CompareAndSwap(0, now.UnixNano()) }

// delivers tells whether what was written arrives, as far as is known.
func (o *outbound) isDelivering(now time.Time) bool {
	since := o.unackedSince.Load()
	return since == 0 || now.Sub(time.Unix(0, since)) < o.deliveryTimeout
}

// listen takes what the receiver says until the connection ends, and closes it then.
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

// nextPatience is that of the connection after this one.
func (o *outbound) nextDeliveryTimeout() time.Duration {
	if o.wasAcked.Load() {
		return minDeliveryTimeout
	}
	return min(2*o.deliveryTimeout, maxDeliveryTimeout)
}

var _ io.Reader = (*ackingConn)(nil)
