package program

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// testProgram is a running program with a management address, and the means to control it.
type testProgram struct {
	*Program
	t      *testing.T
	path   string // of the configuration file
	text   string // the content of the configuration file as returned by configFile, with a management address
	lines  scripted.LogLines
	reload chan os.Signal
	term   context.CancelFunc // ends the program as SIGTERM does
	exit   chan error
	d      *scripted.Discovery
}

// startServed starts a program whose discovery lists the entries. Its configuration is that of
// configFile with changes, given as alternating old and new texts.
func startServed(t *testing.T, entries []string, changes ...string) *testProgram {
	t.Helper()
	s := &testProgram{t: t, lines: make(scripted.LogLines, 1000), reload: make(chan os.Signal, 10), exit: make(chan error, 1),
		d: scripted.NewDiscovery(t, scripted.List(1, true, entries...))}
	file := configFile(t, "127.0.0.1:1", s.d.Addr)
	s.path = file("ROUTER_CONFIG")
	text, err := os.ReadFile(s.path)
	if err != nil {
		t.Fatal(err)
	}
	s.text = strings.Replace(string(text), `"seed"`, `"management":"127.0.0.1:0","seed"`, 1)
	s.write(changes...)
	s.Program = New(load(t, file), file, "", s.lines)
	ctx, term := context.WithCancel(context.Background())
	s.term = term
	t.Cleanup(func() {
		term()
		select {
		case <-s.exit:
		case <-time.After(scripted.EventTimeout):
			t.Error("the program has not ended in time")
		}
	})
	go func() { s.exit <- s.Run(ctx, s.reload) }()
	return s
}

// write writes the configuration file, with changes given as alternating old and new texts.
func (s *testProgram) write(changes ...string) {
	s.t.Helper()
	text := s.text
	for i := 0; i < len(changes); i += 2 {
		if !strings.Contains(text, changes[i]) {
			s.t.Fatalf("the configuration has no %q", changes[i])
		}
		text = strings.Replace(text, changes[i], changes[i+1], 1)
	}
	write(s.t, s.path, text)
}

// awaitLog waits for a log line that begins with the given text.
func (s *testProgram) awaitLog(begin string) {
	s.t.Helper()
	for !strings.HasPrefix(scripted.Receive(s.t, s.lines, begin), begin) {
	}
}

// addr returns the address for clients. The program must have reached the phase listing.
func (s *testProgram) addr() string { return s.ln.Addr().String() }

// dial connects to the management address and sends a text.
func (s *testProgram) dial(text string) net.Conn {
	s.t.Helper()
	c, err := net.DialTimeout("tcp", s.management.Addr().String(), scripted.EventTimeout)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(scripted.EventTimeout))
	io.WriteString(c, text)
	return c
}

// call makes one call and returns the whole answer.
func (s *testProgram) call(line string) string {
	s.t.Helper()
	return callManagement(s.t, s.management.Addr().String(), line)
}

// awaitMetrics waits until the named metrics have the wanted values.
func (s *testProgram) awaitMetrics(want map[string]string) {
	s.t.Helper()
	var diff string
	for end := time.Now().Add(scripted.EventTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		got := map[string]string{}
		for line := range strings.Lines(s.call("vars")) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
			if name, ok := strings.CutPrefix(name, "edge_router_"); ok && want[name] != "" {
				got[name] = value
			}
		}
		if diff = cmp.Diff(want, got); diff == "" {
			return
		}
	}
	s.t.Errorf("metrics (-want +got):\n%s", diff)
}

// ready returns the status with which /-/ready answers.
func (s *testProgram) ready() int {
	s.t.Helper()
	r, _ := http.NewRequest("GET", "http://"+s.addr()+"/-/ready", nil)
	status, _, _ := scripted.Do(s.t, r)
	return status
}

// The management address answers calls while other callers hold all its connections. These callers
// send nothing or half a line, or do not read the answer.
func TestManagementUnderSilentCallers(t *testing.T) {
	s := startServed(t, nil)
	s.awaitLog("phase name=listing")
	if got := s.call("check"); got != "-ERR listing\n" {
		t.Errorf("check without a listed server: got %q", got)
	}
	for line, want := range map[string]string{"drain-on": "+OK withheld\n", "drain-off": "+OK listing\n"} {
		s.call("drain-on")
		if got := s.call(line); got != want {
			t.Errorf("%s while listing: got %q", line, got)
		}
	}
	s.call("drain-on")
	s.d.Send(t, scripted.List(2, true, scripted.ListEntry("s0", "127.0.0.1:1", "Ready")))
	s.awaitLog("phase name=draining")
	if got := s.call("drain-off"); got != "+OK serving\n" {
		t.Errorf("drain-off: got %q", got)
	}
	s.awaitLog("phase name=serving")
	for i := range 3 * transport.MaxCallers {
		s.dial([]string{"", "che", "vars\nvars\n"}[i%3])
	}
	for line, want := range map[string]string{"check": "+OK\n", "vars": "+OK\nedge_router_fulfilled_total{priority=\"chat\"} 0\n",
		strings.Repeat("x", 300): "-ERR the line is too long\n"} {
		if got := s.call(line); !strings.HasPrefix(got, want) {
			t.Errorf("call %.9s: got %q, want %q", line, got, want)
		}
	}
	c := s.dial("chec")
	c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); string(got) != "-ERR the line was cut off\n" {
		t.Errorf("call with half a line: got %q", got)
	}
}

