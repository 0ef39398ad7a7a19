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

// testTimeout is how long a test waits for an event before it fails. A test that passes never waits
// that long.
const testTimeout = 10 * time.Second

// received is a message that arrived.
type received struct {
	kind Kind
	data string
}

// startLink starts a link on a free port. It returns the link, its address, and a channel with the
// messages that arrive there.
func startLink(t *testing.T) (*Link, string, chan received) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	messages := make(chan received, 1000)
	l := New(netip.MustParseAddrPort(address), func(kind Kind, data []byte) { messages <- received{kind, string(data)} })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	if err := l.Start(ctx); err != nil {
		t.Fatal(err)
	}
	return l, address, messages
}

// nextMessage returns the next message that arrives, and fails the test after testTimeout.
func nextMessage(t *testing.T, messages chan received) received {
	t.Helper()
	select {
	case r := <-messages:
		return r
	case <-time.After(testTimeout):
		t.Fatal("no message arrived within testTimeout")
		return received{}
	}
}

// Messages arrive with their kinds, in order, whatever their size.
func TestMessagesArriveInOrder(t *testing.T) {
	is := is.New(t)
	a, _, _ := startLink(t)
	_, to, messages := startLink(t)
	large := bytes.Repeat([]byte("x"), 1<<20)
	a.Send(to, 2, large)
	for i := range 100 {
		a.Send(to, 1, fmt.Append(nil, i))
	}
	is.Equal(nextMessage(t, messages), received{2, string(large)})
	for i := range 100 {
		is.Equal(nextMessage(t, messages), received{1, fmt.Sprint(i)})
	}
	is.True(a.Stats().Sent == 101)
	is.True(a.Stats().SentBytes > 1<<20)
}

// A receiver that starts after the first messages to its address were sent receives later ones. The
// messages that could not be sent before are counted as lost.
func TestReceiverThatStartsLater(t *testing.T) {
	is := is.New(t)
	a, _, _ := startLink(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	to := ln.Addr().String()
	ln.Close()
	messages := make(chan received, 1000)
	b := New(netip.MustParseAddrPort(to), func(kind Kind, data []byte) { messages <- received{kind, string(data)} })
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for started, arrived := false, false; !arrived; {
		a.Send(to, 1, []byte("word"))
		select {
		case <-messages:
			is.True(started)
			arrived = true
		case <-ticker.C:
			if !started && a.Stats().Lost > 0 { // no process has listened at the address so far
				is.NoErr(b.Start(ctx))
				started = true
			}
		}
	}
}

// Bytes that aren't a frame end their connection, and other connections are unaffected. A large
// length in a header alone doesn't allocate memory.
func TestMalformedFramesEndTheirConnection(t *testing.T) {
	is := is.New(t)
	a, _, _ := startLink(t)
	_, to, messages := startLink(t)
	for _, text := range [][]byte{{0xff, 0xff, 0xff, 0xff, 1, 2}, {0, 0x10, 0, 0, 1}, []byte("GET / HTTP/1.1\r\n\r\n")} {
		c, err := net.Dial("tcp", to)
		is.NoErr(err)
		c.Write(text)
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(testTimeout))
		c.Read(make([]byte, 1)) // returns once the receiver has closed the connection
		c.Close()
	}
	a.Send(to, 1, []byte("complete"))
	is.Equal(nextMessage(t, messages), received{1, "complete"})
	is.Equal(len(messages), 0)
}

// A message above MaxMessageLen is lost and counted.
func TestTooLongMessageIsLost(t *testing.T) {
	is := is.New(t)
	a, _, _ := startLink(t)
	a.Send("127.0.0.1:1", 1, make([]byte, MaxMessageLen+1))
	is.Equal(a.Stats().Lost, uint64(1))
}

// startBlackholeProxy starts a proxy and returns its address. The proxy discards the bytes of the
// first connection, which the operating system has acknowledged to the sender. It forwards all later
// connections to an address.
func startBlackholeProxy(t *testing.T, to string) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for discarded := false; ; discarded = true {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if !discarded {
				go io.Copy(io.Discard, c)
				continue
			}
			go forward(c, to)
		}
	}()
	return ln.Addr().String()
}

