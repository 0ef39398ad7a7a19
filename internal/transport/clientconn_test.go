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

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/protocol"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// dial connects to a router. The connection is closed at the end of the test.
func dial(t *testing.T, addr string) *net.TCPConn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(scripted.EventTimeout))
	return conn.(*net.TCPConn)
}

// Pipelined requests are served in order, and each gets its complete answer.
func TestPipelinedRequestsAreServedInOrder(t *testing.T) {
	server := scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer()))
	conn := dial(t, newRouter(t, server).addr)
	const requests = 5
	var all strings.Builder
	for i := range requests {
		all.WriteString(scripted.RequestText(fmt.Sprint("id-", i), ""))
	}
	io.WriteString(conn, all.String())
	in := bufio.NewReader(conn)
	for i := range requests {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		body, err := io.ReadAll(response.Body)
		if response.StatusCode != http.StatusOK || err != nil || string(body) != scripted.Event+scripted.Done {
			t.Fatalf("request %d: got %d %q, %v; want its answer", i, response.StatusCode, body, err)
		}
		if id := scripted.Receive(t, server.Requests, "an attempt").Header.Get(protocol.HeaderID); id != fmt.Sprint("id-", i) {
			t.Errorf("attempt %d has request ID %s, want the IDs in order", i, id)
		}
	}
}

// When a client closes its connection or only its sending side, its attempt is cancelled, even if
// more than one byte of further requests was received behind the open request.
func TestClientThatLeavesIsNoticed(t *testing.T) {
	for name, tt := range map[string]struct {
		further string
		leave   func(*net.TCPConn)
	}{
		"closed":                             {"", func(c *net.TCPConn) { c.Close() }},
		"reset":                              {"", func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		"sending side closed":                {"", func(c *net.TCPConn) { c.CloseWrite() }},
		"closed behind another":              {scripted.RequestText("further", ""), func(c *net.TCPConn) { c.Close() }},
		"reset behind another":               {scripted.RequestText("further", ""), func(c *net.TCPConn) { c.SetLinger(0); c.Close() }},
		"sending side closed behind another": {scripted.RequestText("further", ""), func(c *net.TCPConn) { c.CloseWrite() }},
		"closed behind half a request":       {scripted.RequestText("further", "")[:50], func(c *net.TCPConn) { c.Close() }},
		"closed behind many requests":        {strings.Repeat(scripted.RequestText("further", ""), 50), func(c *net.TCPConn) { c.Close() }},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool, 1)
			server := scripted.NewServer(t, func(c net.Conn) bool {
				io.Copy(io.Discard, c)
				closed <- true
				return false
			})
			conn := dial(t, newRouter(t, server).addr)
			text := strings.Replace(scripted.RequestText("id", ""), "X-Time-Left: 8000m", "X-Time-Left: 600000m", 1)
			io.WriteString(conn, text) // the attempt must not time out during the test
			scripted.Receive(t, server.Requests, "an attempt")
			io.WriteString(conn, tt.further)
			tt.leave(conn)
			scripted.Receive(t, closed, "the attempt's connection closed")
			if n := len(server.Requests); n > 0 {
				t.Errorf("the server got %d more attempts, want none", n)
			}
		})
	}
}

