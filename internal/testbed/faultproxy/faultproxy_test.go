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
	ms       = time.Millisecond
	patience = 10 * time.Second // only a failure waits for it
)

// routers are sockets in place of routers, and a mesh between them.
type routers struct {
	t     *testing.T
	conns []*net.UDPConn
	mesh  *Mesh
	wide  chan int
}

func newRouters(t *testing.T, n int) *routers {
	r := &routers{t: t, wide: make(chan int, 10)}
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
	r.mesh, err = NewMesh(listen, at, 1, 256, func(_, n int) { r.wide <- n })
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

// hear returns the next datagram of a router, and that it came from where the router reaches its
// sender.
func (r *routers) hear(j, from int) string {
	r.t.Helper()
	r.conns[j].SetReadDeadline(time.Now().Add(patience))
	var buf [4096]byte
	n, sender, err := r.conns[j].ReadFromUDPAddrPort(buf[:])
	if err != nil {
		r.t.Fatal(err)
	}
	if sender != r.addr(from) {
		r.t.Errorf("from %v, want %v", sender, r.addr(from))
	}
	return string(buf[:n])
}

// Datagrams come from the address at which the receiver knows the sender; a blackhole of one
// direction leaves the other, and a partition its bridge; a corrupted datagram differs in one bit;
// an oversized one is reported.
func TestMeshForwardsUnderLinkConditions(t *testing.T) {
	r := newRouters(t, 3)
	shape := &faults.Topology{Routers: []string{"", "", ""}}
	set := func(all ...faults.Fault) { r.mesh.Set(faults.Resolve(all, shape, 1)) }
	r.send(0, 1, "one")
	r.send(1, 0, "two")
	if a, b := r.hear(1, 0), r.hear(0, 1); a != "one" || b != "two" {
		t.Errorf("got %q and %q", a, b)
	}
	set(faults.Fault{Kind: faults.Blackhole, Routers: faults.Selection{Numbers: []int{0}}, Direction: faults.Out})
	r.send(0, 1, "lost")
	r.send(1, 0, "comes")
	if got := r.hear(0, 1); got != "comes" {
		t.Errorf("against the cut: %q", got)
	}
	set(faults.Fault{Kind: faults.Partition, Groups: [][]int{{0}, {1}}, Bridge: []int{2}})
	r.send(0, 1, "lost too")
	r.send(0, 2, "over the bridge")
	r.send(2, 1, "and on")
	if a, b := r.hear(2, 0), r.hear(1, 2); a != "over the bridge" || b != "and on" { // the first that came to 1 at all
		t.Errorf("got %q and %q", a, b)
	}
	set(faults.Fault{Kind: faults.Flip, Share: 1, Routers: faults.Selection{All: true}}, faults.Fault{Kind: faults.Duplicate, Share: 1, Routers: faults.Selection{All: true}})
	r.send(0, 1, "abcd")
	for range 2 {
		got, bits := r.hear(1, 0), 0
		for i := range got {
			for x := got[i] ^ "abcd"[i]; x != 0; x &= x - 1 {
				bits++
			}
		}
		if len(got) != 4 || bits != 1 {
			t.Errorf("got %q", got)
		}
	}
	set(faults.Fault{Kind: faults.Delay, Delay: 80 * ms, Routers: faults.Selection{All: true}})
	begun := time.Now()
	r.send(0, 1, "late")
	if got := r.hear(1, 0); got != "late" || time.Since(begun) < 80*ms {
		t.Errorf("%q after %v", got, time.Since(begun))
	}
	set()
	r.send(0, 1, string(make([]byte, 257)))
	if got := len(r.hear(1, 0)); got != 257 || <-r.wide != 257 {
		t.Errorf("%d bytes", got)
	}
}

// closings is an Observer.
type closings chan string

func (c closings) Closed(conn string) { c <- conn }

// pair is a proxy before an echo server.
type pair struct {
	t      *testing.T
	relay  *ConnProxy
	closed closings
	mu     sync.Mutex
	from   []string // who connected
}

func newPair(t *testing.T) *pair {
	p := &pair{t: t, closed: make(closings, 100)}
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
	if p.relay, err = NewConnProxy("127.0.0.1:0", ln.Addr().String(), 1, 1, p.closed); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.relay.Close)
	return p
}

func (p *pair) set(c faults.Condition) {
	p.t.Helper()
	if err := p.relay.Set(c, c); err != nil {
		p.t.Fatal(err)
	}
}

func (p *pair) dial() net.Conn {
	p.t.Helper()
	c, err := net.DialTimeout("tcp4", p.relay.Addr(), patience)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { c.Close() })
	return c
}

// echo sends a text and reads it back.
func (p *pair) echo(c net.Conn, text string, within time.Duration) error {
	c.SetDeadline(time.Now().Add(within))
	if _, err := io.WriteString(c, text); err != nil {
		return err
	}
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil {
		return err
	}
	if string(got) != text {
		p.t.Errorf("%.20q came back as %.20q", text, got)
	}
	return nil
}

