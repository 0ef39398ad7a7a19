package program

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// configuredSockets is the descriptor limit in the configuration of the next admissionRouter.
var configuredSockets = 256

// admissionRouter is a router process with a status socket, whose admission state tests can read.
type admissionRouter struct {
	*process
	dir, path, binary string
	hosts             []*scripted.Model
}

// startWithAdmission starts a router process with the given settings. Its configuration limits it to
// 256 descriptors, and the system to limit descriptors. Without hosts, it gets two hosts that answer
// at once.
func startWithAdmission(t *testing.T, limit int, settings string, hosts ...*scripted.Model) *admissionRouter {
	t.Helper()
	h := &admissionRouter{dir: t.TempDir(), hosts: hosts}
	if len(hosts) == 0 {
		h.hosts = models(t, 2, scripted.ModelBehavior{Events: 2})
	}
	h.path = filepath.Join(h.dir, "settings.hcl")
	h.writeSettings(t, settings)
	h.binary = filepath.Join(h.dir, "limited")
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", limit, buildRouter(t))
	if err := os.WriteFile(h.binary, []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	sockets = configuredSockets
	defer func() { sockets = 1024 }()
	h.process = startRouter(t, h.binary, h.hosts, "--settings", h.path)
	return h
}

func (h *admissionRouter) writeSettings(t *testing.T, settings string) {
	write(t, h.path, fmt.Sprintf("status {\n folder = %q\n}\n", h.dir)+settings)
}

// restart starts a new router process at the same address.
func (h *admissionRouter) restart(t *testing.T) {
	t.Helper()
	sockets = configuredSockets
	defer func() { sockets = 1024 }()
	h.process = startRouterAt(t, h.addr, h.binary, h.hosts, "--settings", h.path)
}

func (h *admissionRouter) status() (s AdmissionStatus) {
	h.t.Helper()
	socket, err := transport.StatusSocket(h.dir, "")
	if err != nil {
		h.t.Fatal(err)
	}
	text, err := transport.AskStatus(socket, AdmissionTopic)
	if err != nil {
		h.t.Fatal(err)
	}
	if err := json.Unmarshal(text, &s); err != nil {
		h.t.Fatal(err)
	}
	return s
}

// awaitStatus polls the admission state until ok accepts it.
func (h *admissionRouter) awaitStatus(what string, ok func(*AdmissionStatus) bool) AdmissionStatus {
	h.t.Helper()
	for end := time.Now().Add(scripted.EventTimeout); ; time.Sleep(10 * time.Millisecond) {
		s := h.status()
		if ok(&s) {
			return s
		}
		if time.Now().After(end) {
			h.t.Fatalf("timeout waiting for %s; admission state: %+v", what, s)
		}
	}
}

// dial connects to the router and sends a text. The connection is closed at the end of the test.
func (h *admissionRouter) dial(text string) net.Conn {
	h.t.Helper()
	c, err := net.DialTimeout("tcp", h.addr, scripted.EventTimeout)
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(scripted.EventTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		h.t.Fatal(err)
	}
	return c
}

// read returns all data that is received on a connection until its end.
func read(t *testing.T, c net.Conn) string {
	t.Helper()
	text, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("connection not closed after %q: %v", text, err)
	}
	return string(text)
}

const admissionBlock = `
door {
  identity_header = "X-Client"
  identities = ["tool-1"]
}
`

// askRepeatedly sends requests as a known client, each on a new connection, and returns how many
// were served.
func askRepeatedly(p *process, name string, times int) (served int) {
	p.t.Helper()
	for i := range times {
		begun := time.Now()
		status, _ := askOnce(p.addr, fmt.Sprint(name, i), begun)
		if status == 200 {
			served++
		} else {
			p.t.Logf("request %s%d: status %d after %v", name, i, status, time.Since(begun))
		}
	}
	return served
}

// Known clients are served during floods that use up all connections. After the floods, no descriptor
// has leaked.
func TestKnownClientsGetThroughFloods(t *testing.T) {
	h := startWithAdmission(t, 256, admissionBlock)
	if n := askRepeatedly(h.process, "before", 5); n != 5 {
		t.Fatalf("%d of 5 served without a flood", n)
	}
	for _, f := range []struct {
		name     string
		clients  int
		behavior scripted.Misbehavior
		from     func(int) string
	}{
		{"silent", 300, scripted.SendNothing, oneAddress},
		{"asking", 150, scripted.SendRequests, oneAddress},
		{"asking from many addresses", 150, scripted.SendRequests, manyAddresses},
		{"silent from 2,000 addresses", 2000, scripted.SendNothing, manyAddresses},
		{"flapping", 50, scripted.CloseAtOnce, oneAddress},
		{"trickling", 100, scripted.TrickleRequest, manyAddresses},
	} {
		flood := scripted.NewFlood(h.addr, f.clients, f.behavior, f.from, time.Minute)
		served := askRepeatedly(h.process, f.name, 40)
		flood.Stop()
		if served < 39 { // the machine, which also runs the flood, may delay one request
			t.Errorf("%s: %d of 40 requests served; flood: %s", f.name, served, flood.Summary())
		}
	}
	s := h.awaitStatus("end of the floods", func(s *AdmissionStatus) bool {
		return s.Known+s.Unknown+s.Step == 0 && s.Descriptors.RuntimeUsed() == 0
	})
	// The descriptor table must match the open descriptors of the process. The table does not count
	// probes, the poller and the standard streams as used; they are in the share of the runtime.
	if s.Descriptors.Used() > s.Descriptors.Open || s.Descriptors.Open-s.Descriptors.Used() > 20 {
		t.Errorf("the descriptor table counts %d of %d open descriptors: %+v", s.Descriptors.Used(), s.Descriptors.Open, s.Descriptors)
	}
	if s.Descriptors.TotalLimit() > s.Descriptors.Limit || s.Promoted == 0 {
		t.Errorf("limits exceeded or no client promoted: %+v", s)
	}
}

