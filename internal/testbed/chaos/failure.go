package chaos

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"reachspread/internal/testbed/history"
)

// writeFailure writes verdicts.txt to the folder of the run, with the output of WriteFailure.
func (p *play) writeFailure(r *Result) error {
	f, err := os.Create(filepath.Join(p.folder, "verdicts.txt"))
	if err != nil {
		return err
	}
	WriteFailure(f, r, p.options.Seed)
	return f.Close()
}

// shownEvents is the maximum number of events that WriteFailure prints.
const shownEvents = 30

// WriteFailure writes the verdicts, the seed, the fault schedule, and the last events that concern
// the first verdict and precede it.
func WriteFailure(w io.Writer, r *Result, seed uint64) {
	for i := range r.Verdicts {
		fmt.Fprintln(w, r.Verdicts[i].String())
	}
	fmt.Fprintf(w, "seed %d, history %s\n", seed, filepath.Join(r.Folder, historyFile))
	if len(r.Events) > 0 && r.Events[0].Play != nil {
		fmt.Fprintln(w, r.Events[0].Play.Schedule)
	}
	if len(r.Verdicts) == 0 {
		return
	}
	v := &r.Verdicts[0]
	var last []string
	for i := range r.Events {
		e := &r.Events[i]
		if e.T > v.T {
			break
		}
		near := v.Who == "" || strings.HasPrefix(e.Who, v.Who) || e.From == v.Who || v.ID != "" && e.ID == v.ID
		if e.What != history.Usage && (near || e.What == history.Fault || e.What == history.Heal) {
			last = append(last, e.String())
		}
	}
	fmt.Fprintf(w, "before the first of them:\n%s\n", strings.Join(last[max(0, len(last)-shownEvents):], "\n"))
}
