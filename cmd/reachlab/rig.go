package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/router/report"
	"reachspread/internal/testbed/chaos"
	"reachspread/internal/testbed/checker"
	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/history"
)

func rigCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "rig FILE",
		Short: "Run an experiment with its faults on router processes, and check the recorded history",
		Args:  cobra.ExactArgs(1),
	}
	var s chaos.Series
	program := c.Flags().String("program", "", "the router's `binary`; by default reachspread in the folder of this program")
	c.Flags().Uint64Var(&s.Seed, "seed", 0, "generate the schedule of faults from this seed instead of using the schedule in the file")
	c.Flags().DurationVar(&s.Until, "until", 0, "start runs one after another, with ascending seeds, until this time has passed")
	c.Flags().IntVar(&s.Plays, "plays", 0, "number of runs, one after another")
	c.Flags().IntVar(&s.Shrink, "shrink", 0, "reduce a failing schedule, using at most this many runs")
	c.Flags().IntVar(&s.Faults, "faults", 0, "maximum number of faults in a generated schedule")
	kinds := c.Flags().StringSlice("kinds", nil, "the `kinds` of faults in generated schedules; by default all")
	c.Flags().BoolVar(&s.Beside, "beside", false, "add generated faults to those in the file, which are part of each run")
	folder := c.Flags().String("keep", "", "save histories, logs and pages in this new `folder`")
	profile := c.Flags().Bool("profile", false, "make a process that hangs also write a CPU profile")
	asJSON := c.Flags().Bool("json", false, "print a line of JSON for each run")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		x, err := experiment.Read(args[0])
		if err != nil {
			return err
		}
		if s.Kinds, err = chaosKinds(*kinds); err != nil {
			return err
		}
		seeded := cmd.Flags().Changed("seed")
		repeated := s.Until > 0 || s.Plays > 1
		s.Drawn = seeded || repeated && len(x.Faults) == 0 // otherwise each run uses the faults in the file
		s.Experiment, s.Profile = x, *profile
		if s.Program, err = routerBinary(*program); err != nil {
			return err
		}
		if x.Rig.Settings != "" && !filepath.IsAbs(x.Rig.Settings) {
			x.Rig.Settings = filepath.Join(filepath.Dir(args[0]), x.Rig.Settings)
		}
		if *folder != "" {
			if err := os.Mkdir(*folder, 0o755); err != nil {
				return err
			}
			s.Folder = *folder
		}
		return runSeries(cmd, &s, *asJSON)
	}
	return c
}

// chaosKinds returns the kinds of faults with the given names. It fails if a kind does not exist or
// can't be injected into processes.
func chaosKinds(names []string) (kinds []faults.Kind, err error) {
	for _, k := range names {
		if m := faults.Of(faults.Kind(k)); m == nil || !m.In(faults.RealProcesses) {
			return nil, fmt.Errorf("--kinds has %q, which is not a fault that rig can inject; reachlab faults lists all faults", k)
		}
		kinds = append(kinds, faults.Kind(k))
	}
	return kinds, nil
}

// runSeries performs a series of runs and prints each one. It returns an error if any run failed.
func runSeries(cmd *cobra.Command, s *chaos.Series, asJSON bool) error {
	failed := 0
	out := cmd.OutOrStdout()
	err := s.Run(cmd.Context(), func(p *chaos.Played) {
		if p.Err != nil || len(p.Result.Verdicts) > 0 {
			failed++
		}
		if asJSON {
			line, _ := json.Marshal(p.Summary())
			fmt.Fprintln(out, string(line))
			return
		}
		p.Write(out)
	})
	if err != nil {
		return err
	}
	if failed > 0 {
		return fmt.Errorf("%d runs failed; see the output above", failed)
	}
	return nil
}

// routerBinary returns the absolute path of the router's program. An empty path stands for reachspread
// in the folder of this program.
func routerBinary(path string) (string, error) {
	if path == "" {
		own, err := os.Executable()
		if err != nil {
			return "", err
		}
		path = filepath.Join(filepath.Dir(own), "reachspread")
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("the router's program was not found: %w (build it with go build -o bin/ ./cmd/..., or set --program)", err)
	}
	return filepath.Abs(path)
}

func returnsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "returns HISTORY...",
		Short: "Print how long restarted routers took to reach each phase and stage, over several histories",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all chaos.Returns
			for _, path := range args {
				f, err := os.Open(path)
				if err != nil {
					return err
				}
				events, err := history.Read(f)
				f.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				all.Add(events)
			}
			all.Write(cmd.OutOrStdout())
			return nil
		},
	}
}

func judgeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "judge HISTORY",
		Short: "Check a history again, and write its page",
		Args:  cobra.ExactArgs(1),
	}
	page := c.Flags().String("page", "", "write a page with the timelines of processes, faults and answers to this `file`")
	around := c.Flags().Duration("around", 0, "also print the events within half a second of this time")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		f, err := os.Open(args[0])
		if err != nil {
			return err
		}
		defer f.Close()
		events, err := history.Read(f)
		if err != nil {
			return fmt.Errorf("%s: %w", args[0], err)
		}
		verdicts := checker.CheckAll(events)
		out := cmd.OutOrStdout()
		for i := range verdicts {
			fmt.Fprintln(out, verdicts[i].String())
		}
		if *around > 0 {
			for i := range events {
				if e := &events[i]; e.At() > *around-time.Second/2 && e.At() < *around+time.Second/2 && e.What != history.Usage {
					fmt.Fprintln(out, e.String())
				}
			}
		}
		if *page != "" {
			if err := report.WriteFile(*page, func(w io.Writer) error { return chaos.WritePage(w, events, verdicts) }); err != nil {
				return err
			}
		}
		if len(verdicts) > 0 {
			return errors.New("the history violates the rules printed above")
		}
		fmt.Fprintf(out, "%d events, nothing found by %d checkers\n", len(events), len(checker.Checkers))
		return nil
	}
	return c
}

func faultsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "faults",
		Short: "Print the table of faults, and where each can be injected",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { io.WriteString(cmd.OutOrStdout(), faults.Table()) },
	}
}
