package program

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"reachspread/internal/router/recovery"
	"reachspread/internal/router/snapshot"
	"reachspread/internal/testbed/scripted"
)

func recoverySettings(t *testing.T, folder string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.hcl")
	write(t, path, fmt.Sprintf("recovery {\n  folder = %q\n}\n", folder))
	return path
}

func freeAddr(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// A second router on one folder ends with a line that names the first, which serves on and has the
// folder still.
func TestTwoOnOneFolder(t *testing.T) {
	t.Parallel()
	binary, folder := buildRouter(t), t.TempDir()
	host := scripted.NewModel(t, scripted.ModelBehavior{Events: 1})
	settings := recoverySettings(t, folder)
	first := startRouter(t, binary, []*scripted.Model{host}, "--settings", settings)
	second := launchRouter(t, freeAddr(t), binary, []string{scripted.ListEntry("s0", host.Addr, "Ready")}, "--settings", settings)
	second.until(fmt.Sprintf("another process has it: number %d", first.cmd.Process.Pid))
	if err := second.cmd.Wait(); err == nil || second.cmd.ProcessState.ExitCode() != 1 {
		t.Errorf("the second ended with %v", second.cmd.ProcessState)
	}
	if status, _, _ := scripted.Do(t, scripted.NewRequest(t, first.addr, "q", nil)); status != 200 {
		t.Errorf("the first answers %d", status)
	}
}

// The log says who was asked for a measure and who has answered, eight names of each at most.
func TestMissingMeasureIsLogged(t *testing.T) {
	lines := make(scripted.LogLines, 10)
	p := New(&Config{}, func(string) string { return "" }, "", lines)
	var asked []string
	for i := range maxLoggedNames + 1 {
		asked = append(asked, fmt.Sprint("r", i))
	}
	p.carryOutRecovery(nil, nil, recovery.MeasureMissing{Rounds: 3, Alive: 11, Asked: asked, Answered: asked[:2], Ended: "this router has its own"})
	const want = "measure of others missing rounds=3 alive=11 asked=r0,r1,r2,r3,r4,r5,r6,r7,... answered=r0,r1 ended=this router has its own"
	if got := scripted.Receive(t, lines, "a line"); got != want {
		t.Errorf("got %q", got)
	}
}

// TestMeasureSnapshots measures what snapshots cost: two routers before the same hosts and a list
// of 1,000, one of which keeps what it knows, by turns.
func TestMeasureSnapshots(t *testing.T) {
	if !*measure {
		t.Skip("a measurement; see docs/measurements/")
	}
	live := models(t, 4, scripted.ModelBehavior{FirstDelay: 10 * time.Millisecond, EventInterval: 3 * time.Millisecond, Events: 20})
	var entries []string
	for i := range 1000 {
		state := "Terminating"
		if i < len(live) {
			state = "Ready"
		}
		entries = append(entries, scripted.ListEntry(fmt.Sprint("s", i), live[i%len(live)].Addr, state))
	}
	binary, folder := buildRouter(t), t.TempDir()
	routers := map[string]*process{}
	for name, args := range map[string][]string{"without": nil, "with": {"--settings", recoverySettings(t, folder)}} {
		routers[name] = launchRouter(t, freeAddr(t), binary, entries, args...)
		routers[name].until("serving")
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	sums, cpu, idle := map[string]*hdrhistogram.Histogram{}, map[string]time.Duration{}, map[string]time.Duration{}
	for round := range *rounds {
		for _, name := range []string{"without", "with"} {
			p := routers[name]
			before, _ := p.used()
			h, failed := load200(t, client, p.addr, fmt.Sprint(name, round), *seconds, *rate)
			after, _ := p.used()
			cpu[name] += after - before
			if sums[name] == nil {
				sums[name] = hdrhistogram.New(1, 60e6, 3)
			}
			sums[name].Merge(h)
			t.Logf("%-8s %d requests, %d failed, p50 %.2f ms, p99 %.2f ms, CPU %v", name, h.TotalCount(), failed, float64(h.ValueAtQuantile(50))/1000,
				float64(h.ValueAtQuantile(99))/1000, after-before)
		}
	}
	for name, p := range routers {
		before, _ := p.used()
		time.Sleep(time.Duration(*seconds) * time.Second) // idle, for a measure
		after, _ := p.used()
		idle[name] = after - before
	}
	for _, name := range []string{"without", "with"} {
		h := sums[name]
		t.Logf("all, %-8s p50 %.2f ms, p99 %.2f ms, CPU %v under load, %v idle in %d s", name, float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000,
			cpu[name], idle[name], *seconds)
	}
	for _, name := range append(snapshot.GenerationFiles[:], snapshot.OpenRequestsFile) {
		if info, err := os.Stat(filepath.Join(folder, name)); err == nil {
			t.Logf("%s: %d bytes", name, info.Size())
		} else if !strings.HasSuffix(name, "open") {
			t.Error(err)
		}
	}
}
