package program

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"reachspread/internal/router/mirror"
	"reachspread/internal/router/records"
	"reachspread/internal/router/report"
	"reachspread/internal/router/shadow"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// shadowProgram is a running program with one live host and one shadow pool named next.
type shadowProgram struct {
	t       *testing.T
	p       *Program
	live    *scripted.Model
	lines   scripted.LogLines
	dir     string // the folder of the records, the status socket and the settings
	reload  chan os.Signal
	sigterm func()
	exit    chan error
	addr    string
	client  *http.Client
}

// defaultSettings has a shadow pool that gets a copy of every request. Its pressure thresholds are so
// high that even a busy test machine does not reach them.
const defaultSettings = `
status { folder = "DIR" }
shadow {
  tenant_header = "X-Tenant"
  records {
    folder = "DIR/records"
  }
  pressure {
    late = "1m"
    held = 1000
    refusals = 1000
    calm = "50ms"
  }
  pool "next" {
    share = 1
    copies_per_second = 1000
    copies_out = 50
    copies_per_host = 50
    failures = 3
    retry_first = "50ms"
    retry_most = "200ms"
    wait = "10s"
    HOSTS
  }
}
`

func host(addr string) string { return fmt.Sprintf("host \"c0\" {\n addr = %q\n }", addr) }

// startShadow starts a program with a live host that answers all requests. For each pair in replaced,
// it replaces the first text by the second in the default settings.
func startShadow(t *testing.T, hosts string, replaced ...string) *shadowProgram {
	t.Helper()
	return startShadowBeside(t, scripted.NewModel(t, scripted.ModelBehavior{}), hosts, replaced...)
}

// startShadowBeside is startShadow with the given live host.
func startShadowBeside(t *testing.T, live *scripted.Model, hosts string, replaced ...string) *shadowProgram {
	t.Helper()
	d := scripted.NewDiscovery(t, scripted.List(1, true, scripted.ListEntry("s0", live.Addr, "Ready")))
	env := configFile(t, "127.0.0.1:1", d.Addr)
	s := &shadowProgram{t: t, live: live, lines: make(scripted.LogLines, 1000), reload: make(chan os.Signal), exit: make(chan error, 1),
		dir: t.TempDir(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}}}
	s.writeSettings(hosts, replaced...)
	cfg := load(t, env)
	if err := cfg.ReadSettings(s.path()); err != nil {
		t.Fatal(err)
	}
	s.p = New(cfg, env, s.path(), s.lines)
	ctx, stop := context.WithCancel(context.Background())
	s.sigterm = stop
	go func() { s.exit <- s.p.Run(ctx, s.reload) }()
	t.Cleanup(func() {
		stop()
		s.client.CloseIdleConnections()
	})
	s.expectLog("phase name=listing")
	s.expectLog("phase name=serving")
	s.addr = s.p.ln.Addr().String()
	if !strings.Contains(hosts, "discovery") {
		s.awaitStatus("copies may start", func(st mirror.Status) bool { return st.Hosts > 0 && st.Sampled })
	}
	return s
}

func (s *shadowProgram) path() string { return filepath.Join(s.dir, "settings.hcl") }

func (s *shadowProgram) writeSettings(hosts string, replaced ...string) {
	text := strings.ReplaceAll(strings.Replace(defaultSettings, "HOSTS", hosts, 1), "DIR", s.dir)
	for i := 0; i < len(replaced); i += 2 {
		if !strings.Contains(text, replaced[i]) {
			s.t.Fatalf("the settings have no %q", replaced[i])
		}
		text = strings.Replace(text, replaced[i], replaced[i+1], 1)
	}
	write(s.t, s.path(), text)
}

// expectLog expects that the next log line begins with want, and returns the line.
func (s *shadowProgram) expectLog(want string) string {
	s.t.Helper()
	got := scripted.Receive(s.t, s.lines, want)
	if !strings.HasPrefix(got, want) {
		s.t.Fatalf("got the log line %q, want %q", got, want)
	}
	return got
}

