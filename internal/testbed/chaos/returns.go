package chaos

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"reachspread/internal/testbed/history"
)

// Returns collects how long routers took to come back after they had died or were restarted, from the start of the process to each phase and stage.
type Returns struct {
	of map[string][]time.Duration
}

// returnSteps are what is looked for, in the order of a return: phases of the program, and stages by the words of their log lines.
var returnSteps = []struct{ name, phase, stage string }{
	{"listening", "listing", ""}, {"asked others", "", "listing"}, {"serves", "serving", ""}, {"has a list", "", "admitting"}, {"hosts warm", "", "duties"}, {"back", "", "back"},
}

// Add takes a play's events in.
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
			if s.phase != "" && e.What == history.Phase && e.Text == s.phase || s.stage != "" && e.What == history.Log && strings.Contains(e.Text, "comes back ") && strings.Contains(e.Text, "stage="+s.stage+" ") {
				r.of[s.name] = append(r.of[s.name], time.Duration(e.T-at))
			}
		}
	}
}

// Write prints a table, and a bar for each step as long as its median.
func (r *Returns) Write(w io.Writer) {
	fmt.Fprintln(w, "| from the start to | returns | median | p90 | most | |\n| --- | --- | --- | --- | --- | --- |")
	for _, s := range returnSteps {
		all := slices.Sorted(slices.Values(r.of[s.name]))
		if len(all) == 0 {
			continue
		}
		at := func(q int) time.Duration { return all[min(len(all)*q/100, len(all)-1)].Round(time.Millisecond) }
		fmt.Fprintf(w, "| %s | %d | %v | %v | %v | %s |\n", s.name, len(all), at(50), at(90), all[len(all)-1].Round(time.Millisecond),
			strings.Repeat("#", 1+int(at(50)/barEvery)))
	}
}

// barEvery is what a sign of a bar stands for.
const barEvery = 200 * time.Millisecond
