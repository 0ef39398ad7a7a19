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

// served is a program with an management address, and all that a story about one day needs.
type testProgram struct {
	*Program
	t      *testing.T
	path   string // of the configuration
	text   string // in it
	lines  scripted.LogLines
	reload chan os.Signal
	term   context.CancelFunc
	exit   chan error
	d      *scripted.Discovery
}

// startServed starts a program whose discovery lists the entries; the configuration is that of
// configFile, with the changes given as old and new by turns.
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
			t.Error("the program does not end")
		}
	})
	go func() { s.exit <- s.Run(ctx, s.reload) }()
	return s
}

// write writes the configuration with some text replaced.
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

// until waits for a log line that begins so.
func (s *testProgram) awaitLog(begin string) {
	s.t.Helper()
	for !strings.HasPrefix(scripted.Receive(s.t, s.lines, begin), begin) {
	}
}

// addr is where clients connect, from the phase listing on.
func (s *testProgram) addr() string { return s.ln.Addr().String() }

// dial connects to the management address.
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

// figures waits until the figures named are as wanted.
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
	s.t.Errorf("figures (-want +got):\n%s", diff)
}

func (s *testProgram) ready() int {
	s.t.Helper()
	r, _ := http.NewRequest("GET", "http://"+s.addr()+"/-/ready", nil)
	status, _, _ := scripted.Do(s.t, r)
	return status
}

// Admission answers while callers that say nothing, half a line, or read nothing hold every place
// that it has.
func TestManagementUnderSilentCallers(t *testing.T) {
	s := startServed(t, nil)
	s.awaitLog("phase name=listing")
	if got := s.call("check"); got != "-ERR listing\n" {
		t.Errorf("without an entry: %q", got)
	}
	for line, want := range map[string]string{"drain-on": "+OK withheld\n", "drain-off": "+OK listing\n"} {
		s.call("drain-on")
		if got := s.call(line); got != want {
			t.Errorf("%s while listing: %q", line, got)
		}
	}
	s.call("drain-on")
	s.d.Send(t, scripted.List(2, true, scripted.ListEntry("s0", "127.0.0.1:1", "Ready")))
	s.awaitLog("phase name=draining")
	if got := s.call("drain-off"); got != "+OK serving\n" {
		t.Errorf("drain-off: %q", got)
	}
	s.awaitLog("phase name=serving")
	for i := range 3 * transport.MaxCallers {
		s.dial([]string{"", "che", "vars\nvars\n"}[i%3])
	}
	for line, want := range map[string]string{"check": "+OK\n", "vars": "+OK\nedge_router_fulfilled_total{priority=\"chat\"} 0\n",
		strings.Repeat("x", 300): "-ERR the line is too long\n"} {
		if got := s.call(line); !strings.HasPrefix(got, want) {
			t.Errorf("%.9s: got %q, want %q", line, got, want)
		}
	}
	c := s.dial("chec")
	c.(*net.TCPConn).CloseWrite()
	if got, _ := io.ReadAll(c); string(got) != "-ERR the line was cut off\n" {
		t.Errorf("half a line: got %q", got)
	}
}

