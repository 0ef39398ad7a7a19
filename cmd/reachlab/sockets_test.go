package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"reachspread/internal/router/capture"
	"reachspread/internal/router/program"
	"reachspread/internal/testbed/scripted"
)

const smallExperiment = `seeds = 1
length = "2s"
group "g" {
  hosts = 2
}
class "chat" {
  aim      = "2s"
  deadline = "4s"
  rate     = 20
  turns    = 2
  think    = "1s"
  out_median = 20
}
fault "kill" {
  at     = "500ms"
  length = "500ms"
  hosts  = [1]
}
`

// run executes a command line, whose output goes to out, until it ends or ctx ends.
func run(ctx context.Context, t *testing.T, out *scripted.Output, args ...string) error {
	t.Helper()
	c := command()
	c.SetArgs(args)
	c.SetOut(out)
	c.SetErr(&bytes.Buffer{})
	return c.ExecuteContext(ctx)
}

// The real router serves the load of an experiment on the fleet of the same experiment while a host is
// killed and restarted. A simulated run of the fleet then accepts the requests that the router
// captured as its load.
func TestFleetRouterAndLoad(t *testing.T) {
	dir := t.TempDir()
	in := func(name string) string { return filepath.Join(dir, name) }
	for name, text := range map[string]string{"x.hcl": smallExperiment, "settings.hcl": fmt.Sprintf("capture {\n file = %q\n}\n", in("c.ndjson")),
		"again.hcl": strings.Replace(smallExperiment, "seeds = 1", "seeds = 2\ncaptured = \"c.ndjson\"", 1)} {
		if err := os.WriteFile(in(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var fleet scripted.Output
	served := make(chan error, 1)
	go func() {
		served <- run(ctx, t, &fleet, "serve-fleet", in("x.hcl"), "--config", in("router.json"), "--listen", addr)
	}()
	fleet.Wait(t, "to route to them")

	env := func(name string) string { return map[string]string{"ROUTER_CONFIG": in("router.json")}[name] }
	cfg, err := program.Load(env)
	if err != nil {
		t.Fatal(err)
	}
	if err := cfg.ReadSettings(in("settings.hcl")); err != nil {
		t.Fatal(err)
	}
	lines := make(scripted.LogLines, 1000)
	routerCtx, term := context.WithCancel(context.Background())
	defer term()
	exit := make(chan error, 1)
	go func() { exit <- program.New(cfg, env, in("settings.hcl"), lines).Run(routerCtx, nil) }()
	for !strings.HasPrefix(scripted.Receive(t, lines, "serving"), "phase name=serving") {
	}
	var table scripted.Output
	if err := run(ctx, t, &table, "load", in("x.hcl"), "--router", addr); err != nil {
		t.Fatal(err)
	}
	asked, good := tally(t, table.String())
	if asked < 20 || good < asked/2 {
		t.Errorf("%d requests were sent and %d succeeded in time, want at least 20 and half of them:\n%s", asked, good, table.String())
	}
	term()
	if err := scripted.Receive(t, exit, "the router's end"); err != nil {
		t.Fatal(err)
	}
	_, all, err := capture.Read(in("c.ndjson"))
	if err != nil || len(all) < asked {
		t.Fatalf("the router captured %d of %d requests, error %v", len(all), asked, err)
	}
	var again scripted.Output
	if err := run(ctx, t, &again, "run", in("again.hcl")); err != nil {
		t.Fatal(err)
	}
	fleet.Wait(t, "host-2: kill ends")
	stop()
	if err := scripted.Receive(t, served, "the fleet's end"); err != nil {
		t.Error(err)
	}
}

// tally reads how many requests were sent, and how many were served in time, from a table of the load
// command.
func tally(t *testing.T, text string) (asked, good int) {
	t.Helper()
	m := regexp.MustCompile(`(?m)^chat +(\d+) +(\d+)`).FindStringSubmatch(text)
	if m == nil {
		t.Fatalf("the table has no row for class chat:\n%s", text)
	}
	fmt.Sscan(m[1], &asked)
	fmt.Sscan(m[2], &good)
	return asked, good
}

// Unusable arguments and files are reported in one line that names the file, the line and the field.
// The load command refuses addresses that are not on this machine.
func TestBadCalls(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	head := `{"capture":1,"from":"2026-01-02T03:04:05Z"}` + "\n"
	x := write("x.hcl", smallExperiment)
	for _, tt := range []struct {
		args []string
		want string
	}{
		{[]string{"load", x, "--router", "10.0.0.1:80"}, "loopback addresses only"},
		{[]string{"load", x, "--router", "nowhere"}, "--router: "},
		{[]string{"load", x, "--capture", write("a", head)}, "a:1: the capture has no requests"},
		{[]string{"load", x, "--capture", write("b", head+`{"at_ns":1,"class":"odd","session":"s","prompt":1,"left_ns":1}`+"\n")}, `b:2: class "odd" is not a class of the experiment`},
		{[]string{"load", x, "--capture", write("c", head+`{"at_ns":1,`)}, "c:2: the line is cut off"},
		{[]string{"run", write("d.hcl", strings.Replace(smallExperiment, "seeds = 1", "seeds = 1\ncaptured = \"gone\"", 1))}, "gone: no such file"},
		{[]string{"check", write("e.hcl", strings.Replace(smallExperiment, `fault "kill"`, `fault "odd"`, 1))}, `e.hcl:14: fault "odd" is unknown`},
		{[]string{"check", write("f.hcl", strings.Replace(smallExperiment, `[1]`, `["a"]`, 1))}, "f.hcl:17: hosts must be a list of whole numbers, from 0"},
		{[]string{"serve-fleet", x, "--config", x}, "file exists"},
	} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		var out scripted.Output
		if err := run(ctx, t, &out, tt.args...); err == nil || !strings.Contains(err.Error(), tt.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%v: got %v, want %q", tt.args, err, tt.want)
		}
		cancel()
	}
}