// All bytes come in their order, whatever is delayed; the close of the near side is reported with
// the address that the far side knows.
func TestConnProxyKeepsByteOrder(t *testing.T) {
	p := newPair(t)
	c := p.dial()
	big := string(bytes.Repeat([]byte("0123456789"), 50000))
	go io.WriteString(c, big)
	got := make([]byte, len(big))
	c.SetDeadline(time.Now().Add(patience))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != big {
		t.Fatalf("half a megabyte: %v", err)
	}
	p.set(faults.Condition{Delay: 30 * ms, Jitter: 20 * ms})
	begun := time.Now()
	if err := p.echo(c, "late", patience); err != nil || time.Since(begun) < 60*ms {
		t.Errorf("%v after %v", err, time.Since(begun))
	}
	p.set(faults.Condition{})
	if err := p.echo(c, "in time", patience); err != nil {
		t.Error(err)
	}
	c.Close()
	select {
	case conn := <-p.closed:
		p.mu.Lock()
		defer p.mu.Unlock()
		if !slices.Contains(p.from, conn) {
			t.Errorf("%s was closed; the far side knows %v", conn, p.from)
		}
	case <-time.After(patience):
		t.Error("no word of the close")
	}
}

// A blackhole leaves open connections open, and new ones unanswered. When it ends, connections that
// were open are reset, and new ones are accepted.
func TestBlackholeLeavesConnectionsUnanswered(t *testing.T) {
	p := newPair(t)
	for round := range 3 {
		c := p.dial()
		if err := p.echo(c, "before", patience); err != nil {
			t.Fatal(err)
		}
		p.set(faults.Condition{Blackholed: true})
		if err := p.echo(c, "x", 50*ms); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("round %d: what is open: %v", round, err)
		}
		for range 3 {
			if x, err := net.DialTimeout("tcp4", p.relay.Addr(), 60*ms); !timedOut(err) {
				t.Errorf("round %d: a new connection: %v", round, err)
				if x != nil {
					x.Close()
				}
			}
		}
		p.set(faults.Condition{})
		if err := p.echo(c, "y", patience); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("round %d: open across the cut: %v", round, err)
		}
		if err := p.echo(p.dial(), "after", patience); err != nil {
			t.Errorf("round %d: after the cut: %v", round, err)
		}
	}
}

func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// A proxy that refuses does so at once, also while a blackhole begins or ends, and accepts again
// afterwards.
func TestRefusingProxyRefusesAtOnce(t *testing.T) {
	p := newPair(t)
	refused := func(when string) {
		t.Helper()
		if _, err := net.DialTimeout("tcp4", p.relay.Addr(), patience); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("%s: %v", when, err)
		}
	}
	refuse := func(on bool) {
		t.Helper()
		if err := p.relay.Refuse(on); err != nil {
			t.Fatal(err)
		}
	}
	refuse(true)
	refused("first")
	p.set(faults.Condition{Blackholed: true})
	refused("in a cut")
	refuse(false)
	if _, err := net.DialTimeout("tcp4", p.relay.Addr(), 60*ms); !timedOut(err) {
		t.Errorf("cut alone: %v", err)
	}
	refuse(true)
	refused("again in a cut")
	p.set(faults.Condition{})
	refused("after the cut")
	refuse(false)
	if err := p.echo(p.dial(), "after", patience); err != nil {
		t.Error(err)
	}
}

// A connection to an absent far side is accepted, and reset at once.
func TestAbsentTargetResetsConnection(t *testing.T) {
	r, err := NewConnProxy("127.0.0.1:0", "127.0.0.1:1", 1, 1, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	c, err := net.Dial("tcp4", r.Addr())
	if errors.Is(err, syscall.ECONNRESET) {
		return // it was faster than the word that the connection is up
	}
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) && err != io.EOF {
		t.Errorf("got %v", err)
	}
}

var measure = flag.Bool("measure", false, "run the measurements")

// Measures the round-trip time that a proxy adds to an echo, over a connection and over datagrams.
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
	p := newPair(t)
	plain, err := net.Dial("tcp4", p.relay.target)
	if err != nil {
		t.Fatal(err)
	}
	defer plain.Close()
	show("connection", echo(plain))
	show("connection through a relay", echo(p.dial()))

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
			r.conns[0].SetReadDeadline(time.Now().Add(patience))
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

// A link whose listener's one place another connection has taken, so that the plug found none, is
// restored like any other.
func TestLinkWithoutPlugIsRestored(t *testing.T) {
	target, err := net.Listen("tcp4", "127.0.0.1:0") // a far side that refuses would have the proxy reset its client
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

// When the near side sent something is told by its system, however late the proxy forwards it.
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
		t.Error("it knows when something was sent before anything was")
	}
	before := time.Now()
	near.Write([]byte("x"))
	after := time.Now()
	accepted.Read(make([]byte, 1))
	forwarded := time.Since(before)
	if at := proxy.SentAt(conn); at.Before(before.Add(-precision)) || at.After(after.Add(precision)) {
		t.Errorf("sent %v after the write, forwarded after %v", at.Sub(before), forwarded)
	}
}
