package chaos

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"reachspread/internal/router/report"
	"reachspread/internal/testbed/checker"
	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/fakes"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

// Series configures several plays, that is runs of one experiment, one after another.
type Series struct {
	Experiment *experiment.Experiment
	Program    string
	Folder     string // keeps a folder for each play; empty to keep none
	Drawn      bool   // fault schedules are drawn at random, each play with the next seed
	Seed       uint64
	Faults     int           // maximum number of faults in a drawn schedule; 0 for the default
	Kinds      []faults.Kind // kinds of faults to draw from; empty for all
	Beside     bool          // drawn faults are added to the faults of the experiment's file
	Until      time.Duration // no play begins after this time; 0 for no limit
	Plays      int           // maximum number of plays; 0 for one, or for as many as fit if Until is set
	Shrink     int           // maximum number of plays that are spent to shrink a failing schedule
	Profile    bool
}

// Played is the outcome of one play of a series.
type Played struct {
	Seed   uint64
	Faults []faults.Fault
	Result *Result
	Err    error         // the play could not be run, or its page not written
	Small  *faults.Trial // the shrunk schedule; nil if none was shrunk
	Again  int           // how many of the Tries plays of Small failed
	Tries  int
	Shown  string // path of its page
}

// Run runs the plays of the series and calls report after each. It returns the error of ctx if ctx
// ends first.
func (s *Series) Run(ctx context.Context, report func(*Played)) error {
	plays := s.Plays
	if plays == 0 && s.Until == 0 {
		plays = 1
	}
	begun := time.Now()
	for n := uint64(0); (plays == 0 || n < uint64(plays)) && (n == 0 || s.Until == 0 || time.Since(begun) < s.Until); n++ {
		p := s.play(ctx, s.Seed+n, n)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		report(p)
	}
	return nil
}

func (s *Series) options(seed uint64) Options {
	o := Options{Experiment: s.Experiment, Seed: seed, Program: s.Program, Profile: s.Profile, Drawn: s.Drawn}
	if !s.Drawn {
		o.Seed += s.Experiment.Seeds[0] // the first seed of the experiment's file and the seeds after it
	}
	return o
}

func (s *Series) play(ctx context.Context, seed, n uint64) *Played {
	o := s.options(seed)
	if s.Drawn {
		o.Faults = s.draw(seed)
	}
	if s.Folder != "" {
		o.Folder = filepath.Join(s.Folder, fmt.Sprintf("play-%d", o.Seed))
		if !s.Drawn {
			o.Folder = filepath.Join(s.Folder, fmt.Sprintf("play-%d", n+1))
		}
	}
	p := &Played{Seed: o.Seed, Faults: o.Faults}
	if p.Result, p.Err = Run(ctx, o); p.Err != nil {
		return p
	}
	if p.Result.Folder != "" {
		p.Shown = filepath.Join(p.Result.Folder, "page.html")
		p.Err = report.WriteFile(p.Shown, func(w io.Writer) error { return WritePage(w, p.Result.Events, p.Result.Verdicts) })
	}
	if len(p.Result.Verdicts) > 0 && s.Shrink > 0 {
		s.shrink(ctx, o, p)
	}
	return p
}

// draw draws a random schedule of faults that the experiment supports.
func (s *Series) draw(seed uint64) []faults.Fault {
	var kinds []faults.Kind
	for _, m := range faults.Kinds {
		if m.In(faults.RealProcesses) && (len(s.Kinds) == 0 || slices.Contains(s.Kinds, m.Kind)) && (m.Kind != faults.Replace || s.Experiment.Rig.Held) && (m.Kind != faults.Restart || !s.Experiment.Rig.Held) {
			kinds = append(kinds, m.Kind)
		}
	}
	all := faults.Draw(faults.Bounds{Length: s.Experiment.Spec.Length, Faults: s.Faults, Kinds: kinds, World: faults.RealProcesses}, s.Experiment.Topology(), seed)
	if s.Beside {
		all = append(slices.Clone(s.Experiment.Faults), all...)
	}
	return all
}

// maxAttempts is how often a smaller schedule is played without a failure before shrink treats it
// as one that does not fail.
const maxAttempts = 2

