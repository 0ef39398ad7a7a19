package transport_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/balance"
	"reachspread/internal/admission"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// router is a front end with a routing core and connections to the servers s0, s1 and so on.
type router struct {
	addr    string
	core    *routing.Router
	servers *transport.Servers
	front   *transport.Front
}

func newRouter(t *testing.T, servers ...*scripted.Server) *router {
	t.Helper()
	return newLoggingRouter(t, make(scripted.LogLines, 100), servers...)
}

func newLoggingRouter(t *testing.T, log routing.Logger, servers ...*scripted.Server) *router {
	t.Helper()
	b, err := balance.New(balance.Config{Zone: "a", MaxAttempts: 3, MaxRetryAfter: time.Second, StepInterval: time.Millisecond,
		Classes: []balance.Class{{Name: "chat", LatencyTarget: 8 * time.Second, Deadline: 8 * time.Second, Streamed: true}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	network := transport.NewServers(transport.ServerLimits{ConnectTimeout: time.Second, Keepalive: time.Minute,
		Connections: 10, StreamIdleTimeout: 300 * time.Millisecond}, log)
	r := &router{core: routing.New(b, network, log, time.Second), servers: network}
	r.front = transport.NewFront(r.core, transport.FrontLimits{Admission: admission.Config{MaxConnections: 100, MaxOverflow: 8}, BodyBytes: 1 << 20}, nil)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.addr = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { stop(); ln.Close() })
	go r.core.Run(ctx)
	go r.front.Serve(ln, false)
	var entries []string
	for i, s := range servers {
		entries = append(entries, scripted.ListEntry(fmt.Sprint("s", i), s.Addr, "Ready"))
	}
	r.applyList(t, scripted.List(1, true, entries...))
	return r
}

func (r *router) applyList(t *testing.T, text string) {
	t.Helper()
	l, err := protocol.ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	r.core.ApplyUpdate(l.Members(), l.Addrs())
}

func TestBytesAreForwardedUnchangedAsTheyCome(t *testing.T) {
	more := make(chan bool)
	s := scripted.NewServer(t, scripted.GatedAnswer(more))
	r := newRouter(t, s)
	for i := range 2 { // the second request uses the same connections
		resp, err := http.DefaultClient.Do(scripted.NewRequest(t, r.addr, fmt.Sprint("id-Ab", i), nil))
		if err != nil {
			t.Fatal(err)
		}
		first := make([]byte, len(scripted.Event))
		if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != scripted.Event {
			t.Fatalf("before the second event was sent: got %q, %v; want the first event", first, err)
		}
		more <- true
		rest, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if diff := cmp.Diff(scripted.Done, string(rest)); diff != "" || err != nil {
			t.Errorf("request %d: error %v, rest of the answer (-want +got): %s", i, err, diff)
		}
		got := scripted.Receive(t, s.Requests, "an attempt")
		left, err := protocol.ParseDuration(got.Header.Get("X-Time-Left"))
		if err != nil || left <= 0 || left > 8*time.Second {
			t.Errorf("X-Time-Left is %q, %v; want more than 0 and at most 8 s", got.Header.Get("X-Time-Left"), err)
		}
		got.Header = http.Header{"X-Correlation-Id": got.Header["X-Correlation-Id"]}
		want := scripted.Request{Method: "POST", URI: "/v1/chat/completions?a=%20b", Body: `{"stream": true}`,
			Header: http.Header{"X-Correlation-Id": {fmt.Sprint("id-Ab", i)}}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	if n := s.Conns.Load(); n != 1 {
		t.Errorf("the server accepted %d connections, want 1", n)
	}
}

// Each way in which an attempt may end leads to exactly one answer and never to two attempts at the
// same time.
func TestFailedAttempts(t *testing.T) {
	torn := scripted.Head + scripted.Chunk(scripted.Event)
	for _, tt := range []struct {
		name   string
		script func(net.Conn) bool // of both servers
		status int
		sent   int
		torn   bool
	}{
		{"reset before an answer", scripted.Drop, 503, 2, false},
		{"error", scripted.Answer(scripted.ServerError), 503, 2, false},
		{"rejected", scripted.Answer(scripted.Rejection), 503, 2, false},
		{"status without a body", scripted.Answer("HTTP/1.1 204 No Content\r\n\r\n"), 503, 2, false},
		{"not HTTP", scripted.Answer("\x01\x02noise\r\n\r\n"), 503, 2, false},
		{"head without a status", scripted.Answer(strings.Replace(scripted.CompleteAnswer(), "200 OK", "OK 200", 1)), 503, 2, false},
		{"head that stops", scripted.Answer("HTTP/1.1 200 OK\r\nX-Pa"), 503, 2, false},
		{"head without end", scripted.Answer("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Pad: y\r\n", 1000)), 503, 2, false},
		{"interim answers without end", scripted.Answer(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)), 503, 2, false},
		{"malformed before its first event", scripted.Answer(scripted.Head + "z\r\nabcde\r\n" + scripted.End), 503, 2, false},
		{"malformed in its first event", scripted.Answer(scripted.Head + "4\r\n" + scripted.Event + "\r\n" + scripted.End), 503, 2, false},
		{"no event at all", scripted.Answer(scripted.Head + scripted.End), 503, 2, false},
		{"malformed later", scripted.Answer(torn + "z\r\nabcde\r\n" + scripted.End), 200, 1, true},
		{"a chunk that contains the next one", scripted.Answer(torn + "80\r\n" + scripted.Event + "\r\n" + scripted.Chunk(scripted.Event)), 200, 1, true},
		{"a chunk of gigabytes", scripted.Answer(torn + "c0000000\r\n" + strings.Repeat("x", 1<<12)), 200, 1, true},
		{"a stream without end", scripted.Answer(torn + strings.Repeat(scripted.Chunk(scripted.Event), 2*transport.MaxBody/len(scripted.Event))), 200, 1, true},
		{"broken stream", func(c net.Conn) bool { io.WriteString(c, torn); return false }, 200, 1, true},
		{"stream reset in a chunk", func(c net.Conn) bool { io.WriteString(c, torn+"20\r\nhalf"); return false }, 200, 1, true},
		{"silent stream", scripted.Answer(torn), 200, 1, true},
		{"no framing that marks the end", func(c net.Conn) bool {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+scripted.Event)
			return false
		}, 200, 1, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a, b := scripted.NewServer(t, tt.script), scripted.NewServer(t, tt.script)
			status, _, err := scripted.Do(t, scripted.NewRequest(t, newRouter(t, a, b).addr, "q", nil))
			if status != tt.status || (err != nil) != tt.torn {
				t.Errorf("got %d, %v; want %d, torn %v", status, err, tt.status, tt.torn)
			}
			if n := len(a.Requests) + len(b.Requests); n != tt.sent {
				t.Errorf("the servers got %d attempts, want %d", n, tt.sent)
			}
		})
	}
}

