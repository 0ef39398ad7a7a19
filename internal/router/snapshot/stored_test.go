package snapshot

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/testbed/golden"
)

// Encode wrote the files under testdata at commit 5bfcc27. The command to write them is
// WRITE_GOLDEN=1 go test -run Golden.

// goldenState returns a State with a value in every field.
func goldenState(generation uint32) *State {
	return &State{
		Router: "r1", Zone: "east", Boot: 7 + generation, SavedAt: time.Unix(1_800_000_000, 0).UTC(),
		List: &protocol.List{Version: 12, Full: true, Servers: []protocol.ListedServer{
			{ID: "host-1", Addr: "10.1.0.1:9000", Zone: "east", Kind: "gpu-a", Cell: 3, State: "Ready", StartedMs: 1.8e12},
			{ID: "host-2", Addr: "10.1.0.2:9000", Zone: "west", Kind: "gpu-b", Cell: 4, State: "Terminating", StartedMs: 1.7e12},
		}},
		ListSource: "10.0.0.9:8500",
		Learned: &balance.Learned{CompletedWork: 1.5, MeanWork: 0.02, DecodeTimes: map[string]float64{"chat": 2, "code": 7.25},
			PrefillByKind: map[string]balance.PrefillLine{"gpu-a": {XX: 3, XY: 0.5}},
			Replicas:      []balance.LearnedReplica{{Replica: "host-1", StartedAt: 5 * time.Second, ConcurrencyLimit: 24.5, LatencyRatio: 1.25}}},
		Demand:      map[string]float64{"chat": 3.5, "code": 0.25},
		Incarnation: 4, HighestToken: 1 << 60, SettingsDigest: "00c0ffee00c0ffee",
		Routers:      []Router{{Name: "r1", Addr: "10.0.0.1:7946", Boot: 5}, {Name: "r2", Addr: "10.0.0.2:7946", Boot: 6}},
		Drained:      true,
		OpenRequests: []OpenRequest{{ID: "x-1", Class: "chat"}, {ID: "x-2", Class: "code"}}, OmittedRequests: 9,
	}
}

// Decode and Newest read the stored files of both generations as the states that were written, and
// Encode still produces the same bytes.
func TestGoldenFiles(t *testing.T) {
	var files [2][]byte
	for i, name := range GenerationFiles {
		generation := uint64(8 + i)
		want := goldenState(uint32(i))
		golden.Complete(t, want)
		encoded, err := Encode(want, generation)
		if err != nil {
			t.Fatal(err)
		}
		golden.Same(t, name, encoded)
		files[i] = golden.File(t, name, encoded)
		got, g, err := Decode(files[i])
		if diff := cmp.Diff(want, got); err != nil || g != generation || diff != "" {
			t.Errorf("%s is decoded with generation %d, error %v and this difference:\n%s", name, g, err, diff)
		}
	}
	got, generation, errs := Newest(files)
	if diff := cmp.Diff(goldenState(1), got); generation != 9 || errs != [2]error{} || diff != "" {
		t.Errorf("Newest returns generation %d, not 9, errors %v and this difference:\n%s", generation, errs, diff)
	}
}

// The file of open requests holds a state with only the router's name and its open requests. Its
// generation is 0.
func TestGoldenOpenRequests(t *testing.T) {
	want := &State{Router: "r1", OpenRequests: []OpenRequest{{ID: "x-1", Class: "chat"}, {ID: "x-2", Class: "code"}}, OmittedRequests: 9}
	encoded, err := Encode(want, 0)
	if err != nil {
		t.Fatal(err)
	}
	golden.Same(t, OpenRequestsFile, encoded)
	got, generation, err := Decode(golden.File(t, OpenRequestsFile, encoded))
	if diff := cmp.Diff(want, got); err != nil || generation != 0 || diff != "" {
		t.Errorf("the file is decoded with generation %d, error %v and this difference:\n%s", generation, err, diff)
	}
}

// The file names are the ones that deployed routers have on their disks.
func TestGoldenNames(t *testing.T) {
	for _, name := range []string{"router.0.snap", "router.1.snap", "router.open"} {
		if _, err := os.Stat(filepath.Join("testdata", name)); err != nil {
			t.Error(err)
		}
	}
}