func (s *shadowProgram) status() mirror.Report {
	s.t.Helper()
	socket, err := transport.StatusSocket(s.dir, "")
	if err != nil {
		s.t.Fatal(err)
	}
	text, err := transport.AskStatus(socket, ShadowTopic)
	if err != nil {
		s.t.Fatal(err)
	}
	var r mirror.Report
	if err := json.Unmarshal(text, &r); err != nil {
		s.t.Fatal(err)
	}
	return r
}

// awaitStatus polls the status of the first pool until ok accepts it.
func (s *shadowProgram) awaitStatus(what string, ok func(mirror.Status) bool) mirror.Status {
	s.t.Helper()
	var r mirror.Report
	for end := time.Now().Add(scripted.EventTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r = s.status(); len(r.Pools) > 0 && ok(r.Pools[0]) {
			return r.Pools[0]
		}
	}
	s.t.Fatalf("timeout waiting until %s; status: %+v", what, r)
	panic("unreachable")
}

// ask sends one live request with the given body and returns the answer.
func (s *shadowProgram) ask(id, body string, set map[string]string) (status int, answer string, end error) {
	r := scripted.NewRequest(s.t, s.addr, id, set)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	resp, err := s.client.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// expectServed sends a request and expects the answer of the live host.
func (s *shadowProgram) expectServed(id string) {
	s.t.Helper()
	status, text, err := s.ask(id, id, nil)
	if want := scripted.Tokens(id, scripted.ModelBehavior{}); status != 200 || err != nil || strings.Count(text, `"content":"w`) != len(want) ||
		!strings.Contains(text, want[len(want)-1]) {
		s.t.Fatalf("request %s: got %d %q, %v; want the answer of the live host", id, status, text, err)
	}
}

// records ends the program and returns its records by request. It checks each record against the
// schema.
func (s *shadowProgram) records() map[string]*records.Record {
	s.t.Helper()
	s.stop()
	found := map[string]*records.Record{}
	schema, err := report.Schema()
	if err != nil {
		s.t.Fatal(err)
	}
	_, err = records.Read(filepath.Join(s.dir, "records"), func(line []byte, r *records.Record) error {
		doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(line))
		if err != nil {
			return err
		}
		if err := schema.Validate(doc); err != nil {
			return fmt.Errorf("record %s does not match the schema: %w", line, err)
		}
		if found[r.ID] != nil {
			return fmt.Errorf("request %s has two records", r.ID)
		}
		found[r.ID] = r
		return nil
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return found
}

func (s *shadowProgram) stop() {
	s.t.Helper()
	s.sigterm()
	if err := scripted.Receive(s.t, s.exit, "exit"); err != nil {
		s.t.Fatal(err)
	}
}

// A copy has the same URI and body as the request and an id of its own. The text and the times of
// both answers are compared.
func TestShadowCopiesAndCompares(t *testing.T) {
	seen := make(chan scripted.Request, 10)
	candidate := scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer()))
	go func() {
		for r := range candidate.Requests {
			seen <- r
		}
	}()
	s := startShadow(t, host(candidate.Addr))
	status, _, err := s.ask("q1", `{"stream": true}`, map[string]string{"X-Tenant": "partner"})
	if status != 200 || err != nil {
		t.Fatal(status, err)
	}
	r := scripted.Receive(t, seen, "a copy")
	if r.Body != `{"stream": true}` || r.URI != "/v1/chat/completions?a=%20b" || !strings.HasPrefix(r.Header.Get("X-Correlation-Id"), "q1~next~") {
		t.Errorf("the copy is %+v, want the request's body and URI and an id of its own", r)
	}
	st := s.awaitStatus("it is recorded", func(st mirror.Status) bool { return st.Recorded == 1 })
	if st.Times["chat"].Count != 1 || st.BodyBytes != 0 || st.InFlight != 0 {
		t.Errorf("wrong pool status after one copy: %+v", st)
	}
	if counts := s.live.Counts(); counts.Total != 1 {
		t.Errorf("the live host had %d attempts, want 1", counts.Total)
	}
	got := s.records()["q1"]
	if got == nil || got.Comparison == nil || got.Live.FirstByteMs == nil || got.Live.QueuedMs == nil || *got.Live.QueuedMs > *got.Live.FirstByteMs || got.Copy.TotalMs == nil || got.Live.Digest == got.Copy.Digest {
		t.Fatalf("the record lacks its comparison, or has wrong times or digests: %+v", got)
	}
	if diff := cmp.Diff(&records.Comparison{Text: "differs", Similarity: 0, SameFinish: false}, got.Comparison); diff != "" {
		t.Error(diff)
	}
	if got.Tenant != "partner" || got.Live.Host != "s0" || got.Copy.Host != "c0" || *got.Live.Tokens != 10 || got.Copy.Tokens != nil || *got.Live.CachedTokens != 3 {
		t.Errorf("the record has a wrong tenant, host or token count: %+v", got)
	}
	text, err := json.Marshal(got)
	if err != nil || bytes.Contains(text, []byte("oqvh")) || bytes.Contains(text, []byte("stream")) {
		t.Errorf("the record contains text of the request or answer: %s %v", text, err)
	}
}