// When every connection that unknown clients may use has an open request, the next request of an
// unknown client is read and refused at once, even if more requests follow on its connection. Known
// clients are still served.
func TestFullHouseAnswers(t *testing.T) {
	configuredSockets = 130 // few connections, so that the test ends before a stream has been silent for too long
	defer func() { configuredSockets = 256 }()
	for _, settings := range []string{"", admissionBlock + "\n"} {
		hold := make(chan bool)
		h := startWithAdmission(t, 256, strings.Replace(settings, "}", " patience {\n critical = \"2s\"\n }\n address {\n connections = 0\n open = 0\n per_second = 0\n }\n net {\n connections = 0\n open = 0\n per_second = 0\n }\n}", 1),
			scripted.NewModel(t, scripted.ModelBehavior{Gate: hold, Events: 2}))
		places := h.status().Slots - h.status().Reserve
		for i := range places {
			h.dial(scripted.RequestText(fmt.Sprint("q", i), ""))
		}
		h.awaitStatus("full house", func(s *AdmissionStatus) bool { return s.Open == places })
		for i := range 10 {
			// Three requests sent at once get a single answer, because the router closes the connection
			// after the first request and does not accept the others.
			text := scripted.RequestText(fmt.Sprint("x", i), "") + scripted.RequestText(fmt.Sprint("y", i), "") + scripted.RequestText(fmt.Sprint("z", i), "")
			got := read(t, h.dial(text))
			if strings.Count(got, "HTTP/1.1 ") != 1 || !strings.HasPrefix(got, "HTTP/1.1 503 ") || settings != "" && !strings.Contains(got, "Retry-After: ") {
				t.Errorf("request %d got %q", i, got)
			}
		}
		if s := h.status(); s.Refused["full house"] != 10 || s.Open != places {
			t.Errorf("want 10 requests refused and one open in each place: %+v", s)
		}
		if settings != "" {
			c := h.dial(scripted.RequestText("known", "X-Client: tool-1\r\n"))
			h.awaitStatus("known client", func(s *AdmissionStatus) bool { return s.Known == 1 && s.Open == places+1 })
			// A client that sends its request later counts as an overflow connection until then.
			late := h.dial("")
			h.awaitStatus("client on the step", func(s *AdmissionStatus) bool { return s.Step == 1 })
			io.WriteString(late, scripted.RequestText("late", "X-Client: tool-1\r\n"))
			h.awaitStatus("known client from the step", func(s *AdmissionStatus) bool { return s.Known == 2 && s.Step == 0 && s.Open == places+2 })
			c.Close()
		}
		close(hold)
		h.awaitStatus("end", func(s *AdmissionStatus) bool { return s.Open == 0 })
	}
}

