// Reachlab runs experiments on a simulated fleet and on real router processes, and evaluates the
// results.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"reachspread/internal/router/report"
	"reachspread/internal/testbed/demo"
	"reachspread/internal/testbed/experiment"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/simulator"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "reachlab:", err)
		os.Exit(1)
	}
}

func command() *cobra.Command {
	root := &cobra.Command{Use: "reachlab", Short: "Runs experiments on a simulated fleet and on real router processes", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(runCommand(), checkCommand(), replayCommand(), compareCommand(), chartCommand(), scaleCommand(), demoCommand(), fleetDemoCommand(), soakCommand(), asRouterCommand(), serveFleetCommand(), loadCommand(),
		rigCommand(), judgeCommand(), returnsCommand(), faultsCommand(), membershipCommand(), capacityCommand(), accountCommand(), requestsCommand(), pairsCommand())
	return root
}

func runCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Simulate all worlds of an experiment and print its table",
		Args:  cobra.ExactArgs(1),
	}
	atOnce := c.Flags().Int("at-once", runtime.NumCPU(), "number of worlds that are simulated in parallel")
	folder := c.Flags().String("keep", "", "save the experiment, the runs and the tables in this new `folder`")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		x, err := experiment.Read(args[0])
		if err != nil {
			return err
		}
		bar := progressbar.NewOptions(x.Worlds(), progressbar.OptionSetWriter(cmd.ErrOrStderr()), progressbar.OptionSetDescription(x.Name),
			progressbar.OptionSetVisibility(isTerminal(cmd.ErrOrStderr())), progressbar.OptionClearOnFinish())
		started := time.Now()
		var events uint64
		runs, err := x.Play(cmd.Context(), *atOnce, func(r *experiment.Run) {
			if r.Result != nil {
				events += r.Result.Events
			}
			bar.Add(1)
		})
		bar.Finish()
		if err != nil {
			return err
		}
		if err := experiment.WriteTable(cmd.OutOrStdout(), runs); err != nil {
			return err
		}
		took := time.Since(started)
		fmt.Fprintf(cmd.ErrOrStderr(), "%d worlds, %d events in %v, %.0f events a second\n", len(runs), events, took.Round(time.Millisecond),
			float64(events)/took.Seconds())
		if *folder != "" {
			return x.Keep(*folder, runs)
		}
		return nil
	}
	return c
}

// isTerminal reports whether a writer is a terminal, so that a user sees the output while it is
// written.
func isTerminal(w any) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func compareCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "compare FOLDER FOLDER",
		Short: "Compare two saved runs by variant, in pairs of worlds with the same seed",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, from, err := experiment.Open(args[0])
			if err != nil {
				return err
			}
			_, to, err := experiment.Open(args[1])
			if err != nil {
				return err
			}
			all := experiment.CompareFolders(from, to)
			if len(all) == 0 {
				return fmt.Errorf("the runs in %s and %s have no variant name in common", args[0], args[1])
			}
			for _, d := range all {
				fmt.Fprintln(cmd.OutOrStdout(), d.String())
			}
			return nil
		},
	}
}

func chartCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "chart FOLDER FILE",
		Short: "Write a page with the charts of a saved run; the page needs no network access",
		Args:  cobra.ExactArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			x, kept, err := experiment.Open(args[0])
			if err != nil {
				return err
			}
			return report.WriteFile(args[1], func(w io.Writer) error { return x.WritePage(w, kept) })
		},
	}
}

func scaleCommand() *cobra.Command {
	var page string
	c := &cobra.Command{
		Use:   "scale FOLDER [BEFORE]",
		Short: "Print how much a saved run served, by number of routers and load; with BEFORE, also print it for an earlier run",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var scales [2]*experiment.Scale
			title := ""
			for i, folder := range args {
				x, kept, err := experiment.Open(folder)
				if err != nil {
					return err
				}
				if scales[i] = x.ScaleOf(kept); i == 0 {
					title = x.Name
				} else {
					fmt.Fprintln(cmd.OutOrStdout(), "\nbefore")
				}
				if err := scales[i].WriteTable(cmd.OutOrStdout()); err != nil {
					return err
				}
			}
			if page == "" {
				return nil
			}
			return report.WriteFile(page, func(w io.Writer) error { return experiment.WriteScalePage(w, title, scales[0], scales[1]) })
		},
	}
	c.Flags().StringVar(&page, "chart", "", "write a page with the table and a chart to this file")
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check an experiment file, or a folder that run --keep wrote, and summarize it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			info, err := os.Stat(args[0])
			if err != nil {
				return err
			}
			if info.IsDir() {
				x, kept, err := experiment.Open(args[0])
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: a whole run of %d worlds\n", x.Name, len(kept))
				return nil
			}
			x, err := experiment.Read(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s: %d variants of %d seeds, %d worlds of %v\n", x.Name, len(x.Variants), len(x.Seeds), x.Worlds(), x.Spec.Length)
			return nil
		},
	}
}

func replayCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "replay FILE",
		Short: "Simulate one world of an experiment, and print the rule that it violates with the preceding events, or else a row for each second",
		Args:  cobra.ExactArgs(1),
	}
	seed := c.Flags().Uint64("seed", 1, "seed of the world")
	name := c.Flags().String("variant", "", "name of a variant of the experiment; by default the first one")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		x, err := experiment.Read(args[0])
		if err != nil {
			return err
		}
		variant := 0
		for i, v := range x.Variants {
			if v.Name == *name {
				variant = i
			}
		}
		if *name != "" && x.Variants[variant].Name != *name {
			return fmt.Errorf("experiment %s has no variant %q", args[0], *name)
		}
		if err := x.CheckFor(faults.Simulation); err != nil {
			return err
		}
		w, err := simulator.New(x.Virtual(variant, *seed))
		if err != nil {
			return err
		}
		r, err := w.Run(0)
		out := cmd.OutOrStdout()
		if v, ok := err.(*simulator.Violation); ok {
			fmt.Fprint(out, v.Report())
			return v
		} else if err != nil {
			return err
		}
		fmt.Fprintf(out, "G %.4f, %d events\nsecond  asked  good  other  running  waiting  hosts  capacity\n", r.G(), r.Events)
		for i, s := range r.Seconds {
			fmt.Fprintf(out, "%6d %6d %5d %6d %8d %8d %6d %9.1f\n", i, s.Asked, s.Good, s.Other, s.Running, s.Waiting, s.Alive, s.Capacity)
		}
		return nil
	}
	return c
}

func demoCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "demo",
		Short: "Start three stand-in hosts, discovery and the router, send a minute of requests, and show the results",
		Args:  cobra.NoArgs,
	}
	length := c.Flags().Duration("length", time.Minute, "duration of the load")
	keep := c.Flags().Bool("keep", false, "keep everything running until Ctrl-C, and print how to query it with curl")
	logs := c.Flags().Bool("logs", false, "also print the router's log lines")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		o := demo.Options{Out: cmd.OutOrStdout(), Live: isTerminal(cmd.OutOrStdout()) && !*logs, Length: *length, StayUp: *keep}
		if *logs {
			o.Log = cmd.ErrOrStderr()
		}
		return demo.Run(cmd.Context(), o)
	}
	return c
}