// Every accepted request has exactly one outcome: accepted = served + rejected + failed + abandoned
// + handed over + open, whatever clients and servers do.
func TestEveryRequestIsAccountedFor(t *testing.T) {
	answer := func(text string) func(chan bool) func(net.Conn) bool {
		return func(chan bool) func(net.Conn) bool { return scripted.Answer(text) }
	}
	scripts := map[string]func(more chan bool) func(net.Conn) bool{
		"served":  answer(scripted.CompleteAnswer()),
		"refused": answer(scripted.Rejection),
		"invalid": answer("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
		"broken":  answer(scripted.Head + scripted.Chunk(scripted.Event) + "z\r\n"),
		"held":    func(more chan bool) func(net.Conn) bool { return scripted.GatedAnswer(more) },
		"silent": func(chan bool) func(net.Conn) bool {
			return func(c net.Conn) bool { io.Copy(io.Discard, c); return false }
		},
	}
	for _, tt := range []struct {
		name, script string
		do           func(t *testing.T, r *router, s *scripted.Server, more chan bool)
		want         routing.Counts
	}{
		{"served, three in one piece", "served", func(t *testing.T, r *router, s *scripted.Server, more chan bool) {
			conn := dial(t, r.addr)
			io.WriteString(conn, scripted.RequestText("1", "")+scripted.RequestText("2", "")+scripted.RequestText("3", "Connection: close\r\n"))
			io.Copy(io.Discard, conn)
		}, routing.Counts{Accepted: 3, Served: 3}},
		{"refused", "refused", func(t *testing.T, r *router, s *scripted.Server, more chan bool) {
			scripted.Do(t, scripted.NewRequest(t, r.addr, "q", nil))
		}, routing.Counts{Accepted: 1, Rejected: 1}},
		{"invalid request", "invalid", func(t *testing.T, r *router, s *scripted.Server, more chan bool) {
			scripted.Do(t, scripted.NewRequest(t, r.addr, "q", nil))
		}, routing.Counts{Accepted: 1, Failed: 1}},
		{"a stream that breaks", "broken", func(t *testing.T, r *router, s *scripted.Server, more chan bool) {
			scripted.Do(t, scripted.NewRequest(t, r.addr, "q", nil))
		}, routing.Counts{Accepted: 1, Failed: 1}},
		{"timed out", "silent", func(t *testing.T, r *router, s *scripted.Server, more chan bool) {
			scripted.Do(t, scripted.NewRequest(t, r.addr, "q", map[string]string{"X-Time-Left": "100m"}))
		}, routing.Counts{Accepted: 1, Rejected: 1}},
		{"left before the first attempt's answer", "silent", func(t *testing.T, r *router, s *scripted.Server, more chan bool) {
			conn := dial(t, r.addr)
			io.WriteString(conn, scripted.RequestText("1", ""))
			scripted.Receive(t, s.Requests, "an attempt")
			conn.Close()
		}, routing.Counts{Accepted: 1, Abandoned: 1}},
		{"left in a stream, with more behind", "held", func(t *testing.T, r *router, s *scripted.Server, more chan bool) {
			conn := dial(t, r.addr)
			io.WriteString(conn, scripted.RequestText("1", "")+scripted.RequestText("2", ""))
			if _, err := bufio.NewReader(conn).ReadString('\n'); err != nil {
				t.Fatal(err)
			}
			conn.SetLinger(0)
			conn.Close()
		}, routing.Counts{Accepted: 1, Abandoned: 1}},
		{"an id in use", "held", func(t *testing.T, r *router, s *scripted.Server, more chan bool) {
			conn := dial(t, r.addr)
			io.WriteString(conn, scripted.RequestText("same", "Connection: close\r\n"))
			scripted.Receive(t, s.Requests, "an attempt")
			scripted.Do(t, scripted.NewRequest(t, r.addr, "same", nil))
			more <- true
			io.Copy(io.Discard, conn)
		}, routing.Counts{Accepted: 2, Served: 1, Failed: 1}},
		{"incomplete request", "served", func(t *testing.T, r *router, s *scripted.Server, more chan bool) {
			conn := dial(t, r.addr)
			io.WriteString(conn, strings.TrimSuffix(scripted.RequestText("1", ""), "}"))
			conn.CloseWrite()
			io.Copy(io.Discard, conn)
		}, routing.Counts{}}, // it was not a complete request
	} {
		t.Run(tt.name, func(t *testing.T) {
			more := make(chan bool)
			server := scripted.NewServer(t, scripts[tt.script](more))
			r := newRouter(t, server)
			tt.do(t, r, server, more)
			scripted.AwaitCondition(t, "nothing is open", func() bool { return r.core.Metrics().Open == 0 })
			got := r.core.Metrics().Classes["chat"]
			if diff := cmp.Diff(tt.want, got); diff != "" || got.Open() != 0 {
				t.Errorf("%d requests are open, want 0; counts (-want +got): %s", got.Open(), diff)
			}
		})
	}
}

// All requests that were received together are answered, even if the router starts to drain
// meanwhile. The last answer closes the connection.
func TestPipelinedRequestsAreAnsweredInADrain(t *testing.T) {
	for name, apart := range map[string]bool{"in one piece": false, "the others behind the open one": true} {
		t.Run(name, func(t *testing.T) {
			more := make(chan bool)
			server := scripted.NewServer(t, scripted.GatedAnswer(more))
			r := newRouter(t, server)
			conn := dial(t, r.addr)
			first, others := scripted.RequestText("1", ""), scripted.RequestText("2", "")+scripted.RequestText("3", "")
			if !apart {
				first, others = first+others, ""
			}
			io.WriteString(conn, first)
			scripted.Receive(t, server.Requests, "an attempt")
			io.WriteString(conn, others)
			r.front.SetKeepAlive(false)
			in := bufio.NewReader(conn)
			for i := 1; i <= 3; i++ {
				if i > 1 {
					scripted.Receive(t, server.Requests, "an attempt")
				}
				more <- true
				response, err := http.ReadResponse(in, nil)
				if err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
				body, err := io.ReadAll(response.Body)
				if response.StatusCode != http.StatusOK || err != nil || string(body) != scripted.Event+scripted.Done {
					t.Errorf("request %d: got %d %q, %v; want its answer", i, response.StatusCode, body, err)
				}
				if response.Close && i < 3 {
					t.Errorf("answer %d ends the connection before its further requests", i)
				}
			}
			if _, err := in.ReadByte(); err != io.EOF {
				t.Errorf("after the last answer: got %v, want the end of the connection", err)
			}
		})
	}
}

// The time left that a server is sent is counted from the first byte of the request, even if the
// client writes slowly or an earlier request on the connection delays it.
func TestTimeLeftIsCountedFromTheFirstByte(t *testing.T) {
	const (
		requested = 8 * time.Second
		delay     = 200 * time.Millisecond
	)
	delayed := func(c net.Conn) bool {
		time.Sleep(delay)
		io.WriteString(c, scripted.CompleteAnswer())
		return true
	}
	for name, tt := range map[string]struct {
		script func(net.Conn) bool
		send   func(conn net.Conn)
		before int // attempts before the one under test
	}{
		"written slowly": {scripted.Answer(scripted.CompleteAnswer()), func(conn net.Conn) {
			text := scripted.RequestText("1", "")
			io.WriteString(conn, text[:len(text)-1])
			time.Sleep(delay)
			io.WriteString(conn, text[len(text)-1:])
		}, 0},
		"in one piece with another": {delayed, func(conn net.Conn) {
			io.WriteString(conn, scripted.RequestText("1", "")+scripted.RequestText("2", ""))
		}, 1},
		"behind another that is open": {delayed, func(conn net.Conn) {
			io.WriteString(conn, scripted.RequestText("1", ""))
			io.WriteString(conn, scripted.RequestText("2", ""))
		}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			server := scripted.NewServer(t, tt.script)
			conn := dial(t, newRouter(t, server).addr)
			tt.send(conn)
			for range tt.before {
				scripted.Receive(t, server.Requests, "an attempt")
			}
			sent := scripted.Receive(t, server.Requests, "an attempt").Header.Get(protocol.HeaderTimeLeft)
			left, err := protocol.ParseDuration(sent)
			if err != nil || left > requested-delay || left < requested/2 {
				t.Errorf("the server was sent the time left %s, %v; want at most %v", sent, err, requested-delay)
			}
		})
	}
}
