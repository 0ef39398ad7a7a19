package main

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"reachspread/internal/testbed/pairedruns"
	"reachspread/internal/testbed/scoreanalysis"
)

// pairsCommand returns the command that compares a change with the code before it, by running the same
// days of the benchmark on both.
func pairsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "pairs BEFORE AFTER",
		Short: "Run days of the fleet's benchmark in two checkouts, with the same seeds in both, and print mean differences of worth with their standard errors",
		Args:  cobra.ExactArgs(2),
	}
	b := &benchPlayer{}
	plan := &pairedruns.Plan{}
	seeds := c.Flags().Int("seeds", 6, "`number` of seeds, which start at --first")
	first := c.Flags().Uint64("first", 1, "the first `seed`")
	c.Flags().StringSliceVar(&plan.Sites, "site", nil, "site `files` of deployments")
	c.Flags().StringSliceVar(&plan.Days, "day", nil, "`names` of days, or the files that describe them")
	c.Flags().IntVar(&plan.AtOnce, "at-once", 4, "number of `plays` that run in parallel")
	c.Flags().StringVar(&b.bench, "bench", "", "the benchmark's `program`")
	c.Flags().StringVar(&b.reports, "reports", "", "`folder` of reports, whose existing reports are reused so that each play runs only once; by default a new folder")
	c.Flags().StringVar(&b.why, "why", "", "a `line` for the journals that says why the plays run")
	for _, name := range []string{"site", "day", "bench"} {
		c.MarkFlagRequired(name)
	}
	c.RunE = func(cmd *cobra.Command, args []string) (err error) {
		if b.folders, err = checkouts(args); err != nil {
			return err
		}
		if b.reports == "" {
			if b.reports, err = os.MkdirTemp("", "pairs"); err != nil {
				return err
			}
		}
		for i := range *seeds {
			plan.Seeds = append(plan.Seeds, *first+uint64(i))
		}
		r, err := plan.Run(cmd.Context(), b.play)
		if err != nil {
			return err
		}
		return r.Print(cmd.OutOrStdout())
	}
	return c
}

// checkouts returns the absolute paths of the two checkouts. It fails if a folder is not a checkout.
func checkouts(args []string) (folders [2]string, err error) {
	for i, folder := range args {
		if folders[i], err = filepath.Abs(folder); err != nil {
			return folders, err
		}
		if _, err := os.Stat(filepath.Join(folder, "deploy", "system.toml")); err != nil {
			return folders, fmt.Errorf("folder %s is not a checkout: %w", folder, err)
		}
	}
	return folders, nil
}

// benchPlayer runs days by starting the benchmark's program.
type benchPlayer struct {
	bench, reports, why string
	folders             [2]string // the checkouts of the two versions
}

// play is a pairedruns.Player. It runs one day in the checkout of its version, unless the folder of
// reports already has the report of this play.
func (b *benchPlayer) play(ctx context.Context, p pairedruns.Play) (*scoreanalysis.Day, error) {
	folder := b.folders[p.Version]
	name := func(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }
	report := filepath.Join(b.reports, fmt.Sprintf("%s-%s-%s-%d.json", filepath.Base(folder), name(p.Site), name(p.Day), p.Seed))
	day, err := readReport(report)
	if !errors.Is(err, fs.ErrNotExist) {
		return day, err
	}
	partial := report + ".part"
	run := exec.CommandContext(ctx, b.bench, "run", p.Site, p.Day, "--seed", fmt.Sprint(p.Seed), "--jobs", "1", "--report", partial, "--why", b.why)
	run.Dir = folder
	if output, err := run.CombinedOutput(); err != nil {
		if _, failed := os.Stat(partial); failed != nil { // a day that violates a rule exits with an error but has a report
			return nil, fmt.Errorf("%w: %s", err, output)
		}
	}
	if err := os.Rename(partial, report); err != nil {
		return nil, err
	}
	return readReport(report)
}

// readReport reads the single day of a report.
func readReport(path string) (*scoreanalysis.Day, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	a, err := scoreanalysis.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return &a.Days[0], nil
}
