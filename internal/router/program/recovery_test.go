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

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/router/recovery"
	"reachspread/internal/router/settings"
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

// If a second router starts with the folder of a running one, it exits with status 1 and a line that
// names the process of the first. The first router continues to serve and holds the folder.
func TestTwoOnOneFolder(t *testing.T) {
	t.Parallel()
	binary, folder := buildRouter(t), t.TempDir()
	host := scripted.NewModel(t, scripted.ModelBehavior{Events: 1})
	settings := recoverySettings(t, folder)
	first := startRouter(t, binary, []*scripted.Model{host}, "--settings", settings)
	second := launchRouter(t, freeAddr(t), binary, []string{scripted.ListEntry("s0", host.Addr, "Ready")}, "--settings", settings)
	second.awaitLog(fmt.Sprintf("locked by another process: process ID %d", first.cmd.Process.Pid))
	if err := second.cmd.Wait(); err == nil || second.cmd.ProcessState.ExitCode() != 1 {
		t.Errorf("the second router ended with %v, want exit status 1", second.cmd.ProcessState)
	}
	if status, _, _ := scripted.Do(t, scripted.NewRequest(t, first.addr, "q", nil)); status != 200 {
		t.Errorf("the first router answers with status %d, want 200", status)
	}
}

// Guards against routers without a measure of a warm host after a power loss. While hosts warm up,
// the router and those that query it have no measure but the saved one, so the first measure is saved
// at once. It comes from few requests, so the measure is saved again each time its age has doubled.
func TestFirstMeasureIsSavedAtOnce(t *testing.T) {
	folder := t.TempDir()
	p := New(&Config{Name: "r0", set: &settings.Settings{Recovery: &settings.Recovery{Folder: folder, Discovery: "d"}}}, func(string) string { return "" }, "", make(scripted.LogLines, 10))
	p.gate = &recoveryGate{gate: recovery.NewGate(balance.Config{}, nil, 1)}
	k := &p.snapshots
	k.enabled, k.startedAt = true, time.Now()
	k.mergeList(&protocol.List{Version: 1, Full: true})
	last := p.writeSnapshot(folder, "")
	if l := savedLearned(t, folder); l != nil {
		t.Fatalf("%+v was saved before anything was learned", l)
	}
	work := 0.0
	for _, x := range []struct {
		age  time.Duration // of the first measure
		want float64       // the saved mean
	}{{0, 1}, {100 * time.Millisecond, 1}, {1050 * time.Millisecond, 3}, {2050 * time.Millisecond, 4}, {3050 * time.Millisecond, 4}, {4050 * time.Millisecond, 6}, {7 * time.Second, 6},
		{8050 * time.Millisecond, 8}, {time.Hour, 8}} {
		work++
		k.baseline = recovery.Baseline{}
		p.recordLearned(time.Second, balance.Learned{CompletedWork: work, MeanWork: 1})
		l := *k.learned.Load()
		l.since = time.Now().Add(-x.age)
		k.learned.Store(&l)
		last = p.writeSnapshot(folder, last)
		if l := savedLearned(t, folder); l == nil || l.CompletedWork != x.want {
			t.Errorf("%v after the first measure, the saved values are %+v, want completed work %v", x.age, l, x.want)
		}
	}
}

// savedLearned returns the learned values in the newest snapshot in a folder, nil without any.
func savedLearned(t *testing.T, folder string) *balance.Learned {
	t.Helper()
	var files [2][]byte
	for i, name := range snapshot.GenerationFiles {
		files[i], _ = os.ReadFile(filepath.Join(folder, name))
	}
	s, _, errs := snapshot.Newest(files)
	if s == nil {
		t.Fatal(errs)
	}
	return s.Learned
}

// If no queried router has a measure, the log line names the routers that were queried and those that
// answered, at most eight of each.
func TestMissingMeasureIsLogged(t *testing.T) {
	lines := make(scripted.LogLines, 10)
	p := New(&Config{}, func(string) string { return "" }, "", lines)
	var asked []string
	for i := range maxLoggedNames + 1 {
		asked = append(asked, fmt.Sprint("r", i))
	}
	p.carryOutRecovery(nil, nil, recovery.MeasureMissing{Rounds: 3, Alive: 11, Asked: asked, Answered: asked[:2], Ended: "this router has its own"})
	const want = "no queried router has a host measure rounds=3 alive=11 asked=r0,r1,r2,r3,r4,r5,r6,r7,... answered=r0,r1 ended=this router has its own"
	if got := scripted.Receive(t, lines, "a line"); got != want {
		t.Errorf("wrong log line for a missing measure: %q", got)
	}
}

// TestMeasureSnapshots measures the cost of snapshots. Of two routers with the same hosts and a list
// of 1,000 servers, only one writes snapshots. The runs of the two alternate.
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
		routers[name].awaitLog("serving")
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	sums, cpu, idle := map[string]*hdrhistogram.Histogram{}, map[string]time.Duration{}, map[string]time.Duration{}
	for round := range *rounds {
		for _, name := range []string{"without", "with"} {
			p := routers[name]
			before, _ := p.resourceUse()
			h, failed := openLoopLoad(t, client, p.addr, fmt.Sprint(name, round), *seconds, *rate)
			after, _ := p.resourceUse()
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
		before, _ := p.resourceUse()
		time.Sleep(time.Duration(*seconds) * time.Second) // measures the CPU time of an idle router
		after, _ := p.resourceUse()
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
