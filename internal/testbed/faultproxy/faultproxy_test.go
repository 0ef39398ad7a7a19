package faultproxy

import (
	"bytes"
	"errors"
	"flag"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"reachspread/internal/testbed/faults"
)

const (
	ms           = time.Millisecond
	eventTimeout = 10 * time.Second // long enough for every expected event; only a failing test waits so long
)

// routers is a set of sockets that stand for routers, and the mesh between them.
type routers struct {
	t         *testing.T
	conns     []*net.UDPConn
	mesh      *Mesh
	oversized chan int
}

func newRouters(t *testing.T, n int) *routers {
	r := &routers{t: t, oversized: make(chan int, 10)}
	var listen, at []netip.AddrPort
	for range n {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		r.conns = append(r.conns, c)
		listen = append(listen, c.LocalAddr().(*net.UDPAddr).AddrPort())
		at = append(at, netip.MustParseAddrPort("127.0.0.1:0"))
	}
	var err error
	r.mesh, err = NewMesh(listen, at, 1, 256, func(_, n int) { r.oversized <- n })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.mesh.Close)
	return r
}

func (r *routers) addr(i int) netip.AddrPort {
	return r.mesh.conns[i].LocalAddr().(*net.UDPAddr).AddrPort()
}

func (r *routers) send(i, j int, text string) {
	r.t.Helper()
	if _, err := r.conns[i].WriteToUDPAddrPort([]byte(text), r.addr(j)); err != nil {
		r.t.Fatal(err)
	}
}

// receive returns the next datagram that router j receives. It checks that the source address is the
// address at which the other routers reach the sender, router from.
func (r *routers) receive(j, from int) string {
	r.t.Helper()
	r.conns[j].SetReadDeadline(time.Now().Add(eventTimeout))
	var buf [4096]byte
	n, sender, err := r.conns[j].ReadFromUDPAddrPort(buf[:])
	if err != nil {
		r.t.Fatal(err)
	}
	if sender != r.addr(from) {
		r.t.Errorf("datagram has source address %v, want %v", sender, r.addr(from))
	}
	return string(buf[:n])
}

// Datagrams arrive from the address at which the receiver reaches the sender. A blackhole of one
// direction does not affect the other direction, and a partition does not affect its bridge. A
// corrupted datagram differs in one bit. An oversized datagram is reported.
func TestMeshForwardsUnderLinkConditions(t *testing.T) {
	r := newRouters(t, 3)
	shape := &faults.Topology{Routers: []string{"", "", ""}}
	set := func(all ...faults.Fault) { r.mesh.Set(faults.Resolve(all, shape, 1)) }
	r.send(0, 1, "one")
	r.send(1, 0, "two")
	if a, b := r.receive(1, 0), r.receive(0, 1); a != "one" || b != "two" {
		t.Errorf("received %q and %q without faults, want one and two", a, b)
	}
	set(faults.Fault{Kind: faults.Blackhole, Routers: faults.Selection{Numbers: []int{0}}, Direction: faults.Out})
	r.send(0, 1, "lost")
	r.send(1, 0, "comes")
	if got := r.receive(0, 1); got != "comes" {
		t.Errorf("received %q in the direction without a blackhole, want comes", got)
	}
	set(faults.Fault{Kind: faults.Partition, Groups: [][]int{{0}, {1}}, Bridge: []int{2}})
	r.send(0, 1, "lost too")
	r.send(0, 2, "over the bridge")
	r.send(2, 1, "and on")
	if a, b := r.receive(2, 0), r.receive(1, 2); a != "over the bridge" || b != "and on" { // the first datagram that router 1 received since the start of the partition
		t.Errorf("received %q and %q across the bridge", a, b)
	}
	set(faults.Fault{Kind: faults.Flip, Share: 1, Routers: faults.Selection{All: true}}, faults.Fault{Kind: faults.Duplicate, Share: 1, Routers: faults.Selection{All: true}})
	r.send(0, 1, "abcd")
	for range 2 {
		got, bits := r.receive(1, 0), 0
		for i := range got {
			for x := got[i] ^ "abcd"[i]; x != 0; x &= x - 1 {
				bits++
			}
		}
		if len(got) != 4 || bits != 1 {
			t.Errorf("received %q, want abcd with one bit flipped", got)
		}
	}
	set(faults.Fault{Kind: faults.Delay, Delay: 80 * ms, Routers: faults.Selection{All: true}})
	begun := time.Now()
	r.send(0, 1, "late")
	if got := r.receive(1, 0); got != "late" || time.Since(begun) < 80*ms {
		t.Errorf("%q arrived after %v, want late after 80ms at least", got, time.Since(begun))
	}
	set()
	r.send(0, 1, string(make([]byte, 257)))
	if got := len(r.receive(1, 0)); got != 257 || <-r.oversized != 257 {
		t.Errorf("received %d bytes, want 257, reported as oversized", got)
	}
}

// closedConns is an Observer that sends the address of each closed connection on a channel.
type closedConns chan string