// A reload can lower limits below the current use. Silent connections are closed, open requests are
// finished, and new requests are refused until the use is below the new limit.
func TestLoweredByReload(t *testing.T) {
	hold := make(chan bool)
	h := startWithAdmission(t, 256, admissionBlock, scripted.NewModel(t, scripted.ModelBehavior{Gate: hold, Events: 2}))
	var asked []net.Conn
	for i := range 12 {
		asked = append(asked, h.dial(scripted.RequestText(fmt.Sprint("q", i), "")))
	}
	h.awaitStatus("open requests", func(s *AdmissionStatus) bool { return s.Open == 12 })
	h.writeSettings(t, strings.Replace(admissionBlock, "}", " address {\n connections = 3\n per_second = 0\n }\n reserve = 0.9\n}", 1))
	h.cmd.Process.Signal(syscall.SIGHUP)
	h.awaitLog("reloaded")
	if got := read(t, h.dial(scripted.RequestText("more", ""))); !strings.HasPrefix(got, "HTTP/1.1 429 ") {
		t.Errorf("a request over the lowered limit got %q, want status 429", got)
	}
	close(hold)
	for i, c := range asked {
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || resp.StatusCode != 200 {
			t.Fatalf("open request %d got %v, %v; want status 200", i, resp, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Errorf("reading the answer to open request %d: %v", i, err)
		}
		c.Close()
	}
	h.awaitStatus("room", func(s *AdmissionStatus) bool { return s.Unknown < 3 })
	if got, _ := askOnce(h.addr, "after", time.Now()); got != 200 {
		t.Errorf("a request after all others were answered got status %d, want 200", got)
	}
}

// A router that is restarted during a flood finishes its open request and exits with status 0. The
// next process serves known clients although the flood is already running.
func TestRestartInAFlood(t *testing.T) {
	hold := make(chan bool)
	h := startWithAdmission(t, 256, admissionBlock, scripted.NewModel(t, scripted.ModelBehavior{Events: 2, Gate: hold}))
	open := h.dial(scripted.RequestText("open", "X-Client: tool-1\r\n"))
	h.awaitStatus("open request", func(s *AdmissionStatus) bool { return s.Known == 1 && s.Open == 1 })
	flood := scripted.NewFlood(h.addr, 100, scripted.SendRequests, manyAddresses, time.Minute)
	defer flood.Stop()
	h.awaitStatus("flood", func(s *AdmissionStatus) bool { return s.Admitted > 20 })
	h.cmd.Process.Signal(syscall.SIGTERM)
	close(hold)
	if got := read(t, open); !strings.HasPrefix(got, "HTTP/1.1 200 ") || !strings.HasSuffix(got, "0\r\n\r\n") {
		t.Errorf("the open request got %q, want a complete answer with status 200", got)
	}
	if err := h.cmd.Wait(); err != nil {
		t.Errorf("the router ended with %v", err)
	}
	h.restart(t)
	if n := askRepeatedly(h.process, "again", 20); n != 20 {
		t.Errorf("%d of 20 known requests served after the restart", n)
	}
}

// The router ends the request of a client that sends its body too slowly, and that of a client that
// does not read its answer. Each case has a time limit of its own in the block "door". Known clients
// have the limits of the front instead.
func TestSlowClients(t *testing.T) {
	h := startWithAdmission(t, 256, strings.Replace(admissionBlock, "}", ` sending {
  calm = "300ms"
 }
 reading {
  calm = "400ms"
 }
}`, 1), scripted.NewModel(t, scripted.ModelBehavior{Events: 100000}))
	unread := h.dial(scripted.RequestText("deaf", ""))
	h.awaitStatus("open request", func(s *AdmissionStatus) bool { return s.Open == 1 })
	slow := h.dial("POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\nContent-Length: 100\r\n\r\n")
	go func() {
		for i := 0; i < 100 && slow != nil; i++ {
			if _, err := io.WriteString(slow, " "); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	}()
	answer := make([]byte, 12)
	if _, err := io.ReadFull(slow, answer); err != nil || string(answer) != "HTTP/1.1 408" {
		t.Errorf("a trickled body got %q, %v", answer, err)
	}
	h.awaitStatus("end of the request whose answer is not read", func(s *AdmissionStatus) bool { return s.Open == 0 })
	if text, err := io.ReadAll(unread); err == nil && strings.HasSuffix(string(text), "0\r\n\r\n") {
		t.Error("an answer that its client did not read was completed")
	}
	if s := h.status(); s.Shut["too slow"] != 1 {
		t.Errorf("want 1 connection closed as too slow: %+v", s)
	}
}

// When the process has no descriptor left, the listener refuses clients one after another with its
// reserved descriptor, the router logs one line with the owners of descriptors, and service resumes
// by itself after the shortage.
func TestDescriptorsExhausted(t *testing.T) {
	h := startWithAdmission(t, 40, "")
	p := h.process
	var held []net.Conn
	for range 60 {
		c, err := net.DialTimeout("tcp", p.addr, scripted.EventTimeout)
		if err != nil {
			t.Fatal(err)
		}
		held = append(held, c)
	}
	p.awaitLog("descriptors exhausted")
	// The management address also has a reserved descriptor, so it still answers calls in time.
	for range 3 {
		begun := time.Now()
		if got := callManagement(t, p.management, "check"); got != "+OK\n" || time.Since(begun) > time.Second {
			t.Errorf("check without a descriptor: %q after %v", got, time.Since(begun))
		}
	}
	c := held[len(held)-1] // waits in the backlog and must get an answer or be closed
	c.SetDeadline(time.Now().Add(scripted.EventTimeout))
	io.WriteString(c, scripted.RequestText("late", ""))
	if text, _ := io.ReadAll(c); len(text) > 0 && !strings.Contains(string(text), "HTTP/1.1 503") {
		t.Errorf("the last client got %q, want status 503 or nothing", text)
	}
	for _, c := range held {
		c.Close()
	}
	for end := time.Now().Add(scripted.EventTimeout); askRepeatedly(p, fmt.Sprint("after", time.Now().UnixNano()), 1) == 0; {
		if time.Now().After(end) {
			t.Fatal("no request was served after the shortage of descriptors")
		}
	}
	if s := h.status(); s.Shorts == 0 {
		t.Errorf("no descriptor shortage counted: %+v", s)
	}
}
