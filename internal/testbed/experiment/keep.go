package experiment

import (
	"bufio"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// The files in the folder of a stored run. ExperimentFile is written last, so that its presence
// shows that the other files are complete.
const (
	SpecFile       = "experiment.hcl"
	RunsFile       = "runs.ndjson"
	SummaryFile    = "summary.md"
	TableFile      = "summary.csv"
	ExperimentFile = "whole"
)

// Summary holds the results of one variant over all its seeds.
type Summary struct {
	Variant                                    string
	Worlds, Broken                             int
	G, Least                                   float64 // mean and lowest
	Asked, Good, Refused, BrokenOff, Lost      uint64
	P50, P99                                   float64 // milliseconds to the first token, the highest of any class and run
	AttemptsPerRequest, Wasted, KeptPerRequest float64
}

// Summarize returns a Summary for each variant, in the order of their first runs.
func Summarize(runs []*Run) (rows []Summary) {
	for _, r := range runs {
		i := slices.IndexFunc(rows, func(s Summary) bool { return s.Variant == r.Variant })
		if i < 0 {
			i = len(rows)
			rows = append(rows, Summary{Variant: r.Variant, Least: 1})
		}
		s := &rows[i]
		s.Worlds++
		if r.Broken != "" {
			s.Broken++
			continue
		}
		g := r.Result.G()
		s.G += g
		s.Least = min(s.Least, g)
		var asked uint64
		for _, c := range r.Result.Classes {
			asked += c.Asked
			s.Good += c.Good
			s.Refused += c.Refused
			s.BrokenOff += c.BrokenOff
			s.Lost += c.Lost + c.Failed
			if c.First.TotalCount() > 0 {
				s.P50 = max(s.P50, float64(c.First.ValueAtQuantile(50))/1000)
				s.P99 = max(s.P99, float64(c.First.ValueAtQuantile(99))/1000)
			}
		}
		s.Asked += asked
		s.AttemptsPerRequest += float64(r.Result.Attempts)
		s.KeptPerRequest += float64(r.Result.CachedTokens)
		s.Wasted += float64(r.Result.Wasted) / float64(max(r.Result.Tokens, 1))
	}
	for i := range rows {
		s := &rows[i]
		n := float64(max(s.Worlds-s.Broken, 1))
		s.G /= n
		s.Wasted /= n
		s.AttemptsPerRequest /= float64(max(s.Asked, 1))
		s.KeptPerRequest /= float64(max(s.Asked, 1))
	}
	return rows
}

var columns = []string{"variant", "worlds", "rule broken", "G", "lowest G", "asked", "good", "refused", "broken off", "lost", "p50 ms", "p99 ms",
	"attempts a request", "tokens wasted", "prompt tokens kept a request"}

func (s *Summary) row() []string {
	return []string{s.Variant, strconv.Itoa(s.Worlds), strconv.Itoa(s.Broken), fmt.Sprintf("%.3f", s.G), fmt.Sprintf("%.3f", s.Least),
		fmt.Sprint(s.Asked), fmt.Sprint(s.Good), fmt.Sprint(s.Refused), fmt.Sprint(s.BrokenOff), fmt.Sprint(s.Lost), fmt.Sprintf("%.1f", s.P50),
		fmt.Sprintf("%.1f", s.P99), fmt.Sprintf("%.3f", s.AttemptsPerRequest), fmt.Sprintf("%.4f", s.Wasted), fmt.Sprintf("%.0f", s.KeptPerRequest)}
}

// WriteTable writes the summary as Markdown, with the differences between the variants and the
// broken rules.
func WriteTable(out io.Writer, runs []*Run) error {
	w := bufio.NewWriter(out)
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(columns, " | "), strings.Repeat(" --- |", len(columns)))
	for _, s := range Summarize(runs) {
		fmt.Fprintf(w, "| %s |\n", strings.Join(s.row(), " | "))
	}
	for i, d := range Compare(runs) {
		if i == 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintln(w, d.String())
	}
	for _, r := range runs {
		if r.Broken != "" {
			fmt.Fprintf(w, "\n%s: %s\n", r.Variant, r.Broken)
		}
	}
	return w.Flush()
}

// Keep stores an experiment's runs in a folder. The folder must be empty or not exist yet.
func (x *Experiment) Keep(folder string, runs []*Run) (err error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	if entries, err := os.ReadDir(folder); err != nil {
		return err
	} else if len(entries) > 0 {
		return fmt.Errorf("%s is not empty; runs can be stored only in a new or empty folder", folder)
	}
	file := func(name string, write func(io.Writer) error) {
		if err != nil {
			return
		}
		f, e := os.Create(filepath.Join(folder, name))
		if e != nil {
			err = e
			return
		}
		w := bufio.NewWriter(f)
		err = errors.Join(write(w), w.Flush(), f.Sync(), f.Close())
	}
	file(SpecFile, func(w io.Writer) error { _, err := w.Write(x.Text); return err })
	file(RunsFile, func(w io.Writer) error {
		to := json.NewEncoder(w)
		for _, r := range runs {
			if err := to.Encode(r); err != nil {
				return err
			}
		}
		return nil
	})
	file(SummaryFile, func(w io.Writer) error { return WriteTable(w, runs) })
	file(TableFile, func(w io.Writer) error {
		to := csv.NewWriter(w)
		to.Write(columns)
		for _, s := range Summarize(runs) {
			to.Write(s.row())
		}
		to.Flush()
		return to.Error()
	})
	file(ExperimentFile, func(w io.Writer) error { _, err := fmt.Fprintln(w, len(runs)); return err })
	return err
}

// Open reads the experiment and the runs that Keep stored in a folder. It fails if the folder is not
// complete.
func Open(folder string) (*Experiment, []KeptRun, error) {
	count, err := os.ReadFile(filepath.Join(folder, ExperimentFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil, fmt.Errorf("%s: is not a complete run: the file %q, which is written last, does not exist", folder, ExperimentFile)
	} else if err != nil {
		return nil, nil, err
	}
	x, err := Read(filepath.Join(folder, SpecFile))
	if err != nil {
		return nil, nil, err
	}
	f, err := os.Open(filepath.Join(folder, RunsFile))
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	var keptRuns []KeptRun
	for from := json.NewDecoder(f); ; {
		var k KeptRun
		switch err := from.Decode(&k); {
		case err == io.EOF:
			if want := strings.TrimSpace(string(count)); strconv.Itoa(len(keptRuns)) != want {
				return nil, nil, fmt.Errorf("%s: has %d runs; %s were stored", filepath.Join(folder, RunsFile), len(keptRuns), want)
			}
			return x, keptRuns, nil
		case err != nil:
			return nil, nil, fmt.Errorf("%s: run %d: %w", filepath.Join(folder, RunsFile), len(keptRuns)+1, err)
		}
		keptRuns = append(keptRuns, k)
	}
}

// KeptRun is the part of a stored run that Open reads from the folder.
type KeptRun struct {
	Variant string `json:"variant"`
	Seed    uint64 `json:"seed"`
	Broken  string `json:"broken"`
	Result  struct {
		Worth, Asked float64
		Seconds      []struct{ Good, Other float64 }
		Classes      []struct{ Asked, Good uint64 }
	} `json:"result"`
}

func (k *KeptRun) g() float64 {
	if k.Result.Asked == 0 {
		return 0
	}
	return k.Result.Worth / k.Result.Asked
}
