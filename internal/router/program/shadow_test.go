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

// shadowed is a running program with one live host and one pool, next.
type shadowed struct {
	t       *testing.T
	p       *Program
	live    *scripted.Model
	lines   scripted.LogLines
	dir     string // of the records, the socket and the settings
	reload  chan os.Signal
	sigterm func()
	exit    chan error
	addr    string
	client  *http.Client
}

// usual is a pool that gets all there is, under pressure thresholds that no busy test machine
// reaches.
const usual = `
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

// startShadow starts it; each pair of replaced words is replaced in the usual settings.
func startShadow(t *testing.T, hosts string, replaced ...string) *shadowed {
	t.Helper()
	return startShadowed(t, scripted.NewModel(t, scripted.ModelBehavior{}), hosts, replaced...)
}

func startShadowed(t *testing.T, live *scripted.Model, hosts string, replaced ...string) *shadowed {
	t.Helper()
	d := scripted.NewDiscovery(t, scripted.List(1, true, scripted.ListEntry("s0", live.Addr, "Ready")))
	env := configFile(t, "127.0.0.1:1", d.Addr)
	s := &shadowed{t: t, live: live, lines: make(scripted.LogLines, 1000), reload: make(chan os.Signal), exit: make(chan error, 1),
		dir: t.TempDir(), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}}}
	s.settings(hosts, replaced...)
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
	s.line("phase name=listing")
	s.line("phase name=serving")
	s.addr = s.p.ln.Addr().String()
	if !strings.Contains(hosts, "discovery") {
		s.until("copies may start", func(st mirror.Status) bool { return st.Hosts > 0 && st.Sampled })
	}
	return s
}

func (s *shadowed) path() string { return filepath.Join(s.dir, "settings.hcl") }

func (s *shadowed) settings(hosts string, replaced ...string) {
	text := strings.ReplaceAll(strings.Replace(usual, "HOSTS", hosts, 1), "DIR", s.dir)
	for i := 0; i < len(replaced); i += 2 {
		if !strings.Contains(text, replaced[i]) {
			s.t.Fatalf("the settings have no %q", replaced[i])
		}
		text = strings.Replace(text, replaced[i], replaced[i+1], 1)
	}
	write(s.t, s.path(), text)
}

// line waits for a log line that begins so.
func (s *shadowed) line(want string) string {
	s.t.Helper()
	got := scripted.Receive(s.t, s.lines, want)
	if !strings.HasPrefix(got, want) {
		s.t.Fatalf("got the line %q, want %q", got, want)
	}
	return got
}

func (s *shadowed) status() mirror.Report {
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

// until waits for a state of the pool.
func (s *shadowed) until(what string, ok func(mirror.Status) bool) mirror.Status {
	s.t.Helper()
	var r mirror.Report
	for end := time.Now().Add(scripted.EventTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r = s.status(); len(r.Pools) > 0 && ok(r.Pools[0]) {
			return r.Pools[0]
		}
	}
	s.t.Fatalf("waited in vain until %s: %+v", what, r)
	panic("unreachable")
}

// ask sends one live request with a body of its own and returns the answer.
func (s *shadowed) ask(id, body string, set map[string]string) (status int, answer string, end error) {
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

// served asks and wants the live host's answer.
func (s *shadowed) served(id string) {
	s.t.Helper()
	status, text, err := s.ask(id, id, nil)
	if want := scripted.Tokens(id, scripted.ModelBehavior{}); status != 200 || err != nil || strings.Count(text, `"content":"w`) != len(want) ||
		!strings.Contains(text, want[len(want)-1]) {
		s.t.Fatalf("%s: got %d %q, %v; want it served by the live host", id, status, text, err)
	}
}

// records ends the program and returns its records, each checked against the schema.
func (s *shadowed) records() map[string]*records.Record {
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
			return fmt.Errorf("%s: %w", line, err)
		}
		if found[r.ID] != nil {
			return fmt.Errorf("%s has two records", r.ID)
		}
		found[r.ID] = r
		return nil
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return found
}