func TestShadowKeepsTextsWhereTold(t *testing.T) {
	s := startShadow(t, host(scripted.NewModel(t, scripted.ModelBehavior{Suffix: "x"}).Addr), "records {", "records {\n texts = true")
	s.expectServed("prompt")
	s.awaitStatus("it is recorded", func(st mirror.Status) bool { return st.Recorded == 1 })
	r := s.records()["prompt"]
	words := strings.Join(scripted.Tokens("prompt", scripted.ModelBehavior{}), "")
	if r.Body != "prompt" || r.Live.Text != words || r.Copy.Text != words+"x" || r.Comparison.Similarity != 0.9 {
		t.Errorf("wrong texts in record %+v with comparison %+v", r, r.Comparison)
	}
}

// Whatever fails in a candidate host, each live request gets its answer, and each copy has a record
// with the cause of the failure.
func TestShadowCandidatesThatFail(t *testing.T) {
	for _, tt := range []struct {
		name     string
		behavior scripted.ModelBehavior
		set      []string
		cause    shadow.Cause // the cause in the records
		down     bool         // whether the pool is down afterwards
	}{
		{"says nothing", scripted.ModelBehavior{Stalls: true}, []string{"share = 1", "share = 1\n patience = \"100ms\""}, shadow.Refused, true},
		{"a twentieth of the pace", scripted.ModelBehavior{EventInterval: 40 * time.Millisecond}, []string{"share = 1", "share = 1\n patience = \"150ms\"\n longest = \"200ms\""}, shadow.TimedOut, true},
		{"falls silent", scripted.ModelBehavior{EventInterval: time.Minute}, []string{"share = 1", "share = 1\n silent = \"100ms\""}, shadow.StreamFailed, true},
		{"breaks halfway", scripted.ModelBehavior{Breaks: true}, nil, shadow.StreamFailed, true},
		{"errors", scripted.ModelBehavior{Status: 500}, nil, shadow.Refused, true},
		{"finds the request at fault", scripted.ModelBehavior{Status: 404}, nil, shadow.InvalidRequest, false},
		{"a report that can't be read", scripted.ModelBehavior{Report: "{"}, nil, "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			candidate := scripted.NewModel(t, tt.behavior)
			s := startShadow(t, host(candidate.Addr), tt.set...)
			for i := range 3 {
				s.expectServed(fmt.Sprint("q", i))
				s.awaitStatus("the copy is recorded", func(st mirror.Status) bool { return st.Recorded == uint64(i+1) })
			}
			st := s.awaitStatus("nothing is out", func(st mirror.Status) bool { return st.InFlight+st.Pairing == 0 })
			if (st.Health == "down") != tt.down {
				t.Errorf("wrong health in pool status %+v", st)
			}
			if counts := s.live.Counts(); counts.Total != 3 || counts.Duplicated != nil {
				t.Errorf("%d live attempts, want 3; requests with two attempts at once: %v", counts.Total, counts.Duplicated)
			}
			if counts := candidate.Counts(); counts.InFlight != 0 || counts.Duplicated != nil {
				t.Errorf("%d candidate attempts are still in flight; copies with two attempts at once: %v", counts.InFlight, counts.Duplicated)
			}
			got := s.records()
			for id, r := range got {
				if shadow.Cause(r.Cause) != tt.cause {
					t.Errorf("record of %s has cause %q, want %q", id, r.Cause, tt.cause)
				}
			}
			if len(got) != 3 {
				t.Errorf("%d records, want 3", len(got))
			}
			downs, reports := 0, 0
			for len(s.lines) > 0 {
				switch line := <-s.lines; {
				case strings.HasPrefix(line, "shadow pool ejected pool=next failures=3"):
					downs++
				case strings.HasPrefix(line, "load report unreadable pool=next server=c0"):
					reports++
				}
			}
			if (downs == 1) != tt.down || (reports == 1) != (tt.behavior.Report != "") {
				t.Errorf("%d log lines about a pool that is down, %d about unreadable reports", downs, reports)
			}
		})
	}
}

