package transport

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"reachspread/balance"
	"reachspread/internal/peers"
	"reachspread/internal/routing"
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

// awaitPeek waits until a connection has something to tell: bytes, its end or a reset.
func awaitPeek(t *testing.T, c *clientConn) {
	t.Helper()
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err := raw.Read(func(uintptr) bool { return c.hasLeft() }); err != nil {
		t.Fatal(err)
	}
}

// The watch on a client may be late where the router is short of processor time. Nothing is sent for one that has left by
// the moment of sending, whatever the watch has noticed, and the server's connection is as good as before.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			server := peers.NewServer(t, peers.Answer(peers.Whole()))
			servers := NewServers(ServerLimits{Connect: time.Second, Keepalive: time.Minute, Connections: 1, Silent: time.Second}, make(peers.Lines, 1))
			client, accepted := pair(t)
			m := &Message{method: []byte("POST"), uri: []byte("/v1/chat/completions"), id: []byte("q"), client: &clientConn{Conn: accepted}}
			leave(client)
			awaitPeek(t, m.client)
			head := servers.Schedule(context.Background(), time.Now().Add(time.Second), routing.Entry{ID: "s", Addr: server.Addr}, m, func() { t.Error("written") })
			if head.Result != balance.NotSent || !head.Left {
				t.Errorf("got %+v, want nothing sent as the client has left", head)
			}
			if len(server.Requests) > 0 || servers.Open() != 1 || servers.Load() != 0 {
				t.Errorf("%d requests, %d connections, %v of them in use; want one idle connection", len(server.Requests), servers.Open(), servers.Load())
			}
		})
	}
}

// Where the connection took all the time that was left, nothing is sent.
func TestNothingIsSentOnceTheTimeIsOver(t *testing.T) {
	o := outgoing{request: fasthttp.AcquireRequest(), deadline: time.Now().Add(-time.Millisecond)}
	_, accepted := pair(t)
	if err := o.write(context.Background(), &conn{Conn: accepted, to: routing.Entry{Addr: "s:1"}}); err != errUnsent {
		t.Errorf("got %v, want it unsent", err)
	}
}