// Bytes that a server sends beyond its answer affect neither this client nor the next one on the
// connection.
func TestSurplusBytesAfterAnAnswer(t *testing.T) {
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	for name, script := range map[string]func(net.Conn) bool{
		"interim answers first":   scripted.Answer(strings.Repeat(interim, 3) + scripted.CompleteAnswer()),
		"a second answer at once": scripted.Answer(scripted.CompleteAnswer() + scripted.ServerError),
	} {
		r := newRouter(t, scripted.NewServer(t, script))
		for i := range 3 {
			if status, body, err := scripted.Do(t, scripted.NewRequest(t, r.addr, fmt.Sprint(i), nil)); status != 200 || err != nil || body != scripted.Event+scripted.Done {
				t.Errorf("%s: request %d got %d %q, %v; want its own answer", name, i, status, body, err)
			}
		}
	}
}

// If a connection was refused, or closed while idle, no server has executed the request, so the
// request is retried elsewhere.
func TestRetryAfterARefusedOrClosedConnection(t *testing.T) {
	closed := make(chan bool, 1)
	s := scripted.NewServer(t, func(c net.Conn) bool {
		io.WriteString(c, scripted.CompleteAnswer())
		c.Close()
		closed <- true
		return false
	})
	r := newRouter(t, s)
	for i := range 2 { // the platform guarantees that request IDs are unique
		if status, body, err := scripted.Do(t, scripted.NewRequest(t, r.addr, fmt.Sprint("q", i), nil)); status != 200 || err != nil {
			t.Errorf("got %d %q, %v; want it served", status, body, err)
		}
		scripted.Receive(t, closed, "the server's close")
	}
	down := scripted.NewServer(t, nil)
	down.Stop()
	if status, body, err := scripted.Do(t, scripted.NewRequest(t, newRouter(t, down, s).addr, "q", nil)); status != 200 || err != nil {
		t.Errorf("with one server down: got %d %q, %v; want it served", status, body, err)
	}
}