// shrink reduces a failing schedule as long as the checker of its first violation still finds a
// violation, and then replays the reduced schedule three times.
func (s *Series) shrink(ctx context.Context, o Options, p *Played) {
	checker := p.Result.Verdicts[0].Checker
	all := o.Faults
	if !s.Drawn {
		all = s.Experiment.Faults
	}
	failsOnce := func(t faults.Trial) bool {
		x := o
		x.Folder, x.Drawn, x.Faults, x.Routers = "", true, t.Faults, t.Routers
		r, err := Run(ctx, x)
		if err != nil {
			return false
		}
		if r.Folder != "" {
			os.RemoveAll(r.Folder)
		}
		return hasVerdict(r.Verdicts, checker)
	}
	small := faults.Shrink(faults.Trial{Routers: s.Experiment.Spec.Routers, Faults: all}, s.Shrink, func(t faults.Trial) bool {
		for range maxAttempts {
			if ctx.Err() != nil {
				return false
			}
			if failsOnce(t) {
				return true
			}
		}
		return false
	})
	p.Small = &small
	for p.Tries = 0; p.Tries < 3 && ctx.Err() == nil; p.Tries++ {
		if failsOnce(small) {
			p.Again++
		}
	}
}

func hasVerdict(all []checker.Violation, checker string) bool {
	for i := range all {
		if all[i].Checker == checker {
			return true
		}
	}
	return false
}

// Summary has the key figures of a play.
type Summary struct {
	Seed     uint64   `json:"seed"`
	Error    string   `json:"error,omitempty"`
	Verdicts []string `json:"verdicts"`
	Asked    int      `json:"asked"`
	Whole    int      `json:"whole"`
	Refused  int      `json:"refused"`
	Failed   int      `json:"failed"`
	Broken   int      `json:"broken"`
	Crossed  int      `json:"crossed"` // requests that crossed the close of an idle connection and were sent again
	Events   int      `json:"events"`
	Stalls   int      `json:"stalls"`
	Seconds  float64  `json:"seconds"`
	Folder   string   `json:"folder,omitempty"`
	Shrunk   string   `json:"shrunk,omitempty"`
}

// Summary returns the key figures of the play.
func (p *Played) Summary() Summary {
	s := Summary{Seed: p.Seed, Verdicts: []string{}}
	if p.Small != nil {
		s.Shrunk = faults.Text(p.Small.Faults)
	}
	if p.Err != nil {
		s.Error = p.Err.Error()
	}
	r := p.Result
	if r == nil {
		return s
	}
	for i := range r.Verdicts {
		s.Verdicts = append(s.Verdicts, r.Verdicts[i].String())
	}
	for i := range r.Events {
		e := &r.Events[i]
		switch {
		case e.What == history.Note && e.Text == fakes.CloseCrossed:
			s.Crossed++
		case e.What == history.Ask:
			s.Asked++
		case e.What != history.Answer:
		case e.How == history.Complete:
			s.Whole++
		case e.How == history.Refused:
			s.Refused++
		case e.How == history.Broken:
			s.Broken++
		case e.How != history.Left:
			s.Failed++
		}
	}
	s.Events, s.Stalls, s.Seconds, s.Folder = len(r.Events), r.Stalls, r.Took.Seconds(), r.Folder
	return s
}

// Write prints one line for a play without violations. For a play with violations it also prints
// the verdicts, the events that led to the first one, and the shrunk schedule.
func (p *Played) Write(w io.Writer) {
	s := p.Summary()
	if p.Err != nil {
		fmt.Fprintf(w, "seed %d: %v\n", p.Seed, p.Err)
		return
	}
	verdict := "nothing found"
	if len(s.Verdicts) > 0 {
		verdict = fmt.Sprintf("%d verdicts", len(s.Verdicts))
	}
	fmt.Fprintf(w, "seed %d: %s; %d asked, %d whole, %d refused, %d failed, %d broken, %d crossed; %d faults, %d events, the machine stalled %d times, %.0f s\n",
		p.Seed, verdict, s.Asked, s.Whole, s.Refused, s.Failed, s.Broken, s.Crossed, len(p.Result.faults()), s.Events, s.Stalls, s.Seconds)
	if p.Shown != "" {
		fmt.Fprintf(w, "page: %s\n", p.Shown)
	}
	if len(s.Verdicts) > 0 {
		WriteFailure(w, p.Result, p.Seed)
	}
	if p.Small != nil {
		fmt.Fprintf(w, "shrunk, fails in %d of %d plays of %d routers:\n%s", p.Again, p.Tries, p.Small.Routers, faults.Text(p.Small.Faults))
	}
}

// faults returns the events at which the faults of the schedule began, without stalls of the
// machine.
func (r *Result) faults() (all []history.Event) {
	for _, e := range r.Events {
		if e.What == history.Fault && e.N < firstStallNumber {
			all = append(all, e)
		}
	}
	return all
}