func (c closedConns) Closed(conn string) { c <- conn }

// echoProxy is a proxy whose target is an echo server.
type echoProxy struct {
	t      *testing.T
	proxy  *ConnProxy
	closed closedConns
	mu     sync.Mutex
	from   []string // source addresses of the connections that the echo server accepted
}

func newEchoProxy(t *testing.T) *echoProxy {
	p := &echoProxy{t: t, closed: make(closedConns, 100)}
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
			p.mu.Lock()
			p.from = append(p.from, c.RemoteAddr().String())
			p.mu.Unlock()
			go func() {
				io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	if p.proxy, err = NewConnProxy("127.0.0.1:0", ln.Addr().String(), 1, 1, p.closed); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.proxy.Close)
	return p
}

func (p *echoProxy) set(c faults.Condition) {
	p.t.Helper()
	if err := p.proxy.Set(c, c); err != nil {
		p.t.Fatal(err)
	}
}

func (p *echoProxy) dial() net.Conn {
	p.t.Helper()
	c, err := net.DialTimeout("tcp4", p.proxy.Addr(), eventTimeout)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	return c
}

// echo sends a text and reads it back.
func (p *echoProxy) echo(c net.Conn, text string, within time.Duration) error {
	c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil {
		return err
	}
	if string(got) != text {
		p.t.Errorf("the echo of %.20q is %.20q", text, got)
	}
	return nil
}

// All bytes arrive in order, even if chunks are delayed. The close of the near side is reported with
// the address that the far side sees.
func TestConnProxyKeepsByteOrder(t *testing.T) {
	p := newEchoProxy(t)
	c := p.dial()
	big := string(bytes.Repeat([]byte("0123456789"), 50000))
	go io.WriteString(c, big)
	got := make([]byte, len(big))
	c.SetDeadline(time.Now().Add(eventTimeout))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != big {
		t.Fatalf("echo of half a megabyte differs or failed: %v", err)
	}
	p.set(faults.Condition{Delay: 30 * ms, Jitter: 20 * ms})
	begun := time.Now()
	if err := p.echo(c, "late", eventTimeout); err != nil || time.Since(begun) < 60*ms {
		t.Errorf("echo over a delayed link: error %v after %v, want none after 60ms at least", err, time.Since(begun))
	}
	p.set(faults.Condition{})
	if err := p.echo(c, "in time", eventTimeout); err != nil {
		t.Error(err)
	}
	c.Close()
	select {
	case conn := <-p.closed:
		p.mu.Lock()
		defer p.mu.Unlock()
		if !slices.Contains(p.from, conn) {
			t.Errorf("closed connection is reported as %s; the far side sees %v", conn, p.from)
		}
	case <-time.After(eventTimeout):
		t.Error("timed out waiting for the report of the close")
	}
}

// During a blackhole, open connections stay open and new ones get no answer. When the blackhole ends,
// the connections that were open are reset and new ones are accepted.
func TestBlackholeLeavesConnectionsUnanswered(t *testing.T) {
	p := newEchoProxy(t)
	for round := range 3 {
		c := p.dial()
		if err := p.echo(c, "before", eventTimeout); err != nil {
			t.Fatal(err)
		}
		p.set(faults.Condition{Blackholed: true})
		if err := p.echo(c, "x", 50*ms); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("round %d: echo over an open connection during the blackhole: %v, want a timeout", round, err)
		}
		for range 3 {
			if x, err := net.DialTimeout("tcp4", p.proxy.Addr(), 60*ms); !timedOut(err) {
				t.Errorf("round %d: new connection during the blackhole: %v, want a timeout", round, err)
				if x != nil {
					x.Close()
				}
			}
		}
		p.set(faults.Condition{})
		if err := p.echo(c, "y", eventTimeout); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("round %d: connection that was open during the blackhole: %v, want a reset", round, err)
		}
		if err := p.echo(p.dial(), "after", eventTimeout); err != nil {
			t.Errorf("round %d: new connection after the blackhole: %v", round, err)
		}
	}
}

func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// A refusing proxy refuses connections at once, even while a blackhole begins or ends, and accepts
// connections again afterwards.
func TestRefusingProxyRefusesAtOnce(t *testing.T) {
	p := newEchoProxy(t)
	refused := func(when string) {
		t.Helper()
		if _, err := net.DialTimeout("tcp4", p.proxy.Addr(), eventTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%s: dialing a refusing proxy: %v, want connection refused", when, err)
		}
	}
	refuse := func(on bool) {
		t.Helper()
		if err := p.proxy.Refuse(on); err != nil {
			t.Fatal(err)
		}
	}
	refuse(true)
	refused("before a blackhole")
	p.set(faults.Condition{Blackholed: true})
	refused("during a blackhole")
	refuse(false)
	if _, err := net.DialTimeout("tcp4", p.proxy.Addr(), 60*ms); !timedOut(err) {
		t.Errorf("dialing a blackholed proxy that does not refuse: %v, want a timeout", err)
	}
	refuse(true)
	refused("again during the blackhole")
	p.set(faults.Condition{})
	refused("after the blackhole")
	refuse(false)
	if err := p.echo(p.dial(), "after", eventTimeout); err != nil {
		t.Error(err)
	}
}

