package program

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/router/settings"
	"reachspread/internal/router/snapshot"
	"reachspread/internal/testbed/golden"
	"reachspread/internal/testbed/scripted"
)

// The code of commit 5bfcc27 wrote the files under testdata, with WRITE_GOLDEN=1 go test -run Golden.
// The folder testdata/kept is that of a router that was killed: two generations of the snapshot, the
// open requests, the lock, and an incomplete temporary file.

// goldenSnapshot returns the state that the router of configFile saved in a generation.
func goldenSnapshot(generation int) *snapshot.State {
	return &snapshot.State{
		Router: "n1", Zone: "east", Boot: 7, SavedAt: time.Unix(1_800_000_000, 0).UTC(),
		List: &protocol.List{Version: 12, Full: true, Servers: []protocol.ListedServer{
			{ID: "host-1", Addr: "127.0.0.1:9", Zone: "a", Kind: "gpu-a", Cell: 3, State: "Ready", StartedMs: 1.8e12},
			{ID: fmt.Sprint("host-", generation), Addr: "127.0.0.1:10", Zone: "b", Kind: "gpu-b", Cell: 4, State: "Terminating", StartedMs: 1.7e12},
		}},
		ListSource: "list.example",
		Learned: &balance.Learned{CompletedWork: 1.5, MeanWork: 0.02, DecodeTimes: map[string]float64{"chat": 2}, PrefillByKind: map[string]balance.PrefillLine{"gpu-a": {XX: 3, XY: 0.5}},
			Replicas: []balance.LearnedReplica{{Replica: "host-1", StartedAt: 5 * time.Second, ConcurrencyLimit: 24.5, LatencyRatio: 1.25}}},
		Demand: map[string]float64{"chat": 3.5}, Incarnation: 4, HighestToken: 1 << 60, SettingsDigest: "00c0ffee00c0ffee",
		Routers: []snapshot.Router{{Name: "n1", Addr: "10.0.0.1:7946", Boot: 7}, {Name: "n2", Addr: "10.0.0.2:7946", Boot: 6}},
	}
}

// goldenFolder copies the folder testdata/kept and returns the path of the copy.
func goldenFolder(t *testing.T) string {
	t.Helper()
	encoded := func(s *snapshot.State, generation uint64) []byte {
		text, err := snapshot.Encode(s, generation)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	open := encoded(&snapshot.State{Router: "n1", OpenRequests: []snapshot.OpenRequest{{ID: "x-1", Class: "chat"}, {ID: "x-2", Class: "chat"}}, OmittedRequests: 5}, 0)
	younger := encoded(goldenSnapshot(41), 41)
	folder := t.TempDir()
	for name, made := range map[string][]byte{"router.0.snap": encoded(goldenSnapshot(40), 40), "router.1.snap": younger, "router.open": open,
		"router.lock": []byte("4194304000"), "router.0.snap.2085132717.new": younger[:100]} {
		text := golden.File(t, filepath.Join("kept", name), made)
		golden.Same(t, filepath.Join("kept", name), made)
		if err := os.WriteFile(filepath.Join(folder, name), text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return folder
}

// A router reads the state in the folder of its previous incarnation. It writes the next generation
// over the older file, and retains those values for which it has learned nothing newer.
func TestGoldenFolder(t *testing.T) {
	folder := goldenFolder(t)
	d := scripted.NewDiscovery(t, scripted.List(1, true, scripted.ListEntry("s0", "127.0.0.1:9", "Ready")))
	env := configFile(t, "127.0.0.1:1", d.Addr)
	path := filepath.Join(t.TempDir(), "settings.hcl")
	write(t, path, fmt.Sprintf("recovery {\n  folder = %q\n  discovery = \"list.example\"\n}\n", folder))
	cfg := load(t, env)
	if err := cfg.ReadSettings(path); err != nil {
		t.Fatal(err)
	}
	lines := make(scripted.LogLines, 1000)
	p := New(cfg, env, path, lines)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- p.Run(ctx, nil) }()
	next := filepath.Join(folder, "router.0.snap")
	var got *snapshot.State
	for deadline := time.Now().Add(scripted.EventTimeout); ; time.Sleep(10 * time.Millisecond) {
		text, err := os.ReadFile(next)
		if err != nil {
			t.Fatal(err)
		}
		if s, generation, err := snapshot.Decode(text); err == nil && generation >= 42 && s.List.Version == 1 {
			got = s
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no newer generation was written in time")
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenSnapshot(41), p.snapshots.previous); diff != "" {
		t.Errorf("state of the previous incarnation (-want +got):\n%s", diff)
	}
	for line := ""; !strings.HasPrefix(line, "snapshot read"); {
		if line = scripted.Receive(t, lines, "the line of the snapshot"); strings.HasPrefix(line, "snapshot read") && !strings.HasSuffix(line, " work=1.5s") {
			t.Errorf("the log line %q lacks the measure of a warm host", line)
		}
	}
	if n := p.countUnanswered(goldenFolder(t)); n != 7 {
		t.Errorf("%d requests count as unanswered, want 7", n)
	}
	want := goldenSnapshot(41)
	want.List, want.SavedAt, want.SettingsDigest = got.List, got.SavedAt, got.SettingsDigest // values of the new process
	want.Boot, want.Zone, want.Routers = 0, "", got.Routers                                  // there is no fleet view
	want.Learned.Replicas = got.Learned.Replicas                                             // values of listed hosts, present only after the balancer was asked for what it learned
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("next generation (-want +got):\n%s", diff)
	}
	if got.SavedAt.IsZero() || len(got.SettingsDigest) != 16 || len(got.List.Servers) != 1 {
		t.Errorf("the next generation has no time, no settings digest, or not 1 server: %+v", got)
	}
	if _, err := os.Stat(filepath.Join(folder, "router.open")); err != nil {
		t.Error(err)
	}
}

// The format of the fleet's record does not change: the golden file decodes to the same record, and
// the record encodes to the same bytes. A router stores a copy of a record unless its token is lower
// than that of the stored copy.
func TestGoldenFleetRecord(t *testing.T) {
	want := Record{Version: 1, Token: 77, Scribe: "r1", At: time.Unix(1_800_000_000, 0).UTC(), List: 12, Settings: "00c0ffee00c0ffee", View: 9, Digest: "0123456789abcdef",
		Routers: []string{"r1", "r2"}, Largest: 78}
	golden.Complete(t, want)
	made, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, "fleet-record.json", made)
	text := golden.File(t, "fleet-record.json", made)
	var got Record
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	folder := t.TempDir()
	newProgram := func() *Program {
		return New(&Config{set: &settings.Settings{Roles: &settings.Roles{Folder: folder}}}, func(string) string { return "" }, "", make(scripted.LogLines, 10))
	}
	if highest := newProgram().storeCopy(77, text); highest != 0 {
		t.Errorf("storing the first copy returned token %d, want 0", highest)
	}
	if kept, err := os.ReadFile(filepath.Join(folder, "fleet-record.copy.json")); err != nil || string(kept) != string(text) {
		t.Errorf("the stored copy is %q, %v; want the record unchanged", kept, err)
	}
	if highest := newProgram().storeCopy(76, text); highest != 77 { // a new process reads the token from the file
		t.Errorf("storing a record with a lower token returned %d, want 77", highest)
	}
}