// Every figure against what clients and servers saw: served, refused, failed, cut off, client gone,
// attempts, a server ejected, a list that grows and shrinks.
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
			t.Fatalf("got %d", got)
		}
	}
	if got := ask("odd", map[string]string{"X-Time-Left": "soon"}); got != 400 {
		t.Errorf("a bad header: got %d", got)
	}
	if got := ask("unlisted", map[string]string{"X-Service-Class": "none"}); got != 503 {
		t.Errorf("a class that nobody listed: got %d", got)
	}
	s.awaitMetrics(map[string]string{`fulfilled_total{priority="chat"}`: "3", `throttled_total{priority="chat"}`: "0",
		`faulted_total{priority="chat"}`: "1", "relayed_total": "3", "open_requests": "0", "registry_entries": "1", "out_of_rotation": "0"})

	// One that breaks after its first event, and one whose client leaves.
	well.Set(scripted.ModelBehavior{Events: 4, Breaks: true})
	if status, _, err := scripted.Do(t, scripted.NewRequest(t, s.addr(), "cut", nil)); status != 200 || err == nil {
		t.Errorf("a stream that breaks: got %d, %v", status, err)
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

	// What may have run and must not run again fails; what may, is tried elsewhere. Two failures
	// eject.
	s.d.Send(t, scripted.List(2, true, scripted.ListEntry("s1", bad.Addr, "Ready")))
	s.awaitMetrics(map[string]string{"registry_entries": "1"})
	for i := range 2 {
		if got := ask(fmt.Sprint("bad", i), map[string]string{"X-Service-Class": "un/safe"}); got != 502 {
			t.Errorf("an unsafe request to a bad server: got %d", got)
		}
	}
	s.awaitMetrics(map[string]string{`faulted_total{priority="un/safe"}`: "2", "relayed_total": "7", "out_of_rotation": "1"})
	s.d.Send(t, scripted.List(3, false, scripted.ListEntry("s2", well.Addr, "Ready"), scripted.ListEntry("s3", well.Addr, "Terminating")))
	s.awaitMetrics(map[string]string{"registry_entries": "3", "out_of_rotation": "2"})
	s.d.Send(t, scripted.List(4, false, scripted.ListEntry("s3", well.Addr, "Gone"), scripted.ListEntry("s1", bad.Addr, "Gone")))
	s.awaitMetrics(map[string]string{"registry_entries": "1", "out_of_rotation": "0"})
	bad.Set(scripted.ModelBehavior{Status: 500})
	if got := ask("refused", map[string]string{"X-Time-Left": "0m"}); got != 503 {
		t.Errorf("no time left: got %d", got)
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

// After the word to drain readiness says no at once, who connects or keeps a connection is served
// and sent away, silent connections end, a long stream finishes; after the second word all is as
// before. Each word may come twice.
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
		t.Errorf("before: %d, close %t", resp.StatusCode, resp.Close)
	}
	for range 2 {
		if got := s.call("drain-on"); got != "+OK draining\n" {
			t.Errorf("drain-on: %q", got)
		}
		if got := s.ready(); got != 503 {
			t.Errorf("draining: ready answers %d", got)
		}
	}
	if got := s.call("check"); got != "-ERR draining\n" {
		t.Errorf("check: %q", got)
	}
	if resp := get(); resp.StatusCode != 503 || !resp.Close {
		t.Errorf("a connection that was kept: %d, close %t", resp.StatusCode, resp.Close)
	}
	silent.SetReadDeadline(time.Now().Add(scripted.EventTimeout))
	if n, err := silent.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Errorf("a silent connection: %d, %v", n, err)
	}
	s.write()
	s.reload <- syscall.SIGHUP // changes nothing of it
	s.awaitLog("reloaded")
	if got := s.Phase(); got != Draining {
		t.Errorf("after a reload: %s", got)
	}
	scripted.Send(t, hold, true)
	if got := scripted.Receive(t, streams, "the stream's end"); got != "true <nil>" {
		t.Errorf("the long stream ended %s", got)
	}
	for range 2 {
		if got := s.call("drain-off"); got != "+OK serving\n" || s.ready() != 200 {
			t.Errorf("drain-off: %q", got)
		}
	}
	s.call("drain-on")
	s.term()
	s.awaitLog("phase name=leaving")
	if got := s.call("drain-off"); !strings.HasPrefix(got, "-ERR ") {
		t.Errorf("drain-off while leaving: %q", got)
	}
}

// A request that came before its silent connection was looked at is served, not closed on, however
// late it is read.
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
		// A close that was under way when the request was written is the client's to see, and
		// nothing was sent for it.
		if err == nil && resp.StatusCode != 200 || err != nil && host.Attempts(fmt.Sprint("q", i)) > 0 {
			t.Errorf("q%d: %v, %v", i, resp, err)
		}
		<-done
		c.Close()
	}
}
