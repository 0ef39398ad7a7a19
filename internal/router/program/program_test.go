package program

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"reachspread/internal/admission"
	"reachspread/internal/protocol"
	"reachspread/internal/router/processgroup"
	"reachspread/internal/testbed/scripted"
)

const platform = `{"az":"a","quantumNs":5000000,"services":[{"name":"chat","effect":"safe","streaming":true,` +
	`"aimNs":8000000000,"hardLimitNs":8000000000}],"limits":{"maxAttempts":3,"connectTimeoutNs":50000000,` +
	`"keepaliveNs":15000000000}}`

// configFile writes a valid configuration in which, for each pair, the first text is replaced by the
// second. It returns an environment whose ROUTER_CONFIG names the file.
func configFile(t testing.TB, pairs ...string) func(string) string {
	t.Helper()
	text := `{"name":"n1","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f30d27a5be964",` +
		`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":` + scripted.List(1, true) + `,"settings":` + platform + `}`
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("the configuration has no %q", pairs[i])
		}
		text = strings.Replace(text, pairs[i], pairs[i+1], 1)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	write(t, path, text)
	return func(name string) string { return map[string]string{"ROUTER_CONFIG": path}[name] }
}

func mustList(t testing.TB, text string) *protocol.List {
	t.Helper()
	l, err := protocol.ParseList([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func load(t testing.TB, env func(string) string) *Config {
	t.Helper()
	cfg, err := Load(env)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func write(t testing.TB, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// The error for an invalid configuration is one line that names the field.
func TestBadConfig(t *testing.T) {
	for _, tt := range []struct{ old, new, want string }{
		{`"127.0.0.1:0"`, `"nowhere"`, "listen: "},
		{`"127.0.0.1:1"`, `""`, "discovery: "},
		{`8c1f30d27a5be964`, `seed`, `seed: "seed"`},
		{`"cores":1.0`, `"cores":0`, "limits.cores is 0"},
		{`"memory_mb":192`, `"memory_mb":1`, "limits.memory_mb is 1"},
		{`"sockets":1024`, `"sockets":10`, "limits.sockets is 10"},
		{`"sockets":1024`, `"sockets":"many"`, "limits.sockets"},
		{`"servers":[]`, `"servers":[{"id":""}]`, "known.servers[0].id"},
		{`"effect":"safe"`, `"effect":"odd"`, "settings.services[0].effect"},
		{`"keepaliveNs":15000000000`, `"keepaliveNs":0`, "settings.limits.keepaliveNs is 0"},
		{`"connectTimeoutNs":50000000`, `"connectTimeoutNs":-1`, "settings.limits.connectTimeoutNs is -1"},
		{`"maxAttempts":3`, `"peers":true,"maxAttempts":3`, "settings.nInstances is 0"},
		{`"limits":{"maxAttempts":3`, `"me":9,"nInstances":9,"limits":{"peers":true,"maxAttempts":3`, "settings.me is 9"},
		{`"limits":{"maxAttempts":3`, `"me":1,"nInstances":9,"limits":{"peers":true,"maxAttempts":3`, "peer_listen:"},
	} {
		_, err := Load(configFile(t, tt.old, tt.new))
		if err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("configuration with %s: got %v, want one line with %q", tt.new, err, tt.want)
		}
	}
	if _, err := Load(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "ROUTER_CONFIG") {
		t.Errorf("without a configuration file: got %v, want an error about ROUTER_CONFIG", err)
	}
}

// The connections to clients and servers fit the descriptor limit, and request bodies may use at most
// a quarter of the memory limit.
func TestConnectionsFitTheLimits(t *testing.T) {
	c, err := Load(configFile(t, "n1", "n1"))
	if err != nil {
		t.Fatal(err)
	}
	if n := c.clients(); 2*n+reservedDescriptors > c.Limits.Sockets || 4*c.processLimits(processgroup.Siblings{}).bodies > c.Limits.MemoryMB<<20 {
		t.Errorf("%d clients with %d bytes of bodies do not fit the limits %+v", n, c.processLimits(processgroup.Siblings{}).bodies, c.Limits)
	}
}

// For any limits and settings, the descriptor shares of all owners fit the limit, and each owner that
// needs descriptors has a share.
func TestSharesFitTheLimit(t *testing.T) {
	env := configFile(t, "n1", "n1")
	path := filepath.Join(t.TempDir(), "settings.hcl")
	rapid.Check(t, func(t *rapid.T) {
		c, err := Load(env)
		if err != nil {
			t.Fatal(err)
		}
		c.Limits.Sockets = rapid.IntRange(reservedDescriptors+2*minClientConnections, 70000).Draw(t, "sockets")
		text := ""
		if rapid.Bool().Draw(t, "door") {
			text += fmt.Sprintf("door {\n reserve = %v\n step = %d\n}\n", rapid.Float64Range(0, 0.9).Draw(t, "reserve"), rapid.IntRange(1, 20).Draw(t, "step"))
		}
		if rapid.Bool().Draw(t, "status") {
			text += "status {\n folder = \"f\"\n}\n"
		}
		if rapid.Bool().Draw(t, "shadow") {
			text += fmt.Sprintf("shadow {\n records {\n folder = \"r\"\n }\n pool \"p\" {\n share = 1\n sockets = %d\n body_bytes = \"1KiB\"\n host \"h\" {\n addr = \"h:1\"\n }\n }\n}\n",
				rapid.IntRange(1, 64).Draw(t, "copies"))
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := c.ReadSettings(path); err != nil {
			if !strings.Contains(err.Error(), "descriptors") {
				t.Fatal(err)
			}
			return // the settings need too many descriptors and are refused
		}
		table := c.descriptorShares(c.processLimits(processgroup.Siblings{}))
		if table.TotalLimit() > table.Limit || table.Limit != c.Limits.Sockets {
			t.Errorf("shares of %d under a limit of %d: %+v", table.TotalLimit(), table.Limit, table)
		}
		for _, line := range table.Owners {
			needs := line.Owner == admission.UnknownClients || line.Owner == admission.OverflowClients || line.Owner == admission.Servers || line.Owner == admission.Runtime
			if line.Limit < 0 || needs && line.Limit == 0 {
				t.Errorf("%s has a share of %d under a limit of %d", line.Owner, line.Limit, table.Limit)
			}
		}
	})
}

// The program passes through all phases from start to exit. It is ready when a server is listed.
// After SIGTERM each answer ends its connection, accepted requests are finished, and the program
// exits by itself.
func TestPhases(t *testing.T) {
	more := make(chan bool)
	s := scripted.NewServer(t, scripted.GatedAnswer(more))
	d := scripted.NewDiscovery(t, scripted.List(1, true))
	lines := make(scripted.LogLines, 20)
	env := configFile(t, "127.0.0.1:1", d.Addr)
	p := New(load(t, env), env, "", lines)
	ctx, sigterm := context.WithCancel(context.Background())
	defer sigterm()
	exit := make(chan error, 1)
	go func() { exit <- p.Run(ctx, nil) }()
	enter := func(phase Phase) {
		t.Helper()
		if got := scripted.Receive(t, lines, string(phase)); got != fmt.Sprintf("phase name=%s", phase) || p.Phase() != phase {
			t.Fatalf("got the log line %q and phase %s, want phase %s", got, p.Phase(), phase)
		}
	}
	enter(Listing)
	d.Send(t, scripted.List(2, true, scripted.ListEntry("s0", s.Addr, "Ready")))
	enter(Serving)

	addr := p.ln.Addr().String()
	ready := func(want int) {
		t.Helper()
		r, err := http.NewRequest("GET", "http://"+addr+"/-/ready", nil)
		if err != nil {
			t.Fatal(err)
		}
		if status, _, _ := scripted.Do(t, r); status != want {
			t.Errorf("/-/ready answers %d, want %d", status, want)
		}
	}
	ready(200)
	type end struct {
		close bool
		body  string
		err   error
	}
	ends := make(chan end, 2)
	ask := func(id string) {
		resp, err := http.DefaultClient.Do(scripted.NewRequest(t, addr, id, nil))
		if err != nil {
			ends <- end{err: err}
			return
		}
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		ends <- end{resp.Close, string(body), err}
	}
	go ask("before")
	scripted.Receive(t, s.Requests, "the first attempt")
	sigterm()
	enter(Terminating)
	ready(503)
	go ask("after")
	scripted.Receive(t, s.Requests, "an attempt while leaving")
	enter(Finishing)
	scripted.Send(t, more, true)
	scripted.Send(t, more, true)
	closes := 0
	for range 2 {
		e := scripted.Receive(t, ends, "an answer")
		if e.err != nil || e.body != scripted.Event+scripted.Done {
			t.Errorf("got the answer %q, %v; want it complete", e.body, e.err)
		}
		if e.close {
			closes++
		}
	}
	if closes == 0 {
		t.Error("no answer after SIGTERM ended its connection")
	}
	enter(Stopped)
	if err := scripted.Receive(t, exit, "exit"); err != nil {
		t.Error(err)
	}
}

// After a reload the router watches the discovery service that the file names, whatever the
// environment says. It requests the complete list there, although that service has lower versions.
// An invalid file changes nothing, and an open stream continues.
func TestReload(t *testing.T) {
	more := make(chan bool)
	s := scripted.NewServer(t, scripted.GatedAnswer(more))
	fresh := scripted.NewServer(t, scripted.Answer(scripted.CompleteAnswer()))
	d := scripted.NewDiscovery(t, scripted.List(41, true, scripted.ListEntry("s0", s.Addr, "Ready")))
	d2 := scripted.NewDiscovery(t, scripted.List(7, true, scripted.ListEntry("s1", fresh.Addr, "Ready")))
	file := configFile(t, "127.0.0.1:1", d.Addr)
	path := file("ROUTER_CONFIG")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	lines := make(scripted.LogLines, 20)
	env := func(name string) string {
		if name == "ROUTER_DISCOVERY" {
			return d.Addr
		}
		return file(name)
	}
	p := New(load(t, env), env, "", lines)
	ctx, sigterm := context.WithCancel(context.Background())
	defer sigterm()
	sighup, exit := make(chan os.Signal), make(chan error, 1)
	go func() { exit <- p.Run(ctx, sighup) }()
	expect := func(want string) {
		t.Helper()
		if got := scripted.Receive(t, lines, want); !strings.HasPrefix(got, want) {
			t.Fatalf("got the log line %q, want %q", got, want)
		}
	}
	expect("phase name=listing")
	expect("phase name=serving")
	ends := make(chan string, 1)
	go func() {
		_, body, err := scripted.Do(t, scripted.NewRequest(t, p.ln.Addr().String(), "held", nil))
		ends <- fmt.Sprint(body, err)
	}()
	scripted.Receive(t, s.Requests, "an attempt")

	for _, bad := range []string{"{", strings.Replace(string(text), d.Addr, "nowhere", 1)} {
		write(t, path, bad)
		sighup <- syscall.SIGHUP
		expect("configuration reload refused cause=")
	}
	write(t, path, strings.Replace(string(text), d.Addr, d2.Addr, 1))
	sighup <- syscall.SIGHUP
	expect("reloaded discovery=" + d2.Addr)
	for _, want := range []string{"/api/targets", "/api/targets?index=7&wait=5000"} {
		if got := scripted.Receive(t, d2.Calls, want); got != want {
			t.Errorf("the new discovery service got the call %s, want %s", got, want)
		}
	}
	if status, body, err := scripted.Do(t, scripted.NewRequest(t, p.ln.Addr().String(), "q", nil)); status != 200 || err != nil {
		t.Errorf("a request after the reload got %d %q, %v; want it served by the server in the new list", status, body, err)
	}
	scripted.Send(t, more, true)
	if got := scripted.Receive(t, ends, "the held answer"); got != scripted.Event+scripted.Done+"<nil>" {
		t.Errorf("the open stream ended with %q, want a complete answer", got)
	}
	sigterm()
	expect("phase name=leaving")
	if err := scripted.Receive(t, exit, "exit"); err != nil {
		t.Error(err)
	}
}

// The page for on-call staff documents every message that the code under internal logs.
func TestLogLinesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	var files []string
	for _, pattern := range []string{"../../*/*.go", "../../*/*/*.go", "../../*/*/*/*.go"} {
		matches, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, matches...)
	}
	found := 0
	for _, file := range files {
		code, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range regexp.MustCompile(`log\.(?:Info|Warn)\("([^"]+)"`).FindAllSubmatch(code, -1) {
			found++
			if !strings.Contains(string(page), "| `"+string(m[1])+"` |") {
				t.Errorf("%s logs %q, which docs/oncall.md lacks", file, m[1])
			}
		}
	}
	if found == 0 {
		t.Error("no log line found")
	}
}

// If the block fleet omits addresses that the configuration does not supply, reading the settings
// fails with a one-line error.
func TestFleetNeeds(t *testing.T) {
	for text, want := range map[string]string{
		"fleet {}\n": "fleet needs seeds and address: the configuration names no peers",
		"fleet {\n address = \"127.0.0.1:7\"\n seeds = [\"127.0.0.1:8\"]\n}\n":                            "fleet needs listen: the configuration has no peer_listen",
		"fleet {\n name = \"a b\"\n}\n":                                                                   ":2: name is \"a b\"",
		"fleet {\n address = \"127.0.0.1:7\"\n listen = \"127.0.0.1:7\"\n seeds = [\"127.0.0.1:8\"]\n}\n": "",
	} {
		path := filepath.Join(t.TempDir(), "settings.hcl")
		write(t, path, text)
		err := load(t, configFile(t, "127.0.0.1:1", "127.0.0.1:2")).ReadSettings(path)
		if want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("settings %s: got %v, want %q", text, err, want)
		}
	}
}