// A candidate host is down from the start, and is then revived and killed twice under load. Trial
// copies detect each change, the router logs it, and every live request is served with a single
// attempt.
func TestShadowPoolKilledAndRevived(t *testing.T) {
	candidate := scripted.NewModel(t, scripted.ModelBehavior{})
	candidate.Kill()
	s := startShadow(t, host(candidate.Addr), "share = 1", "share = 1\n patience = \"500ms\"")
	stop, n := make(chan bool), 0
	var load sync.WaitGroup
	load.Go(func() {
		for {
			select {
			case <-stop:
				return
			default:
				s.expectServed(fmt.Sprint("q", n))
				n++
			}
		}
	})
	for range 2 {
		s.awaitStatus("it is down", func(st mirror.Status) bool {
			return st.Health == "down" && st.RetryIn != "" && st.Dropped[shadow.PoolDown] > 0
		})
		candidate.Revive(t)
		before := s.awaitStatus("it is back", func(st mirror.Status) bool { return st.Health == "up" })
		s.awaitStatus("copies are compared", func(st mirror.Status) bool { return st.Compared > before.Compared+10 })
		candidate.Kill()
	}
	s.awaitStatus("it is down again", func(st mirror.Status) bool { return st.Health == "down" })
	close(stop)
	load.Wait()
	if counts := s.live.Counts(); counts.Total != n || counts.Duplicated != nil {
		t.Errorf("%d live attempts for %d requests; requests with two attempts at once: %v", counts.Total, n, counts.Duplicated)
	}
	st := s.awaitStatus("nothing is out", func(st mirror.Status) bool { return st.InFlight+st.Pairing+st.Waiting == 0 })
	if got := s.records(); uint64(len(got)) != st.Started {
		t.Errorf("%d records for %d started copies", len(got), st.Started)
	}
}

