package chaos

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"reachspread/internal/testbed/history"
)

// Returns collects how long restarted routers took from the start of the process to each phase and
// stage of their recovery.
type Returns struct {
	of map[string][]time.Duration
}

// returnSteps are the steps of a recovery in order. A step is a phase of the program, or a stage
// that a log line reports.
var returnSteps = []struct{ name, phase, stage string }{
	{"listening", "listing", ""}, {"asked others", "", "listing"}, {"serves", "serving", ""}, {"has a list", "", "admitting"}, {"hosts warm", "", "duties"}, {"back", "", "back"},
}

// Add adds the events of a chaos test.
func (r *Returns) Add(events []history.Event) {
	if r.of == nil {
		r.of = map[string][]time.Duration{}
	}
	began := map[string]int64{}
	for i := range events {
		e := &events[i]
		if e.What == history.Start {
			if _, again, _ := strings.Cut(e.Who, "/"); again != "" && e.Text == againStart {
				began[e.Who] = e.T
			}
			continue
		}
		at, back := began[e.Who]
		if !back {
			continue
		}
		for _, s := range returnSteps {
			if s.phase != "" && e.What == history.Phase && e.Text == s.phase || s.stage != "" && e.What == history.Log && strings.Contains(e.Text, "recovery stage entered ") && strings.Contains(e.Text, "stage="+s.stage+" ") {
				r.of[s.name] = append(r.of[s.name], time.Duration(e.T-at))
			}
		}
	}
}

// Write prints a table with a bar for the median of each step.
func (r *Returns) Write(w io.Writer) {
	fmt.Fprintln(w, "| from the start to | returns | median | p90 | most | |\n| --- | --- | --- | --- | --- | --- |")
	for _, s := range returnSteps {
		all := slices.Sorted(slices.Values(r.of[s.name]))
		if len(all) == 0 {
			continue
		}
		at := func(q int) time.Duration { return all[min(len(all)*q/100, len(all)-1)].Round(time.Millisecond) }
		fmt.Fprintf(w, "| %s | %d | %v | %v | %v | %s |\n", s.name, len(all), at(50), at(90), all[len(all)-1].Round(time.Millisecond),
			strings.Repeat("#", 1+int(at(50)/barUnit)))
	}
}

// barUnit is the time that one character of a bar represents.
const barUnit = 200 * time.Millisecond
