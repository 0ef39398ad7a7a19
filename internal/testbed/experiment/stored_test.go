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

// Keep wrote the folder testdata/kept at commit 5bfcc27, for the small experiment of this package's
// tests: WRITE_GOLDEN=1 go test -run Golden. The file testdata/schedule.hcl is a copy of the schedule
// of package faults, written at the same commit.

// The files that Keep writes for an experiment are the same as those in testdata/kept, and Open
// reads them back.
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
		t.Fatalf("Open returned %d runs of an experiment with %d simulations", len(keptRuns), got.Worlds())
	}
	for i, k := range keptRuns {
		r := runs[i]
		if k.Variant != r.Variant || k.Seed != r.Seed || k.Broken != r.Broken || k.g() != r.Result.G() || len(k.Result.Seconds) != len(r.Result.Seconds) ||
			len(k.Result.Classes) != 1 || k.Result.Classes[0].Asked != r.Result.Classes[0].Asked || k.Result.Classes[0].Good != r.Result.Classes[0].Good {
			t.Errorf("run %d was read as %+v, which is not what Keep stored", i, k)
		}
	}
	if diff := cmp.Diff(Compare(runs), CompareRuns(keptRuns)); diff != "" {
		t.Error(diff)
	}
}

// A stored schedule with every kind of fault is parsed correctly and written again unchanged.
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
