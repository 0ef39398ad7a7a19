package transport

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/admission"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (client, accepted *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	a, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); a.Close() })
	return c.(*net.TCPConn), a.(*net.TCPConn)
}

// awaitPeek waits until the client's close or reset has reached the connection.
func awaitPeek(t *testing.T, c *clientConn) {
	t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Read(func(uintptr) bool { return c.clientLeft() }); err != nil {
		t.Fatal(err)
	}
}

// The watch on a client may be late when the router is short of processor time. Nothing is sent for
// a client that has disconnected by the moment of sending, whether or not the watch has noticed,
// and the connection to the server can be reused.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			server := scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer()))
			servers := NewServers(ServerLimits{ConnectTimeout: time.Second, Keepalive: time.Minute, Connections: 1, StreamIdleTimeout: time.Second}, make(scripted.LogLines, 1))
			client, accepted := pair(t)
			m := &Message{method: []byte("POST"), uri: []byte("/v1/chat/completions"), id: []byte("q"), client: &clientConn{Conn: accepted}}
			leave(client)
			awaitPeek(t, m.client)
			head := servers.Send(context.Background(), time.Now().Add(time.Second), routing.Server{ID: "s", Addr: server.Addr}, m, noSend(t, true))
			if head.Result != balance.NotSent || !head.ClientLeft {
				t.Errorf("got %+v, want nothing sent, because the client has left", head)
			}
			if len(server.Requests) > 0 || servers.Open() != 1 || servers.Load() != 0 {
				t.Errorf("%d requests, %d connections, %v of them in use; want one idle connection", len(server.Requests), servers.Open(), servers.Load())
			}
		})
	}
}

// noSend returns hooks whose MaySend returns maySend. The test fails if anything is written.
func noSend(t *testing.T, maySend bool) routing.SendHooks {
	return routing.SendHooks{MaySend: func() bool { return maySend }, Written: func() { t.Error("a request was written") }}
}

// A server that began to drain while the connection to it was being opened gets no request, and the
// connection can be reused.
func TestNothingIsSentToServerThatDrainedMeanwhile(t *testing.T) {
	server := scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer()))
	servers := NewServers(ServerLimits{ConnectTimeout: time.Second, Keepalive: time.Minute, Connections: 1, StreamIdleTimeout: time.Second}, make(scripted.LogLines, 1))
	m := &Message{method: []byte("POST"), uri: []byte("/v1/chat/completions"), id: []byte("q")}
	got := servers.Send(context.Background(), time.Now().Add(time.Second), routing.Server{ID: "s", Addr: server.Addr}, m, noSend(t, false))
	if got.Result != balance.NotSent || got.ClientLeft {
		t.Errorf("got %+v, want nothing sent", got)
	}
	if len(server.Requests) > 0 || servers.Open() != 1 || servers.Load() != 0 {
		t.Errorf("%d requests, %d connections, %v of them in use; want one idle connection", len(server.Requests), servers.Open(), servers.Load())
	}
}

// If opening the connection took all of the time left, nothing is sent.
func TestNothingIsSentOnceTheTimeIsOver(t *testing.T) {
	o := outgoing{request: fasthttp.AcquireRequest(), deadline: time.Now().Add(-time.Millisecond)}
	_, accepted := pair(t)
	if err := o.write(context.Background(), &conn{Conn: accepted, to: routing.Server{Addr: "s:1"}}); err != errUnsent {
		t.Errorf("got %v, want errUnsent", err)
	}
}

// The router reads only the first of several requests that arrived together. If the connection has
// to be closed with its answer, for example because a stream breaks, the other requests were not
// read, so none of them is lost. The watch reads one byte of the next request and still notices
// that the client disconnects.
func TestFurtherRequestsStayUnread(t *testing.T) {
	client, accepted := pair(t)
	conn := &clientConn{Conn: accepted, listener: newListener(&FrontLimits{Admission: admission.Config{MaxConnections: 1, MaxOverflow: 1}})}
	first, second, third := scripted.RequestText("1", ""), scripted.RequestText("2", ""), scripted.RequestText("3", "")
	if _, err := client.Write([]byte(first + second + third)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 8<<10)
	read := func(want string) {
		t.Helper()
		n, err := conn.Read(buffer)
		if err != nil || string(buffer[:n]) != want {
			t.Fatalf("read %q, %v; want %q", buffer[:n], err, want)
		}
		conn.requestOpen = true
	}
	unread := func() int {
		raw, err := accepted.SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		raw.Control(func(fd uintptr) { n, _, _ = syscall.Recvfrom(int(fd), buffer, syscall.MSG_PEEK|syscall.MSG_DONTWAIT) })
		return n
	}
	read(first)
	if n := unread(); n != len(second+third) {
		t.Errorf("%d bytes are unread, want %d", n, len(second+third))
	}
	left := make(chan bool, 1)
	conn.watch(func() { left <- true })
	scripted.AwaitCondition(t, "the watch has read a byte", func() bool { return conn.nextBegun.Load() })
	conn.unwatch()
	if n := unread(); n != len(second+third)-1 || !conn.hasNextRequest() || conn.clientLeft() {
		t.Errorf("%d bytes are unread, next request %v, client left %v", n, conn.hasNextRequest(), conn.clientLeft())
	}
	read(second)
	conn.watch(func() { left <- true })
	client.Close()
	scripted.Receive(t, left, "the client's end is noticed")
	if n := unread(); n != len(third)-1 || !conn.clientLeft() {
		t.Errorf("%d bytes are unread, client left %v", n, conn.clientLeft())
	}
	conn.unwatch()
}