// A candidate host that drains gets no new copies and finishes its open copy. Copies are dropped while
// no host is left. When discovery is unreachable, the last valid list stays in force.
func TestShadowDrainsAndLostDiscovery(t *testing.T) {
	hold := make(chan bool)
	c0, c1 := scripted.NewModel(t, scripted.ModelBehavior{Gate: hold}), scripted.NewModel(t, scripted.ModelBehavior{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := scripted.ServeDiscovery(t, ln, scripted.List(1, true, scripted.ListEntry("c0", c0.Addr, "Ready")))
	s := startShadow(t, fmt.Sprintf("discovery = %q", d.Addr))
	s.awaitStatus("c0 is known", func(st mirror.Status) bool { return st.Hosts == 1 })
	s.expectServed("q0")
	scripted.Receive(t, c0.Started, "a copy")
	d.Send(t, scripted.List(2, false, scripted.ListEntry("c0", c0.Addr, "Terminating"), scripted.ListEntry("c1", c1.Addr, "Ready")))
	for !strings.Contains(scripted.Receive(t, d.Calls, "the call after the list was taken in"), "index=2") {
	}
	// The list drains one host and adds the other at the same time, and the number of hosts stays 1.
	// So the test sends requests until the new host has a copy.
	for i := 1; c1.Attempts(fmt.Sprintf("q%d~next~%d", i-1, i)) == 0 && i < 50; i++ {
		s.expectServed(fmt.Sprint("q", i))
		s.awaitStatus("it has its record", func(st mirror.Status) bool { return st.Recorded == uint64(i) })
	}
	scripted.Send(t, hold, true)
	st := s.awaitStatus("the copy that was out is compared", func(st mirror.Status) bool { return st.InFlight == 0 && st.Pairing == 0 })
	if st.Compared != st.Started {
		t.Errorf("not all started copies were compared: %+v", st)
	}
	if counts := c0.Counts(); counts.Total != 1 {
		t.Errorf("the draining host had %d copies, want only the first one", counts.Total)
	}
	d.Stop()
	s.expectLog("discovery lost pool=next")
	s.expectServed("alone")
	s.awaitStatus("the last list serves", func(next mirror.Status) bool { return next.Compared == st.Compared+1 })
}

// When the live answer fails or the client disconnects, the copy is canceled at once, because there is
// no answer to compare it with.
func TestShadowWithoutALiveAnswer(t *testing.T) {
	hold := make(chan bool)
	for name, live := range map[string]scripted.ModelBehavior{"breaks": {Breaks: true, EventInterval: 20 * time.Millisecond}, "client leaves": {Gate: hold}, "fails": {Status: 500, FirstDelay: 50 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			candidate := scripted.NewModel(t, scripted.ModelBehavior{Gate: hold})
			s := startShadowBeside(t, scripted.NewModel(t, live), host(candidate.Addr))
			ctx, leave := context.WithCancel(context.Background())
			defer leave()
			answered := make(chan bool)
			go func() {
				defer close(answered)
				resp, err := s.client.Do(scripted.NewRequest(t, s.addr, "q", nil).WithContext(ctx))
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}()
			scripted.Receive(t, candidate.Started, "a copy")
			if live.Gate != nil {
				scripted.Receive(t, s.live.Started, "an attempt")
				leave()
			}
			<-answered
			s.awaitStatus("the copy was ended", func(st mirror.Status) bool { return st.Recorded == 1 && st.Ended[shadow.NoLiveAnswer] == 1 })
			if r := s.records()["q"]; r.Cause != string(shadow.NoLiveAnswer) || r.Comparison != nil || r.Live.Outcome == "whole" {
				t.Errorf("wrong record of a copy without a live answer: %+v", r)
			}
		})
	}
}

// The resources that the settings need must fit the limits. A router does not start if another
// router uses its status socket.
func TestShadowSettingsFitTheLimits(t *testing.T) {
	s := startShadow(t, host("127.0.0.1:1"))
	for _, tt := range []struct{ old, new, want string }{
		{"share = 1", "share = 1\n sockets = 930", "limits.sockets leaves"},
		{"share = 1", "share = 1\n body_bytes = \"30MiB\"", "an eighth of limits.memory_mb is 25165824"},
	} {
		s.writeSettings(host("127.0.0.1:1"), tt.old, tt.new)
		if err := load(t, configFile(t, "n1", "n1")).ReadSettings(s.path()); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("settings with %s: got error %v", tt.new, err)
		}
	}
	s.writeSettings(host("127.0.0.1:1"))
	env := configFile(t, "n1", "n1")
	cfg := load(t, env)
	if err := cfg.ReadSettings(s.path()); err != nil {
		t.Fatal(err)
	}
	if err := New(cfg, env, s.path(), make(scripted.LogLines, 10)).Run(context.Background(), nil); err == nil || !strings.Contains(err.Error(), "is in use by another router") {
		t.Errorf("a second router on the same status socket ended with %v", err)
	}
}

// A reload can change the share of a pool while copies are in flight, and these continue. Removing a
// pool cancels its copies. An invalid file changes nothing, and neither does a file that needs more
// descriptors than were reserved at the start.
func TestShadowReload(t *testing.T) {
	hold := make(chan bool)
	candidate := scripted.NewModel(t, scripted.ModelBehavior{Gate: hold})
	s := startShadow(t, host(candidate.Addr))
	s.expectServed("q0")
	scripted.Receive(t, candidate.Started, "a copy")
	for _, bad := range [][]string{{"share = 1", "share = 2"}, {"share = 1", "share = 1\n sockets = 500"}} {
		s.writeSettings(host(candidate.Addr), bad...)
		s.reload <- syscall.SIGHUP
		s.expectLog("configuration reload refused cause=" + s.path())
	}
	s.writeSettings(host(candidate.Addr), "share = 1", "share = 0", "copies_out = 50", "copies_out = 7")
	s.reload <- syscall.SIGHUP
	s.expectLog("reloaded")
	s.expectServed("q1")
	st := s.awaitStatus("the share is 0", func(st mirror.Status) bool { return st.Share == 0 && st.Caps.InFlight == 7 })
	if st.Offered != 1 || st.InFlight != 1 {
		t.Errorf("want 1 copy offered and in flight with a share of 0: %+v", st)
	}
	scripted.Send(t, hold, true)
	s.awaitStatus("the copy went on", func(st mirror.Status) bool { return st.Compared == 1 })
	s.writeSettings(host(candidate.Addr))
	s.reload <- syscall.SIGHUP
	s.expectLog("reloaded")
	s.expectServed("q2")
	scripted.Receive(t, candidate.Started, "a copy")
	s.writeSettings(host(candidate.Addr), `"next"`, `"other"`)
	s.reload <- syscall.SIGHUP
	s.expectLog("reloaded")
	s.expectServed("q3")
	s.awaitStatus("another pool has its place", func(st mirror.Status) bool { return st.Pool == "other" && st.InFlight == 1 })
	got := s.records()
	if got["q0"].Cause != "" || got["q2"].Cause != string(shadow.Closing) || got["q3"].Pool != "other" || len(got) != 3 {
		t.Errorf("wrong records after the reloads: %+v", got)
	}
}

