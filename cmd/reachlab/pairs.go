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

// pairsCommand plays a change against the code before it.
func pairsCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "pairs BEFORE AFTER",
		Short: "Play days of the fleet's bench in two checkouts, the same seeds in both, and print mean differences of worth with their standard errors",
		Args:  cobra.ExactArgs(2),
	}
	b := &benchPlayer{}
	plan := &pairedruns.Plan{}
	seeds := c.Flags().Int("seeds", 6, "`number` of seeds, from --first on")
	first := c.Flags().Uint64("first", 1, "the first `seed`")
	c.Flags().StringSliceVar(&plan.Sites, "site", nil, "site `files` of deployments")
	c.Flags().StringSliceVar(&plan.Days, "day", nil, "`names` of days, or files")
	c.Flags().IntVar(&plan.AtOnce, "at-once", 4, "`plays` side by side")
	c.Flags().StringVar(&b.bench, "bench", "", "the bench's `program`")
	c.Flags().StringVar(&b.reports, "reports", "", "`folder` of reports: those that are there are used, so that a version is played once; empty for a new one")
	c.Flags().StringVar(&b.why, "why", "", "a `line` for the journals")
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

// checkouts are the folders of the two versions, as whole paths.
func checkouts(args []string) (folders [2]string, err error) {
	for i, folder := range args {
		if folders[i], err = filepath.Abs(folder); err != nil {
			return folders, err
		}
		if _, err := os.Stat(filepath.Join(folder, "deploy", "system.toml")); err != nil {
			return folders, fmt.Errorf("%s is no checkout: %w", folder, err)
		}
	}
	return folders, nil
}

// benchPlayer plays days by the bench's program.
type benchPlayer struct {
	bench, reports, why string
	folders             [2]string // of the versions
}

// play is a pairs.Player.
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
		if _, failed := os.Stat(partial); failed != nil { // a day with a broken rule ends with an error, and has a report
			return nil, fmt.Errorf("%w: %s", err, output)
		}
	}
	if err := os.Rename(partial, report); err != nil {
		return nil, err
	}
	return readReport(report)
}

// readReport reads the one day of a report.
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