// If the far side does not listen, the proxy accepts a connection and resets it at once.
func TestAbsentTargetResetsConnection(t *testing.T) {
	r, err := NewConnProxy("127.0.0.1:0", "127.0.0.1:1", 1, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c, err := net.Dial("tcp4", r.Addr())
	if errors.Is(err, syscall.ECONNRESET) {
		return // the reset arrived before Dial had returned
	}
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(eventTimeout))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) && err != io.EOF {
		t.Errorf("read from a connection without a far side: %v, want a reset or EOF", err)
	}
}

var measure = flag.Bool("measure", false, "run the measurements")

// Measures the round-trip times of echoes with and without a proxy, over a connection and over
// datagrams.
func TestMeasureDelay(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; run with -measure")
	}
	const echoes = 20_000
	show := func(what string, h *hdrhistogram.Histogram) {
		t.Logf("%-28s median %d us, p99 %d us", what, h.ValueAtQuantile(50), h.ValueAtQuantile(99))
	}
	echo := func(c net.Conn) *hdrhistogram.Histogram {
		h, buf := hdrhistogram.New(1, 1e7, 3), make([]byte, 64)
		for range echoes {
			begun := time.Now()
			c.Write(buf)
			if _, err := io.ReadFull(c, buf); err != nil {
				t.Fatal(err)
			}
			h.RecordValue(time.Since(begun).Microseconds())
		}
		return h
	}
	p := newEchoProxy(t)
	plain, err := net.Dial("tcp4", p.proxy.target)
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	show("connection", echo(plain))
	show("connection through a proxy", echo(p.dial()))

	r := newRouters(t, 2)
	go func() {
		var buf [64]byte
		for {
			n, from, err := r.conns[1].ReadFromUDPAddrPort(buf[:])
			if err != nil {
				return
			}
			r.conns[1].WriteToUDPAddrPort(buf[:n], from)
		}
	}()
	round := func(to netip.AddrPort) *hdrhistogram.Histogram {
		h, buf := hdrhistogram.New(1, 1e7, 3), make([]byte, 64)
		for range echoes {
			begun := time.Now()
			r.conns[0].WriteToUDPAddrPort(buf, to)
			r.conns[0].SetReadDeadline(time.Now().Add(eventTimeout))
			if _, _, err := r.conns[0].ReadFromUDPAddrPort(buf); err != nil {
				t.Fatal(err)
			}
			h.RecordValue(time.Since(begun).Microseconds())
		}
		return h
	}
	show("datagram", round(r.conns[1].LocalAddr().(*net.UDPAddr).AddrPort()))
	show("datagram through the mesh", round(r.addr(1)))
}

// A link without a plug is restored like any other. The plug is missing if another connection
// already filled the listener's accept queue.
func TestLinkWithoutPlugIsRestored(t *testing.T) {
	target, err := net.Listen("tcp4", "127.0.0.1:0") // without a far side, the proxy would reset its client
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	r, err := NewConnProxy("127.0.0.1:0", target.Addr().String(), 1, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	if err := r.Set(faults.Condition{Blackholed: true}, faults.Condition{}); err != nil {
		t.Fatal(err)
	}
	r.mu.Lock()
	r.closePlug()
	r.mu.Unlock()
	if err := r.Set(faults.Condition{}, faults.Condition{}); err != nil {
		t.Error(err)
	}
	c, err := net.Dial("tcp4", r.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	far, err := target.Accept()
	if err != nil {
		t.Fatal(err)
	}
	far.Close()
}

// SentAt returns when the near side sent its data, however late the proxy forwards them.
func TestSentAtIsWhenNearSideSent(t *testing.T) {
	const delay, precision = 300 * time.Millisecond, 100 * time.Millisecond
	far, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer far.Close()
	proxy, err := NewConnProxy("127.0.0.1:0", far.Addr().String(), 1, 0, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	if err := proxy.Set(faults.Condition{Delay: delay}, faults.Condition{}); err != nil {
		t.Fatal(err)
	}
	near, err := net.Dial("tcp4", proxy.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	accepted, err := far.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	conn := accepted.RemoteAddr().String()
	if !proxy.SentAt(conn).IsZero() || !proxy.SentAt("127.0.0.1:1").IsZero() {
		t.Error("SentAt returns a time before anything was sent, or for an unknown connection")
	}
	before := time.Now()
	near.Write([]byte("x"))
	after := time.Now()
	accepted.Read(make([]byte, 1))
	forwarded := time.Since(before)
	if at := proxy.SentAt(conn); at.Before(before.Add(-precision)) || at.After(after.Add(precision)) {
		t.Errorf("SentAt is %v after the write, want about 0; the data were forwarded after %v", at.Sub(before), forwarded)
	}
}