// SIGTERM cancels copies at once. The open live stream is finished, and then the program ends without
// waiting for copies.
func TestShadowSigterm(t *testing.T) {
	hold := make(chan bool)
	candidate := scripted.NewModel(t, scripted.ModelBehavior{Stalls: true})
	s := startShadowBeside(t, scripted.NewModel(t, scripted.ModelBehavior{Gate: hold}), host(candidate.Addr))
	answered := make(chan error, 1)
	go func() {
		status, text, err := s.ask("q", "q", nil)
		if err == nil && (status != 200 || !strings.Contains(text, "[DONE]")) {
			err = fmt.Errorf("got %d %q", status, text)
		}
		answered <- err
	}()
	scripted.Receive(t, candidate.Started, "a copy")
	scripted.Receive(t, s.live.Started, "an attempt")
	s.sigterm()
	for end := time.Now().Add(scripted.EventTimeout); ; time.Sleep(time.Millisecond) {
		if counts := candidate.Counts(); counts.InFlight == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the copy is still in flight after SIGTERM")
		}
	}
	if s.p.Phase() != Terminating {
		t.Errorf("the copy was in flight until phase %s", s.p.Phase())
	}
	scripted.Send(t, hold, true)
	if err := scripted.Receive(t, answered, "the live answer"); err != nil {
		t.Error(err)
	}
	if r := s.records()["q"]; r.Cause != string(shadow.Closing) || r.Live.Outcome != "open" {
		t.Errorf("wrong record of a copy canceled by SIGTERM: %+v", r)
	}
}

// With bodies of 256 KiB and a limit of 1 MiB for bodies, four copies are held and the others are
// dropped. All live requests are served.
func TestShadowBodiesUnderTheirCap(t *testing.T) {
	candidate := scripted.NewModel(t, scripted.ModelBehavior{Stalls: true})
	s := startShadow(t, host(candidate.Addr))
	body := strings.Repeat("x", 256<<10)
	for i := range 10 { // the copies stay in flight, so sequential requests hold as many bodies as concurrent ones
		if status, _, err := s.ask(fmt.Sprint("q", i), body, nil); status != 200 || err != nil {
			t.Errorf("live request: got status %d, %v; want 200", status, err)
		}
	}
	st := s.awaitStatus("all were offered and four are out", func(st mirror.Status) bool { return st.Offered == 10 && st.Waiting == 0 })
	if st.Started != 4 || st.Dropped[shadow.OverBytes] != 6 || st.BodyBytes != 1<<20 {
		t.Errorf("want 4 copies started, 6 dropped and 1 MiB of bodies held: %+v", st)
	}
}

// If the folder of the records cannot be written, the router loses records and logs this once. It
// continues to serve requests, and writes records again when the folder is writable.
func TestShadowRecordFolderFails(t *testing.T) {
	s := startShadow(t, host(scripted.NewModel(t, scripted.ModelBehavior{}).Addr))
	folder := filepath.Join(s.dir, "records")
	write(t, folder, "a file in its place")
	for i := range 3 {
		s.expectServed(fmt.Sprint("q", i))
	}
	s.awaitStatus("all are recorded", func(st mirror.Status) bool { return st.Recorded == 3 })
	s.expectLog("shadow record not written cause=")
	if r := s.status().Records; r.Failing == "" || r.Written != 0 {
		t.Errorf("want a failure and no record written: %+v", r)
	}
	if len(s.lines) > 0 {
		t.Errorf("unexpected log line: %s", <-s.lines)
	}
}