func (s *shadowed) stop() {
	s.t.Helper()
	s.sigterm()
	if err := scripted.Receive(s.t, s.exit, "exit"); err != nil {
		s.t.Fatal(err)
	}
}

// A copy carries the bytes that came under an id of its own, and both answers are compared in text
// and time.
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
		t.Errorf("the copy is %+v", r)
	}
	st := s.until("it is recorded", func(st mirror.Status) bool { return st.Recorded == 1 })
	if st.Times["chat"].Count != 1 || st.BodyBytes != 0 || st.InFlight != 0 {
		t.Errorf("%+v", st)
	}
	if counts := s.live.Counts(); counts.Total != 1 {
		t.Errorf("the live host had %d attempts", counts.Total)
	}
	got := s.records()["q1"]
	if got == nil || got.Comparison == nil || got.Live.FirstByteMs == nil || got.Live.QueuedMs == nil || *got.Live.QueuedMs > *got.Live.FirstByteMs || got.Copy.TotalMs == nil || got.Live.Digest == got.Copy.Digest {
		t.Fatalf("%+v", got)
	}
	if diff := cmp.Diff(&records.Comparison{Text: "differs", Similarity: 0, SameFinish: false}, got.Comparison); diff != "" {
		t.Error(diff)
	}
	if got.Tenant != "partner" || got.Live.Host != "s0" || got.Copy.Host != "c0" || *got.Live.Tokens != 10 || got.Copy.Tokens != nil || *got.Live.CachedTokens != 3 {
		t.Errorf("%+v", got)
	}
	text, err := json.Marshal(got)
	if err != nil || bytes.Contains(text, []byte("oqvh")) || bytes.Contains(text, []byte("stream")) {
		t.Errorf("a record holds a customer's words: %s %v", text, err)
	}
}

func TestShadowKeepsTextsWhereTold(t *testing.T) {
	s := startShadow(t, host(scripted.NewModel(t, scripted.ModelBehavior{Suffix: "x"}).Addr), "records {", "records {\n texts = true")
	s.served("prompt")
	s.until("it is recorded", func(st mirror.Status) bool { return st.Recorded == 1 })
	r := s.records()["prompt"]
	words := strings.Join(scripted.Tokens("prompt", scripted.ModelBehavior{}), "")
	if r.Body != "prompt" || r.Live.Text != words || r.Copy.Text != words+"x" || r.Comparison.Similarity != 0.9 {
		t.Errorf("%+v %+v", r, r.Comparison)
	}
}

// Whatever the candidates do, each live request has its answer, and each copy its record with the
// cause.
func TestShadowCandidatesThatFail(t *testing.T) {
	for _, tt := range []struct {
		name   string
		manner scripted.ModelBehavior
		set    []string
		cause  shadow.Cause // of the records
		down   bool
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
			candidate := scripted.NewModel(t, tt.manner)
			s := startShadow(t, host(candidate.Addr), tt.set...)
			for i := range 3 {
				s.served(fmt.Sprint("q", i))
				s.until("the copy is recorded", func(st mirror.Status) bool { return st.Recorded == uint64(i+1) })
			}
			st := s.until("nothing is out", func(st mirror.Status) bool { return st.InFlight+st.Pairing == 0 })
			if (st.Health == "down") != tt.down {
				t.Errorf("%+v", st)
			}
			if counts := s.live.Counts(); counts.Total != 3 || counts.Duplicated != nil {
				t.Errorf("%d live attempts, %v twice", counts.Total, counts.Duplicated)
			}
			if counts := candidate.Counts(); counts.InFlight != 0 || counts.Duplicated != nil {
				t.Errorf("%d candidate attempts are still out, %v twice", counts.InFlight, counts.Duplicated)
			}
			got := s.records()
			for id, r := range got {
				if shadow.Cause(r.Cause) != tt.cause {
					t.Errorf("%s: %q, want %q", id, r.Cause, tt.cause)
				}
			}
			if len(got) != 3 {
				t.Errorf("%d records", len(got))
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
			if (downs == 1) != tt.down || (reports == 1) != (tt.manner.Report != "") {
				t.Errorf("%d lines of a pool that is down, %d of reports", downs, reports)
			}
		})
	}
}