// The metrics agree with what clients and servers observe: served, refused, failed and interrupted
// requests, a client that disconnects, attempts, an ejected server, and a list that grows and
// shrinks.
func TestFiguresAreTrue(t *testing.T) {
	hold := make(chan bool)
	well, bad := scripted.NewModel(t, scripted.ModelBehavior{Events: 2}), scripted.NewModel(t, scripted.ModelBehavior{Status: 500})
	s := startServed(t, []string{scripted.ListEntry("s0", well.Addr, "Ready")}, `"services":[`, `"services":[{"name":"un/safe","effect":"unsafe","streaming":true,"aimNs":8000000000,"hardLimitNs":8000000000},`)
	s.awaitLog("phase name=serving")
	ask := func(id string, set map[string]string) int {
		status, _, _ := scripted.Do(t, scripted.NewRequest(t, s.addr(), id, set))
		return status
	}
	for i := range 3 {
		if got := ask(fmt.Sprint("well", i), nil); got != 200 {
			t.Fatalf("a request to a healthy server: got status %d, want 200", got)
		}
	}
	if got := ask("odd", map[string]string{"X-Time-Left": "soon"}); got != 400 {
		t.Errorf("a request with an invalid header: got status %d, want 400", got)
	}
	if got := ask("unlisted", map[string]string{"X-Service-Class": "none"}); got != 503 {
		t.Errorf("a request of an unknown class: got status %d, want 503", got)
	}
	s.awaitMetrics(map[string]string{`fulfilled_total{priority="chat"}`: "3", `throttled_total{priority="chat"}`: "0",
		`faulted_total{priority="chat"}`: "1", "relayed_total": "3", "open_requests": "0", "registry_entries": "1", "out_of_rotation": "0"})

	// One stream breaks after its first event, and the client of another disconnects.
	well.Set(scripted.ModelBehavior{Events: 4, Breaks: true})
	if status, _, err := scripted.Do(t, scripted.NewRequest(t, s.addr(), "cut", nil)); status != 200 || err == nil {
		t.Errorf("a stream that breaks: got status %d, %v; want 200 and an error", status, err)
	}
	well.Set(scripted.ModelBehavior{Events: 2, Gate: hold})
	ctx, leave := context.WithCancel(context.Background())
	resp, err := http.DefaultClient.Do(scripted.NewRequest(t, s.addr(), "left", nil).WithContext(ctx))
	if err != nil {
		t.Fatal(err)
	}
	s.awaitMetrics(map[string]string{"open_requests": "1", "relayed_total": "5"})
	leave()
	resp.Body.Close()
	s.awaitMetrics(map[string]string{`fulfilled_total{priority="chat"}`: "3", `faulted_total{priority="chat"}`: "2", "open_requests": "0"})

	// An unsafe request that a server may have run is not retried and fails. Two failures eject the
	// server.
	s.d.Send(t, scripted.List(2, true, scripted.ListEntry("s1", bad.Addr, "Ready")))
	s.awaitMetrics(map[string]string{"registry_entries": "1"})
	for i := range 2 {
		if got := ask(fmt.Sprint("bad", i), map[string]string{"X-Service-Class": "un/safe"}); got != 502 {
			t.Errorf("an unsafe request to a failing server: got status %d, want 502", got)
		}
	}
	s.awaitMetrics(map[string]string{`faulted_total{priority="un/safe"}`: "2", "relayed_total": "7", "out_of_rotation": "1"})
	s.d.Send(t, scripted.List(3, false, scripted.ListEntry("s2", well.Addr, "Ready"), scripted.ListEntry("s3", well.Addr, "Terminating")))
	s.awaitMetrics(map[string]string{"registry_entries": "3", "out_of_rotation": "2"})
	s.d.Send(t, scripted.List(4, false, scripted.ListEntry("s3", well.Addr, "Gone"), scripted.ListEntry("s1", bad.Addr, "Gone")))
	s.awaitMetrics(map[string]string{"registry_entries": "1", "out_of_rotation": "0"})
	bad.Set(scripted.ModelBehavior{Status: 500})
	if got := ask("refused", map[string]string{"X-Time-Left": "0m"}); got != 503 {
		t.Errorf("a request without time left: got status %d, want 503", got)
	}
	s.awaitMetrics(map[string]string{`throttled_total{priority="chat"}`: "1", "cfg_invalid_total": "0"})
	write(t, s.path, "{")
	s.reload <- syscall.SIGHUP
	s.awaitLog("configuration reload refused")
	s.write()
	s.reload <- syscall.SIGHUP
	s.awaitLog("reloaded")
	s.awaitMetrics(map[string]string{"cfg_accepted_total": "1", "cfg_invalid_total": "1"})
}