// The same series of live requests runs once without copies and once with a candidate host that is
// healthy, silent, killed, slow and revived in turn. Each live request gets the same answer in both
// runs, and no request has two attempts in flight.
func TestShadowScriptedDay(t *testing.T) {
	day := func(hosts string, between func(i int), settings ...string) []string {
		s := startShadow(t, hosts, settings...)
		answers := make([]string, 120)
		work := make(chan int)
		var clients sync.WaitGroup
		for range 6 {
			clients.Go(func() {
				for i := range work {
					status, text, err := s.ask(fmt.Sprint("q", i), fmt.Sprint("prompt ", i), map[string]string{"X-Session-Key": fmt.Sprint(i / 3)})
					answers[i] = fmt.Sprint(status, text, err)
				}
			})
		}
		for i := range answers {
			between(i)
			work <- i
		}
		close(work)
		clients.Wait()
		counts := s.live.Counts()
		if counts.Total != len(answers) || counts.InFlight != 0 || counts.Duplicated != nil {
			t.Errorf("%d attempts for %d requests, %d in flight; requests with two attempts at once: %v", counts.Total, len(answers), counts.InFlight, counts.Duplicated)
		}
		s.stop()
		return answers
	}
	candidate := scripted.NewModel(t, scripted.ModelBehavior{})
	without := day(host(candidate.Addr), func(int) {}, "share = 1", "share = 0")
	if counts := candidate.Counts(); counts.Total != 0 {
		t.Fatalf("%d copies sent with a share of 0", counts.Total)
	}
	with := day(host(candidate.Addr), func(i int) {
		switch i {
		case 20:
			scripted.Receive(t, candidate.Started, "a copy")
			candidate.Set(scripted.ModelBehavior{Stalls: true})
		case 40:
			candidate.Kill()
		case 60:
			candidate.Set(scripted.ModelBehavior{EventInterval: 5 * time.Millisecond})
			candidate.Revive(t)
		case 80:
			candidate.Kill()
		case 100:
			candidate.Set(scripted.ModelBehavior{})
			candidate.Revive(t)
		}
	}, "share = 1", "share = 1\n patience = \"100ms\"\n longest = \"300ms\"")
	if diff := cmp.Diff(without, with); diff != "" {
		t.Error(diff)
	}
	if counts := candidate.Counts(); counts.Total == 0 || counts.Duplicated != nil {
		t.Errorf("%d copies sent; copies with two attempts at once: %v", counts.Total, counts.Duplicated)
	}
}

// Copies are canceled while the live path is under pressure, here because requests wait for a server.
// They start again after the pressure has ended.
func TestShadowYieldsToPressure(t *testing.T) {
	candidate := scripted.NewModel(t, scripted.ModelBehavior{Stalls: true})
	s := startShadow(t, host(candidate.Addr), "held = 1000", "held = 1\n grace = \"30ms\"")
	s.expectServed("q0")
	scripted.Receive(t, candidate.Started, "a copy")
	s.live.Set(scripted.ModelBehavior{Status: 503})
	for _, e := range []string{"Terminating", "Ready"} { // without a server, requests are held
		s.p.applyServerList(mustList(t, scripted.List(9, false, scripted.ListEntry("s0", s.live.Addr, e))))
		if e == "Ready" {
			break
		}
		go s.ask("held", "held", nil)
		s.awaitStatus("it yields", func(st mirror.Status) bool {
			return st.Level == "hard" && st.Ended[shadow.UnderPressure] > 0 && st.InFlight == 0
		})
		s.live.Set(scripted.ModelBehavior{})
	}
	s.awaitStatus("it is calm again", func(st mirror.Status) bool { return st.Level == "calm" })
	s.expectServed("q1")
	s.awaitStatus("a copy is out", func(st mirror.Status) bool { return st.InFlight == 1 })
}
