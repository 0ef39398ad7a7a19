package experiment

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/golden"
)

// The folder testdata/kept was left by Keep at commit 5bfcc27 after the small experiment of this
// package's tests: WRITE_GOLDEN=1 go test -run Golden. The schedule is a copy of that of package
// faults, written at the same commit.

// A kept run is read as it was left, and the same experiment leaves the same files.
func TestGoldenKeptRun(t *testing.T) {
	x, err := Parse([]byte(good), "day.hcl")
	if err != nil {
		t.Fatal(err)
	}
	runs, err := x.Play(context.Background(), 2, nil)
	if err != nil {
		t.Fatal(err)
	}
	folder := filepath.Join(t.TempDir(), "kept")
	if err := x.Keep(folder, runs); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{SpecFile, RunsFile, SummaryFile, TableFile, ExperimentFile} {
		made, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil {
			t.Fatal(err)
		}
		golden.Same(t, filepath.Join("kept", name), made)
	}
	got, keptRuns, err := Open(filepath.Join("testdata", "kept"))
	if err != nil {
		t.Fatal(err)
	}
	if !cmp.Equal(got.Seeds, x.Seeds) || got.Worlds() != x.Worlds() || len(keptRuns) != len(runs) {
		t.Fatalf("%d runs of %d worlds", len(keptRuns), got.Worlds())
	}
	for i, k := range keptRuns {
		r := runs[i]
		if k.Variant != r.Variant || k.Seed != r.Seed || k.Broken != r.Broken || k.g() != r.Result.G() || len(k.Result.Seconds) != len(r.Result.Seconds) ||
			len(k.Result.Classes) != 1 || k.Result.Classes[0].Asked != r.Result.Classes[0].Asked || k.Result.Classes[0].Good != r.Result.Classes[0].Good {
			t.Errorf("run %d is read as %+v", i, k)
		}
	}
	if diff := cmp.Diff(Compare(runs), CompareRuns(keptRuns)); diff != "" {
		t.Error(diff)
	}
}

// A schedule with every kind of fault is read as it was, and written again as it stands.
func TestGoldenScheduleIsRead(t *testing.T) {
	text, err := os.ReadFile(filepath.Join("testdata", "schedule.hcl"))
	if err != nil {
		t.Fatal(err)
	}
	x, err := Parse([]byte(strings.Replace(fleetOf, `length = "10s"`, `length = "30s"`, 1)+string(text)), "x.hcl")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(text), faults.Text(x.Faults)); diff != "" {
		t.Error(diff)
	}
	if err := x.CheckFor(faults.RealProcesses); err != nil {
		t.Error(err)
	}
	last := x.Faults[len(x.Faults)-1]
	want := faults.Fault{Kind: faults.Kill, At: last.At, Length: 300 * time.Millisecond, Hosts: faults.Selection{Numbers: []int{0}},
		When: &faults.When{What: "phase", Who: "r1", Text: "serving", Nth: 2}, Source: last.Source}
	if diff := cmp.Diff(want, last); diff != "" {
		t.Error(diff)
	}
}
