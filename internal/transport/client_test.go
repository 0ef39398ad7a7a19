package transport_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"reachspread/internal/peers"
	"reachspread/internal/protocol"
)

// dial connects to a router; the connection ends with the test.
func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(peers.Patience))
	return conn.(*net.TCPConn)
}

// Requests that are sent without waiting for answers are served one after the other, each whole.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	server := peers.NewServer(t, peers.Answer(peers.Whole()))
	conn := dial(t, newRouter(t, server).addr)
	const requests = 5
	var all strings.Builder
	for i := range requests {
		all.WriteString(peers.AskText(fmt.Sprint("id-", i), ""))
	}
	io.WriteString(conn, all.String())
	in := bufio.NewReader(conn)
	for i := range requests {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		body, err := io.ReadAll(response.Body)
		if response.StatusCode != http.StatusOK || err != nil || string(body) != peers.Event+peers.Done {
			t.Fatalf("request %d: got %d %q, %v; want its answer", i, response.StatusCode, body, err)
		}
		if id := peers.Next(t, server.Requests, "an attempt").Header.Get(protocol.HeaderID); id != fmt.Sprint("id-", i) {
			t.Errorf("attempt %d is for %s", i, id)
		}
	}
}

// A client that ends its connection, or only its sending, has its attempt given up, also where more bytes of it came behind the
// open request than one.
func TestClientThatLeavesIsNoticed(t *testing.T) {
	for name, tt := range map[string]struct {
		further string
		leave   func(*net.TCPConn)
	}{
		"closed":                      {"", func(c *net.TCPConn) { c.Close() }},
		"reset":                       {"", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		"only its sending":            {"", func(c *net.TCPConn) { c.CloseWrite() }},
		"closed behind another":       {peers.AskText("further", ""), func(c *net.TCPConn) { c.Close() }},
		"reset behind another":        {peers.AskText("further", ""), func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		"its sending behind another":  {peers.AskText("further", ""), func(c *net.TCPConn) { c.CloseWrite() }},
		"closed behind half a one":    {peers.AskText("further", "")[:50], func(c *net.TCPConn) { c.Close() }},
		"closed behind many requests": {strings.Repeat(peers.AskText("further", ""), 50), func(c *net.TCPConn) { c.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			gone := make(chan bool, 1)
			server := peers.NewServer(t, func(c net.Conn) bool {
				io.Copy(io.Discard, c)
				gone <- true
				return false
			})
			conn := dial(t, newRouter(t, server).addr)
			patient := strings.Replace(peers.AskText("id", ""), "X-Time-Left: 8000m", "X-Time-Left: 600000m", 1)
			io.WriteString(conn, patient) // the attempt is not over by itself within the test
			peers.Next(t, server.Requests, "an attempt")
			io.WriteString(conn, tt.further)
			tt.leave(conn)
			peers.Next(t, gone, "the attempt's connection closed")
			if n := len(server.Requests); n > 0 {
				t.Errorf("%d more attempts", n)
			}
		})
	}
}