// Down from the start, revived, killed and revived under load: trials find out, on-call gets a line
// for each turn, and no live request feels it.
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
				s.served(fmt.Sprint("q", n))
				n++
			}
		}
	})
	for range 2 {
		s.until("it is down", func(st mirror.Status) bool {
			return st.Health == "down" && st.RetryIn != "" && st.Dropped[shadow.PoolDown] > 0
		})
		candidate.Revive(t)
		before := s.until("it is back", func(st mirror.Status) bool { return st.Health == "up" })
		s.until("copies are compared", func(st mirror.Status) bool { return st.Compared > before.Compared+10 })
		candidate.Kill()
	}
	s.until("it is down again", func(st mirror.Status) bool { return st.Health == "down" })
	close(stop)
	load.Wait()
	if counts := s.live.Counts(); counts.Total != n || counts.Duplicated != nil {
		t.Errorf("%d live attempts for %d requests, %v twice", counts.Total, n, counts.Duplicated)
	}
	st := s.until("nothing is out", func(st mirror.Status) bool { return st.InFlight+st.Pairing+st.Waiting == 0 })
	if got := s.records(); uint64(len(got)) != st.Started {
		t.Errorf("%d records of %d copies", len(got), st.Started)
	}
}

// A host that drains gets nothing new and finishes what it has; with none left copies are dropped.
// A lost discovery leaves the last good list in force.
func TestShadowDrainsAndLostDiscovery(t *testing.T) {
	hold := make(chan bool)
	c0, c1 := scripted.NewModel(t, scripted.ModelBehavior{Gate: hold}), scripted.NewModel(t, scripted.ModelBehavior{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := scripted.ServeDiscovery(t, ln, scripted.List(1, true, scripted.ListEntry("c0", c0.Addr, "Ready")))
	s := startShadow(t, fmt.Sprintf("discovery = %q", d.Addr))
	s.until("c0 is known", func(st mirror.Status) bool { return st.Hosts == 1 })
	s.served("q0")
	scripted.Receive(t, c0.Started, "a copy")
	d.Send(t, scripted.List(2, false, scripted.ListEntry("c0", c0.Addr, "Terminating"), scripted.ListEntry("c1", c1.Addr, "Ready")))
	for !strings.Contains(scripted.Receive(t, d.Calls, "the call after the list was taken in"), "index=2") {
	}
	// Both are told at once, so one serves before and after: what is sent must tell them apart.
	for i := 1; c1.Attempts(fmt.Sprintf("q%d~next~%d", i-1, i)) == 0 && i < 50; i++ {
		s.served(fmt.Sprint("q", i))
		s.until("it has its record", func(st mirror.Status) bool { return st.Recorded == uint64(i) })
	}
	scripted.Send(t, hold, true)
	st := s.until("the copy that was out is compared", func(st mirror.Status) bool { return st.InFlight == 0 && st.Pairing == 0 })
	if st.Compared != st.Started {
		t.Errorf("%+v", st)
	}
	if counts := c0.Counts(); counts.Total != 1 {
		t.Errorf("the host that drains had %d copies, want the first one alone", counts.Total)
	}
	d.Stop()
	s.line("discovery lost pool=next")
	s.served("alone")
	s.until("the last list serves", func(next mirror.Status) bool { return next.Compared == st.Compared+1 })
}

// A live answer that fails, or a client that leaves, ends the copy at once: there is nothing to
// compare it with.
func TestShadowWithoutALiveAnswer(t *testing.T) {
	hold := make(chan bool)
	for name, live := range map[string]scripted.ModelBehavior{"breaks": {Breaks: true, EventInterval: 20 * time.Millisecond}, "client leaves": {Gate: hold}, "fails": {Status: 500, FirstDelay: 50 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			candidate := scripted.NewModel(t, scripted.ModelBehavior{Gate: hold})
			s := startShadowed(t, scripted.NewModel(t, live), host(candidate.Addr))
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
			s.until("the copy was ended", func(st mirror.Status) bool { return st.Recorded == 1 && st.Ended[shadow.NoLiveAnswer] == 1 })
			if r := s.records()["q"]; r.Cause != string(shadow.NoLiveAnswer) || r.Comparison != nil || r.Live.Outcome == "whole" {
				t.Errorf("%+v", r)
			}
		})
	}
}

// What the settings may take must fit the limits, and a status socket in use is another router's.
func TestShadowSettingsFitTheLimits(t *testing.T) {
	s := startShadow(t, host("127.0.0.1:1"))
	for _, tt := range []struct{ old, new, want string }{
		{"share = 1", "share = 1\n sockets = 930", "limits.sockets leaves"},
		{"share = 1", "share = 1\n body_bytes = \"30MiB\"", "an eighth of limits.memory_mb is 25165824"},
	} {
		s.settings(host("127.0.0.1:1"), tt.old, tt.new)
		if err := load(t, configFile(t, "n1", "n1")).ReadSettings(s.path()); err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: got %v", tt.new, err)
		}
	}
	s.settings(host("127.0.0.1:1"))
	env := configFile(t, "n1", "n1")
	cfg := load(t, env)
	if err := cfg.ReadSettings(s.path()); err != nil {
		t.Fatal(err)
	}
	if err := New(cfg, env, s.path(), make(scripted.LogLines, 10)).Run(context.Background(), nil); err == nil || !strings.Contains(err.Error(), "another router's") {
		t.Errorf("a second router on the socket: %v", err)
	}
}