// At the deadline, the client gets a rejection with a Retry-After header, and the attempt that got
// no answer is cancelled.
func TestDeadlineIsAnsweredInTime(t *testing.T) {
	closed := make(chan bool, 1)
	s := scripted.NewServer(t, func(c net.Conn) bool {
		io.Copy(io.Discard, c)
		closed <- true
		return false
	})
	resp, err := http.DefaultClient.Do(scripted.NewRequest(t, newRouter(t, s).addr, "q", map[string]string{"X-Time-Left": "200m"}))
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %d, Retry-After %q; want 503 with a Retry-After", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	scripted.Receive(t, closed, "the attempt's connection closed")
}

// When a client disconnects, its server is freed at once, whether the answer has begun or not.
func TestClientLeaves(t *testing.T) {
	for name, answerStart := range map[string]string{"before an answer": "", "in a stream": scripted.Head + scripted.Chunk(scripted.Event)} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan bool, 1)
			s := scripted.NewServer(t, func(c net.Conn) bool {
				io.WriteString(c, answerStart)
				io.Copy(io.Discard, c)
				closed <- true
				return false
			})
			r := newRouter(t, s)
			c, err := net.Dial("tcp", r.addr)
			if err != nil {
				t.Fatal(err)
			}
			scripted.NewRequest(t, r.addr, "q", nil).Write(c)
			scripted.Receive(t, s.Requests, "an attempt")
			c.Close()
			scripted.Receive(t, closed, "the attempt's connection closed")
		})
	}
}

func TestRequestsRejectedBeforeTheDecisions(t *testing.T) {
	s := scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer()))
	r := newRouter(t, s)
	tooLong := strings.Repeat("x", transport.MaxBody+1)
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
	validHead := head + "X-Correlation-Id: q\r\nX-Service-Class: chat\r\nX-Time-Left: 900m\r\n"
	for _, tt := range []struct {
		name, text string
		status     int
	}{
		{"no ID", head + "Content-Length: 2\r\n\r\n{}", 400},
		{"no HTTP", "hello\r\n\r\n", 400},
		{"malformed length", head + "Content-Length: x\r\n\r\n", 400},
		{"length and chunked framing", validHead + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n" + scripted.End, 400},
		{"length and identity framing", validHead + "Transfer-Encoding: identity\r\ncontent-length: 2\r\n\r\n{}", 400},
		{"two lengths", validHead + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}", 400},
		{"signed length", validHead + "Content-Length: +2\r\n\r\n{}", 400},
		{"negative length", validHead + "Content-Length: -2\r\n\r\n{}", 400},
		{"folded header", validHead + "X: y\r\n Content-Length: 2\r\n\r\n{}", 400},
		{"head without end", validHead + strings.Repeat("X-More: y\r\n", 2000), 400},
		{"bad chunk size", validHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		{"too long", head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(tooLong), tooLong), 413},
		{"too long in chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + scripted.Chunk(tooLong) + scripted.End, 413},
		{"unknown path", "GET /v1/models HTTP/1.1\r\nHost: r\r\n\r\n", 404},
		{"path that is known only after normalization", strings.Replace(head, "/v1/", "/v1//", 1) + "Content-Length: 2\r\n\r\n{}", 404},
		{"wrong method", "GET /v1/chat/completions HTTP/1.1\r\nHost: r\r\n\r\n", 405},
		{"not ready", "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n", 503},
		{"unknown class, which package balance rejects", head + "X-Correlation-Id: q\r\nX-Service-Class: odd\r\n" +
			"X-Time-Left: 900m\r\nContent-Length: 2\r\n\r\n{}", 503},
	} {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		go io.WriteString(c, tt.text)
		c.SetReadDeadline(time.Now().Add(scripted.EventTimeout))
		var got bytes.Buffer
		buf := make([]byte, 4096)
		for !strings.HasSuffix(got.String(), "\n") || !strings.Contains(got.String(), "\r\n\r\n") {
			n, err := c.Read(buf)
			got.Write(buf[:n])
			if err != nil {
				t.Errorf("%s: %v after %q", tt.name, err, got.String())
				break
			}
		}
		c.Close()
		if !strings.HasPrefix(got.String(), fmt.Sprintf("HTTP/1.1 %d ", tt.status)) {
			t.Errorf("%s: got %q, want %d", tt.name, got.String(), tt.status)
		}
		_, line, _ := strings.Cut(got.String(), "\r\n\r\n")
		if strings.Count(line, "\n") != 1 {
			t.Errorf("%s: the answer is %q, want one line", tt.name, line)
		}
	}
	if n := len(s.Requests); n != 0 {
		t.Errorf("%d requests reached the server, want none", n)
	}
}

// If a client closes the connection before the last byte of its request, the router must not
// forward the incomplete request, however long it is.
func TestIncompleteRequestIsNotForwarded(t *testing.T) {
	s := scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer()))
	r := newRouter(t, s)
	for name, body := range map[string]string{
		"a length, little sent": "Content-Length: 100000\r\n\r\n{",
		"a length, much sent":   "Content-Length: 100000\r\n\r\n" + strings.Repeat(" ", 50000),
		"chunks":                "Transfer-Encoding: chunked\r\n\r\n" + scripted.Chunk(strings.Repeat(" ", 50000)),
		"in a chunk":            "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat(" ", 50000),
	} {
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Correlation-Id: q\r\nX-Service-Class: chat\r\n"+
			"X-Time-Left: 900m\r\n"+body)
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(scripted.EventTimeout))
		got, err := io.ReadAll(c)
		c.Close()
		if err != nil || !strings.HasPrefix(string(got), "HTTP/1.1 400 ") || len(s.Requests) > 0 {
			t.Errorf("%s: got %.20q, %v and %d attempts; want 400 and none", name, got, err, len(s.Requests))
		}
	}
}

