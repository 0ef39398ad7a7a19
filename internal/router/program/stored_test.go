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

// The files under testdata were written by the code of commit 5bfcc27: WRITE_GOLDEN=1 go test -run
// Golden. The folder kept is one of a router that was killed: two generations, the requests that
// were open, its lock, and a file in the making.

// goldenSnapshot is what the router of configFile has left in a generation.
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

// goldenFolder copies the folder that was kept, and returns the copy.
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

// A router takes up what the folder of a life before has, and keeps the next generation beside the
// younger one, with all that it has learned nothing newer of.
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
			t.Fatal("no younger generation is kept")
		}
	}
	stop()
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(goldenSnapshot(41), p.snapshots.previous); diff != "" {
		t.Errorf("what was there is read as\n%s", diff)
	}
	for line := ""; !strings.HasPrefix(line, "snapshot read"); {
		if line = scripted.Receive(t, lines, "the line of the snapshot"); strings.HasPrefix(line, "snapshot read") && !strings.HasSuffix(line, " work=1.5s") {
			t.Errorf("what a warm host did is not in %q", line)
		}
	}
	if n := p.countUnanswered(goldenFolder(t)); n != 7 {
		t.Errorf("%d requests count as unanswered", n)
	}
	want := goldenSnapshot(41)
	want.List, want.SavedAt, want.SettingsDigest = got.List, got.SavedAt, got.SettingsDigest // anew
	want.Boot, want.Zone, want.Routers = 0, "", got.Routers                                  // there is no fleet view
	want.Learned.Replicas = got.Learned.Replicas                                             // of hosts that are listed, once the module was asked
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the next generation has\n%s", diff)
	}
	if got.SavedAt.IsZero() || len(got.SettingsDigest) != 16 || len(got.List.Servers) != 1 {
		t.Errorf("the next generation has %+v", got)
	}
	if _, err := os.Stat(filepath.Join(folder, "router.open")); err != nil {
		t.Error(err)
	}
}

// The scribe's record is read as it was written, written the same, and a copy of it is kept unless
// it is older than the one at hand.
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
		t.Errorf("a record of token %d is at hand", highest)
	}
	if kept, err := os.ReadFile(filepath.Join(folder, "fleet-record.copy.json")); err != nil || string(kept) != string(text) {
		t.Errorf("%q, %v", kept, err)
	}
	if highest := newProgram().storeCopy(76, text); highest != 77 { // another process: what it knows is in the file
		t.Errorf("an older record is answered with %d", highest)
	}
}