// A reload takes up another share with copies out, which go on; a pool that is gone ends its own; a
// bad file changes nothing, nor does one for which too few descriptors were set aside.
func TestShadowReload(t *testing.T) {
	hold := make(chan bool)
	candidate := scripted.NewModel(t, scripted.ModelBehavior{Gate: hold})
	s := startShadow(t, host(candidate.Addr))
	s.served("q0")
	scripted.Receive(t, candidate.Started, "a copy")
	for _, bad := range [][]string{{"share = 1", "share = 2"}, {"share = 1", "share = 1\n sockets = 500"}} {
		s.settings(host(candidate.Addr), bad...)
		s.reload <- syscall.SIGHUP
		s.line("reload refused cause=" + s.path())
	}
	s.settings(host(candidate.Addr), "share = 1", "share = 0", "copies_out = 50", "copies_out = 7")
	s.reload <- syscall.SIGHUP
	s.line("reloaded")
	s.served("q1")
	st := s.until("the share is 0", func(st mirror.Status) bool { return st.Share == 0 && st.Caps.InFlight == 7 })
	if st.Offered != 1 || st.InFlight != 1 {
		t.Errorf("%+v", st)
	}
	scripted.Send(t, hold, true)
	s.until("the copy went on", func(st mirror.Status) bool { return st.Compared == 1 })
	s.settings(host(candidate.Addr))
	s.reload <- syscall.SIGHUP
	s.line("reloaded")
	s.served("q2")
	scripted.Receive(t, candidate.Started, "a copy")
	s.settings(host(candidate.Addr), `"next"`, `"other"`)
	s.reload <- syscall.SIGHUP
	s.line("reloaded")
	s.served("q3")
	s.until("another pool has its place", func(st mirror.Status) bool { return st.Pool == "other" && st.InFlight == 1 })
	got := s.records()
	if got["q0"].Cause != "" || got["q2"].Cause != string(shadow.Closing) || got["q3"].Pool != "other" || len(got) != 3 {
		t.Errorf("%+v", got)
	}
}

// SIGTERM ends copies at once and delays nothing: the live stream that is out is finished, and so
// is the program once it is.
func TestShadowSigterm(t *testing.T) {
	hold := make(chan bool)
	candidate := scripted.NewModel(t, scripted.ModelBehavior{Stalls: true})
	s := startShadowed(t, scripted.NewModel(t, scripted.ModelBehavior{Gate: hold}), host(candidate.Addr))
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
			t.Fatal("the copy is still out")
		}
	}
	if s.p.Phase() != Terminating {
		t.Errorf("the copy was out until %s", s.p.Phase())
	}
	scripted.Send(t, hold, true)
	if err := scripted.Receive(t, answered, "the live answer"); err != nil {
		t.Error(err)
	}
	if r := s.records()["q"]; r.Cause != string(shadow.Closing) || r.Live.Outcome != "open" {
		t.Errorf("%+v", r)
	}
}