// The platform guarantees that request IDs are unique. A request with the ID of an open request
// gets an error, and the open request is not affected.
func TestTwoRequestsOfOneID(t *testing.T) {
	more := make(chan bool)
	s := scripted.NewServer(t, scripted.GatedAnswer(more))
	r := newRouter(t, s)
	end := make(chan string, 1)
	go func() {
		status, body, err := scripted.Do(t, scripted.NewRequest(t, r.addr, "same", nil))
		end <- fmt.Sprint(status, body, err)
	}()
	scripted.Receive(t, s.Requests, "an attempt")
	if status, body, err := scripted.Do(t, scripted.NewRequest(t, r.addr, "same", nil)); status != 409 || err != nil {
		t.Errorf("the second request: got %d %q, %v; want 409", status, body, err)
	}
	more <- true
	if got := scripted.Receive(t, end, "an answer"); got != fmt.Sprint(200, scripted.Event+scripted.Done, nil) || len(s.Requests) > 0 {
		t.Errorf("the first request: got %s and %d more attempts; want the complete answer", got, len(s.Requests))
	}
}

// A request that a server declares invalid is answered with an error at once. If it were retried
// elsewhere and counted against each server, one client's bad requests could eject the whole fleet.
func TestInvalidRequestEjectsNoServer(t *testing.T) {
	s := scripted.NewServer(t, scripted.Answer("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"))
	lines := make(scripted.LogLines, 10)
	r := newLoggingRouter(t, lines, s)
	for i := range 4 {
		if status, body, err := scripted.Do(t, scripted.NewRequest(t, r.addr, fmt.Sprint("q", i), nil)); status != 400 || err != nil {
			t.Errorf("got %d %q, %v; want 400", status, body, err)
		}
		if n := len(s.Requests); n != i+1 || len(lines) > 0 {
			t.Errorf("%d attempts for %d requests, %d log lines; want one attempt each and no log line", n, i+1, len(lines))
		}
	}
}

