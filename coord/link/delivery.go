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
	acknowledgeEvery = 400 * time.Millisecond
	// undelivered is how long after a write nothing may be heard of what arrives. Each write may succeed meanwhile: what is written goes into
	// buffers, and after a way back that was cut the system may wait as long again as the cut lasted before it sends any of it.
	undelivered = 1500 * time.Millisecond
	// mostUndelivered bounds it where nothing was heard on the connections before either: a receiver of a version that says nothing, or one
	// that stands still, is not connected to over and over.
	mostUndelivered = 24 * time.Second
)

// acknowledgement is what a receiver says; what it is does not matter.
var acknowledgement = []byte{1}

// acknowledging reads from a connection and says there that bytes arrive: within acknowledgeEvery of the first of them, and as often while
// more come, in the middle of a long message too.
type acknowledging struct {
	net.Conn
	owed bool // bytes came since the last acknowledgement
	said time.Time
}

// Read implements io.Reader. It ends where the connection has been silent for long.
func (a *acknowledging) Read(p []byte) (n int, err error) {
	for {
		until := time.Now().Add(2 * idleFor)
		if a.owed {
			until = a.said.Add(acknowledgeEvery)
		}
		a.SetReadDeadline(until)
		n, err = a.Conn.Read(p)
		a.owed = a.owed || n > 0
		now := time.Now()
		if a.owed && now.Sub(a.said) >= acknowledgeEvery {
			a.owed, a.said = false, now
			a.SetWriteDeadline(now.Add(acknowledgeEvery))
			if _, failed := a.Write(acknowledgement); failed != nil {
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
	patience time.Duration // how long nothing may be heard of what arrives

	since atomic.Int64 // of the first write that nothing was heard after, in Unix nanoseconds; 0 for none
	heard atomic.Bool  // the receiver has said something
}

// wrote notes that bytes were written.
func (o *outbound) wrote(now time.Time) { o.since.CompareAndSwap(0, now.UnixNano()) }

// delivers tells whether what was written arrives, as far as is known.
func (o *outbound) delivers(now time.Time) bool {
	since := o.since.Load()
	return since == 0 || now.Sub(time.Unix(0, since)) < o.patience
}

// listen takes what the receiver says until the connection ends, and closes it then.
func (o *outbound) listen() {
	defer o.Close()
	var buf [64]byte
	for {
		n, err := o.Read(buf[:])
		if n > 0 {
			o.heard.Store(true)
			o.since.Store(0)
		}
		if err != nil {
			return
		}
	}
}

// nextPatience is that of the connection after this one.
func (o *outbound) nextPatience() time.Duration {
	if o.heard.Load() {
		return undelivered
	}
	return min(2*o.patience, mostUndelivered)
}

var _ io.Reader = (*acknowledging)(nil)
