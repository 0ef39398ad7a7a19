package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// patience bounds what a test waits for; it is never waited for where all is well.
const patience = 10 * time.Second

// received is a message that came.
type received struct {
	kind Kind
	data string
}

// started returns a link that listens on a free port, and what comes there.
func started(t *testing.T) (*Link, string, chan received) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	came := make(chan received, 1000)
	l := New(netip.MustParseAddrPort(address), func(kind Kind, data []byte) { came <- received{kind, string(data)} })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	if err := l.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return l, address, came
}

func next(t *testing.T, came chan received) received {
	t.Helper()
	select {
	case r := <-came:
		return r
	case <-time.After(patience):
		t.Fatal("nothing came")
		return received{}
	}
}

// Messages arrive with their kinds, in order, whatever their size.
func TestMessagesArriveInOrder(t *testing.T) {
	is := is.New(t)
	a, _, _ := started(t)
	_, to, came := started(t)
	large := bytes.Repeat([]byte("x"), 1<<20)
	a.Send(to, 2, large)
	for i := range 100 {
		a.Send(to, 1, fmt.Append(nil, i))
	}
	is.Equal(next(t, came), received{2, string(large)})
	for i := range 100 {
		is.Equal(next(t, came), received{1, fmt.Sprint(i)})
	}
	is.True(a.Stats().Sent == 101)
	is.True(a.Stats().SentBytes > 1<<20)
}

// A process that starts later at an address gets what is sent from then on; what could not be sent
// is counted.
func TestReceiverThatStartsLater(t *testing.T) {
	is := is.New(t)
	a, _, _ := started(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	to := ln.Addr().String()
	ln.Close()
	came := make(chan received, 1000)
	b := New(netip.MustParseAddrPort(to), func(kind Kind, data []byte) { came <- received{kind, string(data)} })
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	again := time.NewTicker(time.Millisecond)
	defer again.Stop()
	for started, arrived := false, false; !arrived; {
		a.Send(to, 1, []byte("word"))
		select {
		case <-came:
			is.True(started)
			arrived = true
		case <-again.C:
			if !started && a.Stats().Lost > 0 { // nobody has listened so far
				is.NoErr(b.Start(ctx))
				started = true
			}
		}
	}
}

// Bytes that are no frame end their connection and nothing else; a length alone takes no memory.
func TestMalformedFramesEndTheirConnection(t *testing.T) {
	is := is.New(t)
	a, _, _ := started(t)
	_, to, came := started(t)
	for _, text := range [][]byte{{0xff, 0xff, 0xff, 0xff, 1, 2}, {0, 0x10, 0, 0, 1}, []byte("GET / HTTP/1.1\r\n\r\n")} {
		c, err := net.Dial("tcp", to)
		is.NoErr(err)
		c.Write(text)
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(patience))
		c.Read(make([]byte, 1)) // until it is closed
		c.Close()
	}
	a.Send(to, 1, []byte("complete"))
	is.Equal(next(t, came), received{1, "complete"})
	is.Equal(len(came), 0)
}

// A message above the bound is lost, and counted.
func TestTooLongMessageIsLost(t *testing.T) {
	is := is.New(t)
	a, _, _ := started(t)
	a.Send("127.0.0.1:1", 1, make([]byte, MaxMessageLen+1))
	is.Equal(a.Stats().Lost, uint64(1))
}

// swallower is a proxy that forwards all connections but the first: its bytes are acknowledged by
// the system, and go no further.
func swallower(t *testing.T, to string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for swallowed := false; ; swallowed = true {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if !swallowed {
				go io.Copy(io.Discard, c)
				continue
			}
			go forward(c, to)
		}
	}()
	return ln.Addr().String()
}

// forward forwards bytes both ways until one side ends.
func forward(c net.Conn, to string) {
	defer c.Close()
	next, err := net.Dial("tcp4", to)
	if err != nil {
		return
	}
	defer next.Close()
	go func() {
		io.Copy(c, next)
		c.Close()
	}()
	io.Copy(next, c)
}

// On a long day with hundreds of configurations a machine of the register that had been isolated
// one way received nothing for 5.2 s after the partition had healed, though it could send, so it
// served by an old configuration. The connections to it had outlived the partition: what was
// written to them went into buffers and no further, until a write did not fit any more. The
// system's user time-out for bytes without an acknowledgement did not end them.
//
// A connection through which nothing arrives is replaced soon, though each write to it succeeds.
// What was queued in it is lost, what is sent later arrives.
func TestConnectionThatDeliversNothing(t *testing.T) {
	is := is.New(t)
	a, _, _ := started(t)
	_, to, came := started(t)
	by := swallower(t, to)
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for until := time.Now().Add(patience); time.Now().Before(until); <-again.C {
		a.Send(by, 1, []byte("word"))
		select {
		case r := <-came:
			is.Equal(r, received{1, "word"})
			return
		default:
		}
	}
	t.Fatal("nothing came")
}

// slowly is a proxy that forwards bytes at a rate.
func slowly(t *testing.T, to string, bytesAStep int, step time.Duration) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.(*net.TCPConn).SetReadBuffer(bytesAStep)
			go forward(&pacedConn{c, bytesAStep, step}, to)
		}
	}()
	return ln.Addr().String()
}

// pacedConn reads a few bytes a step.
type pacedConn struct {
	net.Conn
	bytes int
	step  time.Duration
}

func (p *pacedConn) Read(b []byte) (int, error) {
	time.Sleep(p.step)
	return p.Conn.Read(b[:min(len(b), p.bytes)])
}

// A message that takes longer than the delivery time-out arrives over one connection, as it is
// acknowledged on the way. An idle connection is kept for as long, too.
func TestLongMessageOverSlowLink(t *testing.T) {
	is := is.New(t)
	a, _, _ := started(t)
	_, to, came := started(t)
	by := slowly(t, to, 16<<10, 40*time.Millisecond)
	long := bytes.Repeat([]byte("x"), 1<<20)
	for _, size := range []int{len(long), 1} {
		a.Send(by, 1, long[:size])
		is.Equal(len(next(t, came).data), size)
	}
	idle := time.NewTimer(minDeliveryTimeout + ackInterval)
	defer idle.Stop()
	<-idle.C
	a.Send(by, 1, []byte("after an idle time"))
	is.Equal(next(t, came).data, "after an idle time")
	is.Equal(a.Stats().Connected, uint64(1))
	is.Equal(a.Stats().Broken, uint64(0))
}

// A receiver that never acknowledges, as one of an older version, gets the messages all the same,
// over connections that are replaced less and less often.
func TestReceiverWithoutAcks(t *testing.T) {
	is := is.New(t)
	a, _, _ := started(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	came := make(chan byte, 1000)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				frame := make([]byte, frameHeaderLen+1)
				for {
					if _, err := io.ReadFull(c, frame); err != nil {
						return
					}
					came <- frame[frameHeaderLen]
				}
			}()
		}
	}()
	for number := byte(0); a.Stats().Connected < 3; number++ {
		a.Send(ln.Addr().String(), 1, []byte{number})
		select {
		case got := <-came:
			is.Equal(got, number)
		case <-time.After(patience):
			t.Fatal("nothing came")
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(a.Stats().Lost, uint64(0))
	is.Equal((&outbound{deliveryTimeout: minDeliveryTimeout}).nextDeliveryTimeout(), 2*minDeliveryTimeout)
	is.Equal((&outbound{deliveryTimeout: maxDeliveryTimeout}).nextDeliveryTimeout(), maxDeliveryTimeout)
}