// forward connects to an address and forwards bytes in both directions until one side ends.
func forward(c net.Conn, to string) {
	defer c.Close()
	upstream, err := net.Dial("tcp4", to)
	if err != nil {
		return
	}
	defer upstream.Close()
	go func() {
		io.Copy(c, upstream)
		c.Close()
	}()
	io.Copy(upstream, c)
}

// A connection that delivers nothing is replaced soon, although each write to it succeeds. The
// messages queued in it are lost; messages sent later arrive.
//
// The test guards against this failure: during a long run with hundreds of configurations, one
// machine of the register was isolated in one direction. After the partition had healed, the machine
// could send but received nothing for 5.2 s, so it served an old configuration. The connections to
// it had survived the partition. Writes to them only filled buffers, until the buffers were full.
// TCP_USER_TIMEOUT, which limits how long bytes may remain unacknowledged, did not end the
// connections.
func TestConnectionThatDeliversNothing(t *testing.T) {
	is := is.New(t)
	a, _, _ := startLink(t)
	_, to, messages := startLink(t)
	proxy := startBlackholeProxy(t, to)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for until := time.Now().Add(testTimeout); time.Now().Before(until); <-ticker.C {
		a.Send(proxy, 1, []byte("word"))
		select {
		case r := <-messages:
			is.Equal(r, received{1, "word"})
			return
		default:
		}
	}
	t.Fatal("no message arrived through the proxy within testTimeout")
}

// startSlowProxy starts a proxy and returns its address. The proxy forwards connections to an
// address, bytesPerStep bytes per step in the direction to that address.
func startSlowProxy(t *testing.T, to string, bytesPerStep int, step time.Duration) string {
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
			c.(*net.TCPConn).SetReadBuffer(bytesPerStep)
			go forward(&pacedConn{c, bytesPerStep, step}, to)
		}
	}()
	return ln.Addr().String()
}

// pacedConn is a connection from which each Read takes one step and returns a limited number of
// bytes.
type pacedConn struct {
	net.Conn
	bytes int           // maximum number of bytes per Read
	step  time.Duration // pause before each Read
}

func (p *pacedConn) Read(b []byte) (int, error) {
	time.Sleep(p.step)
	return p.Conn.Read(b[:min(len(b), p.bytes)])
}

// A message that takes longer than the delivery timeout arrives over one connection, because the
// receiver acknowledges its bytes while they arrive. A connection that is idle for longer than the
// delivery timeout is not replaced either.
func TestLongMessageOverSlowLink(t *testing.T) {
	is := is.New(t)
	a, _, _ := startLink(t)
	_, to, messages := startLink(t)
	proxy := startSlowProxy(t, to, 16<<10, 40*time.Millisecond)
	long := bytes.Repeat([]byte("x"), 1<<20)
	for _, size := range []int{len(long), 1} {
		a.Send(proxy, 1, long[:size])
		is.Equal(len(nextMessage(t, messages).data), size)
	}
	idle := time.NewTimer(minDeliveryTimeout + ackInterval)
	defer idle.Stop()
	<-idle.C
	a.Send(proxy, 1, []byte("after an idle time"))
	is.Equal(nextMessage(t, messages).data, "after an idle time")
	is.Equal(a.Stats().Connected, uint64(1))
	is.Equal(a.Stats().Broken, uint64(0))
}

// A receiver that never acknowledges, such as one of an older version, still receives the messages.
// The sender replaces the connections to it less and less often.
func TestReceiverWithoutAcks(t *testing.T) {
	is := is.New(t)
	a, _, _ := startLink(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	payloads := make(chan byte, 1000)
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
					payloads <- frame[frameHeaderLen]
				}
			}()
		}
	}()
	for number := byte(0); a.Stats().Connected < 3; number++ {
		a.Send(ln.Addr().String(), 1, []byte{number})
		select {
		case got := <-payloads:
			is.Equal(got, number)
		case <-time.After(testTimeout):
			t.Fatal("no message arrived without acknowledgements within testTimeout")
		}
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(a.Stats().Lost, uint64(0))
	is.Equal((&outbound{deliveryTimeout: minDeliveryTimeout}).nextDeliveryTimeout(), 2*minDeliveryTimeout)
	is.Equal((&outbound{deliveryTimeout: maxDeliveryTimeout}).nextDeliveryTimeout(), maxDeliveryTimeout)
}