// After the call drain-on, the router is not ready, still answers requests and then closes their
// connections, closes silent connections, and finishes a long stream. The call drain-off undoes
// this. Each call may be repeated.
func TestDrain(t *testing.T) {
	hold := make(chan bool)
	long := scripted.NewModel(t, scripted.ModelBehavior{Events: 2, Gate: hold})
	s := startServed(t, []string{scripted.ListEntry("s0", long.Addr, "Ready")})
	s.awaitLog("phase name=serving")
	streams := make(chan string, 1)
	go func() {
		_, body, err := scripted.Do(t, scripted.NewRequest(t, s.addr(), "long", nil))
		streams <- fmt.Sprint(strings.Contains(body, "[DONE]"), err)
	}()
	scripted.Receive(t, long.Started, "the long stream")
	silent, err := net.Dial("tcp", s.addr())
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	keeps, err := net.Dial("tcp", s.addr())
	if err != nil {
		t.Fatal(err)
	}
	defer keeps.Close()
	in := bufio.NewReader(keeps)
	get := func() *http.Response {
		t.Helper()
		io.WriteString(keeps, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		return resp
	}
	if resp := get(); resp.StatusCode != 200 || resp.Close {
		t.Errorf("before the drain: got status %d, close %t; want 200 without close", resp.StatusCode, resp.Close)
	}
	for range 2 {
		if got := s.call("drain-on"); got != "+OK draining\n" {
			t.Errorf("drain-on: got %q", got)
		}
		if got := s.ready(); got != 503 {
			t.Errorf("while draining, /-/ready answers %d, want 503", got)
		}
	}
	if got := s.call("check"); got != "-ERR draining\n" {
		t.Errorf("check while draining: got %q", got)
	}
	if resp := get(); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("on a connection from before the drain: got status %d, close %t; want 503 with close", resp.StatusCode, resp.Close)
	}
	silent.SetReadDeadline(time.Now().Add(scripted.EventTimeout))
	if n, err := silent.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("reading from a silent connection: got %d bytes, %v; want its end", n, err)
	}
	s.write()
	s.reload <- syscall.SIGHUP // a reload does not affect the drain
	s.awaitLog("reloaded")
	if got := s.Phase(); got != Draining {
		t.Errorf("phase after a reload is %s, want draining", got)
	}
	scripted.Send(t, hold, true)
	if got := scripted.Receive(t, streams, "the stream's end"); got != "true <nil>" {
		t.Errorf("the long stream ended with %s, want a complete answer", got)
	}
	for range 2 {
		if got := s.call("drain-off"); got != "+OK serving\n" || s.ready() != 200 {
			t.Errorf("drain-off: got %q", got)
		}
	}
	s.call("drain-on")
	s.term()
	s.awaitLog("phase name=leaving")
	if got := s.call("drain-off"); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("drain-off while leaving: got %q, want an error", got)
	}
}

// The router serves a request that arrives before the check of its idle connection, even if it reads
// the request late. It does not close the connection.
func TestNoCloseCrossesARequest(t *testing.T) {
	host := scripted.NewModel(t, scripted.ModelBehavior{Events: 2})
	s := startServed(t, []string{scripted.ListEntry("s0", host.Addr, "Ready")})
	s.awaitLog("phase name=serving")
	for i := range 30 {
		c, err := net.Dial("tcp", s.addr())
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan bool)
		go func() { defer close(done); s.front.CloseIdle(0) }()
		fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nX-Correlation-Id: q%d\r\nX-Service-Class: chat\r\nX-Time-Left: 8000m\r\nContent-Length: 2\r\n\r\n{}", i)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		// If the router closes the connection just before the client writes the request, the client
		// gets an error. In that case the router must not have sent an attempt to a server.
		if err == nil && resp.StatusCode != 200 || err != nil && host.Attempts(fmt.Sprint("q", i)) > 0 {
			t.Errorf("request q%d: got %v, %v; want status 200 or an error without an attempt", i, resp, err)
		}
		<-done
		c.Close()
	}
}
