package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/testbed/simulator"
)

const good = `seeds = [3, 5, 8]
length = "3s"
routers = 2
module {
  start_capacity = 0.3
  cold_time = "8s"
}
group "new" {
  hosts = 3
  zone = "east"
  cold {
    share = 0.3
    time = "8s"
  }
}
class "chat" {
  aim = "1s"
  deadline = "5s"
  rate = 20
}
trouble "slow" {
  at = "1s"
  length = "1s"
  part = 0.5
  size = 3
}
variant "base" {}
variant "single" {
  max_attempts = 1
  routers = 1
  load = 1.5
}
`

func TestGoodFile(t *testing.T) {
	x, err := Parse([]byte(good), "day.hcl")
	if err != nil {
		t.Fatal(err)
	}
	base, single := x.World(0, 5), x.World(1, 8)
	if x.Name != "day" || x.Worlds() != 6 || base.Seed != 5 || base.Routers != 2 || base.Balance.MaxAttempts != 4 ||
		single.Seed != 8 || single.Routers != 1 || single.Balance.MaxAttempts != 1 || single.Balance.SlowStartWindow != 8*time.Second ||
		base.Classes[0].Rate != 20 || single.Classes[0].Rate != 30 || x.World(1, 3).Classes[0].Rate != 30 ||
		base.Groups[0].Host.Slots != 64 || base.Groups[0].Host.SlowStart.InitialCapacity != 0.3 || base.Disruptions[0].Size != 3 {
		t.Errorf("%+v\n%+v", base, single)
	}
	if x, err := Parse([]byte(strings.Replace(good, "[3, 5, 8]", "4", 1)), "day.hcl"); err != nil || !cmp.Equal(x.Seeds, []uint64{1, 2, 3, 4}) {
		t.Errorf("%+v, %v", x, err)
	}
}

// The error for an invalid file is one line with file, line and field.
func TestBadFiles(t *testing.T) {
	for _, tt := range []struct{ old, new, want string }{
		{`[3, 5, 8]`, `[3, 3]`, "day.hcl:1: seeds must be the number of seeds"},
		{`[3, 5, 8]`, `0`, "day.hcl:1: seeds must be"},
		{`seeds = [3, 5, 8]`, ``, "seeds is missing from an experiment"},
		{`length = "3s"`, `length = 3`, `day.hcl:2: length must be a time`},
		{`routers = 2`, `routers = 1.5`, "day.hcl:3: routers must be a whole number from 1 to 10000"},
		{`routers = 2`, `router = 2`, "day.hcl:3: router is not a field of an experiment"},
		{`routers = 2`, `routers = many`, "day.hcl:3: routers has no value"},
		{`start_capacity = 0.3`, `start_capacity = 3`, "day.hcl:5: start_capacity must be a number from 0 to 1"},
		{`module {`, `modules {`, "day.hcl:4: modules is not a block of an experiment"},
		{`group "new" {`, `group {`, "day.hcl:8: group needs exactly one label"},
		{`hosts = 3`, ``, "hosts is missing from group"},
		{`zone = "east"`, `zone = ""`, "day.hcl:10: zone must be a word"},
		{`share = 0.3`, `shares = 0.3`, "day.hcl:12: shares is not a field of cold"},
		{`rate = 20`, ``, "rate is missing from class"},
		{`trouble "slow"`, `trouble "flood"`, `day.hcl:21: trouble "flood" is unknown`},
		{`part = 0.5`, `part = 1.5`, "day.hcl:24: part must be a number from 0 to 1"},
		{`size = 3`, ``, "size is missing from trouble"},
		{`trouble "slow" {`, "trouble \"lost_zone\" {\n zone = \"west\"", `Troubles[0] (lost_zone).Zone is "west"`},
		{`variant "single"`, `variant "base"`, `day.hcl:28: variant "base" is defined twice`},
		{`max_attempts = 1`, `hosts = 1`, "day.hcl:29: hosts is not a field of variant"},
		{`module {`, `module {{`, "day.hcl:4: "},
	} {
		if !strings.Contains(good, tt.old) {
			t.Fatalf("the good file has no %q", tt.old)
		}
		_, err := Parse([]byte(strings.Replace(good, tt.old, tt.new, 1)), "day.hcl")
		if err == nil || !strings.Contains(err.Error(), tt.want) || !strings.HasPrefix(err.Error(), "day.hcl:") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: got %v, want one line with %q", tt.new, err, tt.want)
		}
	}
	if _, err := Read("nowhere.hcl"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("reading a missing file: got %v, want os.ErrNotExist", err)
	}
}

