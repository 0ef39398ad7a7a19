// Reachlab plays experiments on a model of the fleet.
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
	root := &cobra.Command{Use: "reachlab", Short: "Plays experiments on a model of the fleet", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(runCommand(), checkCommand(), replayCommand(), compareCommand(), chartCommand(), scaleCommand(), demoCommand(), fleetDemoCommand(), soakCommand(), asRouterCommand(), serveFleetCommand(), loadCommand(),
		rigCommand(), judgeCommand(), returnsCommand(), faultsCommand(), membershipCommand(), capacityCommand(), accountCommand(), requestsCommand(), pairsCommand())
	return root
}

func runCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "run FILE",
		Short: "Play all worlds of an experiment and print its table",
		Args:  cobra.ExactArgs(1),
	}
	atOnce := c.Flags().Int("at-once", runtime.NumCPU(), "worlds that are played side by side")
	folder := c.Flags().String("keep", "", "leave experiment, runs and tables in this new `folder`")
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

// terminal tells whether somebody looks at what is written.
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
		Short: "Compare two kept runs, variant by variant, in pairs by seed",
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
				return fmt.Errorf("%s and %s have no variant of one name", args[0], args[1])
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
		Short: "Write a page with the charts of a kept run, which opens without a network",
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
		Short: "Print what a kept run served by its routers and load, and with BEFORE what another run did",
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
		Short: "Read an experiment, or a folder that run has kept, and say what it is",
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
		Short: "Play one world of an experiment again, and print its broken rule with what came before, or its seconds",
		Args:  cobra.ExactArgs(1),
	}
	seed := c.Flags().Uint64("seed", 1, "of the world")
	name := c.Flags().String("variant", "", "of the experiment; the first one by itself")
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
			return fmt.Errorf("%s has no variant %q", args[0], *name)
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
		Short: "Start three stand-in hosts, discovery and the router, send them a minute of requests, and show what comes of it",
		Args:  cobra.NoArgs,
	}
	length := c.Flags().Duration("length", time.Minute, "of the load")
	keep := c.Flags().Bool("keep", false, "leave all up until Ctrl-C, and print how to ask it with curl")
	logs := c.Flags().Bool("logs", false, "print the router's log lines, too")
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		o := demo.Options{Out: cmd.OutOrStdout(), Live: isTerminal(cmd.OutOrStdout()) && !*logs, Length: *length, StayUp: *keep}
		if *logs {
			o.Log = cmd.ErrOrStderr()
		}
		return demo.Run(cmd.Context(), o)
	}
	return c
}