// An unreadable load report does not affect its stream and causes one log line for the on-call
// operator.
func TestMalformedLoadReport(t *testing.T) {
	malformed := "data: [DONE]\n\n: X-Backend-Load: {\n\n"
	s := scripted.NewServer(t, scripted.Answer(scripted.Head+scripted.Chunk(malformed)+scripted.End))
	lines := make(scripted.LogLines, 10)
	r := newLoggingRouter(t, lines, s)
	for i := range 2 { // the platform guarantees that request IDs are unique
		if status, body, err := scripted.Do(t, scripted.NewRequest(t, r.addr, fmt.Sprint("q", i), nil)); status != 200 || body != malformed || err != nil {
			t.Errorf("got %d %q, %v; want it unchanged", status, body, err)
		}
	}
	if got := scripted.Receive(t, lines, "a log line"); !strings.HasPrefix(got, "load report unreadable server=s0 cause=") || len(lines) > 0 {
		t.Errorf("got the log line %q and %d more, want only one about s0", got, len(lines))
	}
}

// A server that is draining or gone gets no new requests once discovery has reported its state.
func TestDrainingServersGetNothingNew(t *testing.T) {
	a, b := scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer())), scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer()))
	r := newRouter(t, a, b)
	r.applyList(t, scripted.List(2, false, scripted.ListEntry("s0", a.Addr, "Terminating")))
	for i := range 20 {
		scripted.Do(t, scripted.NewRequest(t, r.addr, fmt.Sprint("q", i), map[string]string{"X-Session-Key": fmt.Sprint(i)}))
	}
	if len(a.Requests) != 0 || len(b.Requests) != 20 {
		t.Errorf("%d requests sent to the draining server, %d to the other; want 0 and 20", len(a.Requests), len(b.Requests))
	}
}

// The watch continues from the version of the last list. It survives a malformed list and a lost
// connection, and logs each once.
func TestDiscoveryWatch(t *testing.T) {
	d := scripted.NewDiscovery(t, scripted.List(41, true, scripted.ListEntry("s0", "127.0.0.1:1", "Ready")))
	lines, lists := make(chan string, 10), make(chan *protocol.List, 10)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	watch := transport.NewDiscovery(d.Addr, transport.PushSchedule, transport.FullList, scripted.LogLines(lines), func(l *protocol.List) { lists <- l })
	go watch.Run(ctx)
	expect := func(version int64, uris ...string) {
		t.Helper()
		if l := scripted.Receive(t, lists, "a list"); l.Version != version {
			t.Errorf("got version %d, want %d", l.Version, version)
		}
		for _, uri := range uris {
			if got := scripted.Receive(t, d.Calls, "a call"); got != uri {
				t.Errorf("discovery was called with %s, want %s", got, uri)
			}
		}
	}
	expect(41, "/api/targets", "/api/targets?index=41&wait=5000")
	d.Send(t, scripted.List(42, false, scripted.ListEntry("s0", "127.0.0.1:1", "Gone")))
	expect(42, "/api/targets?index=42&wait=5000")
	d.Send(t, `{"version":43,"servers":[{"id":"s0","state":"Odd"}]}`)
	expect(41, "/api/targets", "/api/targets?index=41&wait=5000")
	for _, want := range []string{"discovery lost cause=servers[0].state", "discovery reachable again version=41"} {
		if got := scripted.Receive(t, lines, "a log line"); !strings.HasPrefix(got, want) {
			t.Errorf("got the log line %q, want %q", got, want)
		}
	}
}

// Guards against a request that is considered older than it is because the previous request on its
// connection was answered by the router itself. It was rejected, because its time seemed to be over
// before it arrived.
func TestRequestAfterHealthCheckHasItsOwnTime(t *testing.T) {
	const timeLeft = 300 * time.Millisecond
	r := newRouter(t)
	s := scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer()))
	r.applyList(t, scripted.List(1, true, scripted.ListEntry("s0", s.Addr, "Ready")))
	client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: scripted.EventTimeout}
	defer client.CloseIdleConnections()
	check, err := client.Get("http://" + r.addr + "/-/ready")
	if err != nil {
		t.Fatal(err)
	}
	io.Copy(io.Discard, check.Body)
	check.Body.Close()
	time.Sleep(2 * timeLeft)
	resp, err := client.Do(scripted.NewRequest(t, r.addr, "q", map[string]string{"X-Time-Left": fmt.Sprintf("%dm", timeLeft.Milliseconds())}))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want 200", resp.StatusCode)
	}
}