// Bodies of 256 KiB under a cap of 1 MiB: four are held, the others dropped, and all live requests
// served.
func TestShadowBodiesUnderTheirCap(t *testing.T) {
	candidate := scripted.NewModel(t, scripted.ModelBehavior{Stalls: true})
	s := startShadow(t, host(candidate.Addr))
	body := strings.Repeat("x", 256<<10)
	for i := range 10 { // the copies stay out, so one after another holds as much as all at once
		if status, _, err := s.ask(fmt.Sprint("q", i), body, nil); status != 200 || err != nil {
			t.Errorf("got %d, %v", status, err)
		}
	}
	st := s.until("all were offered and four are out", func(st mirror.Status) bool { return st.Offered == 10 && st.Waiting == 0 })
	if st.Started != 4 || st.Dropped[shadow.OverBytes] != 6 || st.BodyBytes != 1<<20 {
		t.Errorf("%+v", st)
	}
}

// A folder that can't be written costs records and one line, then works again; the router serves
// on.
func TestShadowRecordFolderFails(t *testing.T) {
	s := startShadow(t, host(scripted.NewModel(t, scripted.ModelBehavior{}).Addr))
	folder := filepath.Join(s.dir, "records")
	write(t, folder, "a file in its place")
	for i := range 3 {
		s.served(fmt.Sprint("q", i))
	}
	s.until("all are recorded", func(st mirror.Status) bool { return st.Recorded == 3 })
	s.line("shadow record not written cause=")
	if r := s.status().Records; r.Failing == "" || r.Written != 0 {
		t.Errorf("%+v", r)
	}
	if len(s.lines) > 0 {
		t.Errorf("one more line: %s", <-s.lines)
	}
}

// A day with the pool killed, slow, silent and revived by turns: each live request has one final
// answer, of the same bytes as on the same day without the pool, and no request ever has two
// attempts out.
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
			t.Errorf("%d attempts for %d requests, %d out, %v twice", counts.Total, len(answers), counts.InFlight, counts.Duplicated)
		}
		s.stop()
		return answers
	}
	candidate := scripted.NewModel(t, scripted.ModelBehavior{})
	without := day(host(candidate.Addr), func(int) {}, "share = 1", "share = 0")
	if counts := candidate.Counts(); counts.Total != 0 {
		t.Fatalf("%d copies with a share of 0", counts.Total)
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
		t.Errorf("%d copies, %v twice", counts.Total, counts.Duplicated)
	}
}

// Pressure on the live path, here by requests that wait for a server, drops copies and lets them
// back.
func TestShadowYieldsToPressure(t *testing.T) {
	candidate := scripted.NewModel(t, scripted.ModelBehavior{Stalls: true})
	s := startShadow(t, host(candidate.Addr), "held = 1000", "held = 1\n grace = \"30ms\"")
	s.served("q0")
	scripted.Receive(t, candidate.Started, "a copy")
	s.live.Set(scripted.ModelBehavior{Status: 503})
	for _, e := range []string{"Terminating", "Ready"} { // no server: requests are held
		s.p.applyServerList(mustList(t, scripted.List(9, false, scripted.ListEntry("s0", s.live.Addr, e))))
		if e == "Ready" {
			break
		}
		go s.ask("held", "held", nil)
		s.until("it yields", func(st mirror.Status) bool {
			return st.Level == "hard" && st.Ended[shadow.UnderPressure] > 0 && st.InFlight == 0
		})
		s.live.Set(scripted.ModelBehavior{})
	}
	s.until("it is calm again", func(st mirror.Status) bool { return st.Level == "calm" })
	s.served("q1")
	s.until("a copy is out", func(st mirror.Status) bool { return st.InFlight == 1 })
}
