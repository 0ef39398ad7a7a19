package transport

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/admission"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// pausePoint stops the first goroutine that reaches it until the test resumes the goroutine. This
// simulates a thread that loses its processor at that point.
type pausePoint struct {
	used            atomic.Bool
	reached, resume chan struct{}
}

func newPausePoint() *pausePoint {
	return &pausePoint{reached: make(chan struct{}), resume: make(chan struct{})}
}

func (p *pausePoint) pause() {
	if p.used.CompareAndSwap(false, true) {
		close(p.reached)
		<-p.resume
	}
}

// pausedConn is an accepted connection that calls test functions before or after some system calls;
// nil functions are skipped. Each function runs on the goroutine that makes the system call.
type pausedConn struct {
	*net.TCPConn
	beforeRead, afterRead func()                 // around the read of a request's first bytes
	beforeRest            func()                 // before each read except the first
	afterBody             atomic.Pointer[func()] // after bytes of a body were read
	beforeClose           func()
	afterWrite            func(p []byte)
	read                  atomic.Bool // the first read was started
}

func (c *pausedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return &pausedRawConn{raw, c}, err
}

func (c *pausedConn) Read(p []byte) (int, error) {
	call(c.beforeRest)
	n, err := c.TCPConn.Read(p)
	c.bodyRead()
	return n, err
}

func (c *pausedConn) bodyRead() {
	if f := c.afterBody.Load(); f != nil {
		(*f)()
	}
}

func (c *pausedConn) Close() error {
	call(c.beforeClose)
	return c.TCPConn.Close()
}

func (c *pausedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	if c.afterWrite != nil {
		c.afterWrite(p)
	}
	return n, err
}

type pausedRawConn struct {
	syscall.RawConn
	conn *pausedConn
}

func (r *pausedRawConn) Read(f func(fd uintptr) bool) error {
	call(r.conn.beforeRead)
	if r.conn.read.Swap(true) {
		call(r.conn.beforeRest)
	}
	defer call(r.conn.afterRead)
	return r.RawConn.Read(f)
}

func (r *pausedRawConn) Control(f func(fd uintptr)) error {
	defer r.conn.bodyRead()
	return r.RawConn.Control(f)
}

func call(f func()) {
	if f != nil {
		f()
	}
}

// pausedIntake calls test functions before some methods of an intake; nil functions are skipped.
type pausedIntake struct {
	Intake
	local, head func()
}

func (i *pausedIntake) Local(ctx *fasthttp.RequestCtx) bool {
	call(i.local)
	return i.Intake.Local(ctx)
}

func (i *pausedIntake) Head(ctx *fasthttp.RequestCtx) *Rejection {
	call(i.head)
	return i.Intake.Head(ctx)
}

// newRoutedFront returns a ready front end with a routing core and one server. It does not listen yet.
func newRoutedFront(t *testing.T, limits FrontLimits, script func(net.Conn) bool) (*Front, *scripted.Server) {
	t.Helper()
	b, err := balance.New(balance.Config{Zone: "a", MaxAttempts: 3, MaxRetryAfter: time.Second, StepInterval: time.Millisecond,
		Classes: []balance.Class{{Name: "chat", LatencyTarget: 8 * time.Second, Deadline: 8 * time.Second, Streamed: true}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	lines := make(scripted.LogLines, 100)
	network := NewServers(ServerLimits{ConnectTimeout: time.Second, Keepalive: time.Minute, Connections: 10, StreamIdleTimeout: time.Minute}, lines)
	core := routing.New(b, network, lines, time.Second)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go core.Run(ctx)
	server := scripted.NewServer(t, script)
	list, err := protocol.ParseList([]byte(scripted.List(1, true, scripted.ListEntry("s0", server.Addr, "Ready"))))
	if err != nil {
		t.Fatal(err)
	}
	core.ApplyUpdate(list.Members(), list.Addrs())
	limits.BodyBytes = 1 << 20
	front := NewFront(core, limits, nil)
	front.SetReady(true)
	return front, server
}

// passTime advances admission's clock.
func passTime(l *listener, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start = l.start.Add(-d)
}

// awaitUnread waits until exactly n received bytes of a connection are unread.
func awaitUnread(t *testing.T, c net.Conn, n int) {
	t.Helper()
	counted := &clientConn{Conn: c}
	scripted.AwaitCondition(t, "the bytes of a request", func() bool { return counted.unreadBytes() == n })
}

// wantAnswer fails the test unless the head of an answer arrives.
func wantAnswer(t *testing.T, client net.Conn) {
	t.Helper()
	client.SetDeadline(time.Now().Add(scripted.EventTimeout))
	if _, err := http.ReadResponse(bufio.NewReader(client), nil); err != nil {
		t.Errorf("got %v; want an answer", err)
	}
}

const readyText = "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n"

var oneConnection = FrontLimits{Admission: admission.Config{MaxConnections: 1, MaxOverflow: 1}}