// The example file in deploy/lab runs without a broken rule and with a G of at least 0.5.
func TestExample(t *testing.T) {
	x, err := Read("../../../deploy/lab/example.hcl")
	if err != nil {
		t.Fatal(err)
	}
	x.Seeds = x.Seeds[:1]
	runs, err := x.Play(t.Context(), 2, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range runs {
		if r.Broken != "" || r.Result.G() < 0.5 {
			t.Errorf("%s: G %.3f, %s", r.Variant, r.Result.G(), r.Report)
		}
	}
}

// Results and their order are byte-identical whether one or four simulations run at a time. A
// complete folder of stored runs can be read; for an incomplete one, Open returns an error that says
// so.
func TestRunsAreKept(t *testing.T) {
	x, err := Parse([]byte(good), "day.hcl")
	if err != nil {
		t.Fatal(err)
	}
	var texts [2]string
	folder := filepath.Join(t.TempDir(), "runs")
	for i, atOnce := range []int{1, 4} {
		told := 0
		runs, err := x.Play(t.Context(), atOnce, func(*Run) { told++ })
		if err != nil || told != 6 || len(runs) != 6 || runs[4].Variant != "single" || runs[4].Seed != 5 {
			t.Fatalf("done was called %d times for %d runs, error %v", told, len(runs), err)
		}
		var text bytes.Buffer
		if err := errors.Join(json.NewEncoder(&text).Encode(runs), WriteTable(&text, runs)); err != nil {
			t.Fatal(err)
		}
		texts[i] = text.String()
		if i == 0 {
			if err := x.Keep(folder, runs); err != nil {
				t.Fatal(err)
			}
		}
	}
	if texts[0] != texts[1] {
		t.Error("one simulation at a time gives other results than four")
	}
	again, keptRuns, err := Open(folder)
	if err != nil || len(keptRuns) != 6 || again.Worlds() != 6 || keptRuns[5].Variant != "single" || keptRuns[5].Result.Asked == 0 {
		t.Fatalf("%+v, %v", keptRuns, err)
	}
	var page bytes.Buffer
	if err := again.WritePage(&page, keptRuns); err != nil || strings.Count(page.String(), "<svg") != 2 || !strings.HasSuffix(page.String(), "</html>\n") ||
		!strings.Contains(page.String(), "single against base") && !strings.Contains(page.String(), "single differs in G from base") {
		t.Errorf("a page of %d bytes, %v", page.Len(), err)
	}
	if got := CompareFolders(keptRuns, keptRuns[:5]); len(got) != 2 || got[0].Shown() || got[0].Pairs != 3 || got[1].Pairs != 2 || got[0].Mean != 0 {
		t.Errorf("comparing stored runs with themselves: %+v", got)
	}
	if err := x.Keep(folder, nil); err == nil || !strings.Contains(err.Error(), "is not empty") {
		t.Errorf("Keep into a folder that already holds a run: got %v, want an error", err)
	}
	path := filepath.Join(folder, RunsFile)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for size, want := range map[int]string{len(text) / 2: "run ", bytes.IndexByte(text, '\n') + 1: "has 1 runs; 6 were stored"} {
		if err := os.WriteFile(path, text[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := Open(folder); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("runs file truncated at byte %d: got %v, want %q", size, err, want)
		}
	}
	os.Remove(filepath.Join(folder, ExperimentFile))
	if _, _, err := Open(folder); err == nil || !strings.Contains(err.Error(), "is not a complete run") {
		t.Errorf("folder without its last file: got %v, want an error", err)
	}
}

func TestPlayStops(t *testing.T) {
	x, err := Parse([]byte(good), "day.hcl")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	if _, err := x.Play(ctx, 1, func(*Run) { cancel() }); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

// A difference on which all seeds agree is shown, and one on which they disagree is not. A run that
// broke a rule is in no pair.
func TestCompare(t *testing.T) {
	world := func(variant string, seed uint64, g float64) *Run {
		return &Run{Variant: variant, Seed: seed, Result: &simulator.Result{Value: g, Asked: 1}}
	}
	var runs []*Run
	for seed := range uint64(12) {
		noise := float64(seed%4) / 100
		runs = append(runs, world("base", seed, 0.8+noise))
	}
	for seed := range uint64(12) {
		runs = append(runs, world("better", seed, 0.85+float64(seed%4)/100+float64(seed%3)/1000))
	}
	for seed := range uint64(12) {
		runs = append(runs, world("same", seed, 0.8+float64(seed%4)/100+float64(seed%3-1)/100))
	}
	runs[len(runs)-1].Broken = "a rule"
	got := Compare(runs)
	if len(got) != 2 || !got[0].Shown() || got[0].Mean < 0.05 || got[0].Low > got[0].Mean || got[0].High < got[0].Mean || got[0].Pairs != 12 ||
		got[1].Pairs != 11 {
		t.Errorf("%+v", got)
	}
	if one := Compare(runs[:13]); len(one) != 1 || one[0].Shown() {
		t.Errorf("a difference is shown for a single pair: %+v", one)
	}
	if rows := Summarize(runs); len(rows) != 3 || rows[2].Broken != 1 || rows[2].Worlds != 12 {
		t.Errorf("%+v", rows)
	}
}
