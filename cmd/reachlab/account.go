package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"reachspread/internal/testbed/scoreanalysis"
)

// accountCommand prints what played days of the fleet's bench lost.
func accountCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "account FILE|ID",
		Short: "Print what the days of a journal entry, or the day of a bench's report, lost by part and by price",
		Args:  cobra.ExactArgs(1),
	}
	beside := c.Flags().String("beside", "", "another `file or id` whose days are set beside these: figures come with differences")
	journal := c.Flags().String("journal", "journal", "the `folder` in which entries are looked for by their ids")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		this, err := readAccount(*journal, args[0])
		if err != nil {
			return err
		}
		var other *scoreanalysis.Account
		if *beside != "" {
			if other, err = readAccount(*journal, *beside); err != nil {
				return err
			}
		}
		scoreanalysis.Print(cmd.OutOrStdout(), this, other)
		return nil
	}
	return c
}

// requestsCommand prints why requests were late or not served.
func requestsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "requests LOG",
		Short: "Print why requests of a played day were late or not served, from the log of a build of the trial (docs/measurements/deciding.md)",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			file, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer file.Close()
			r, err := scoreanalysis.ReadRequests(file)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			return r.Print(cmd.OutOrStdout())
		},
	}
}

// readAccount reads a file, or the journal entry of an id.
func readAccount(journal, name string) (*scoreanalysis.Account, error) {
	file, err := os.Open(name)
	if errors.Is(err, fs.ErrNotExist) {
		file, err = openEntry(journal, name)
	}
	if err != nil {
		return nil, err
	}
	defer file.Close()
	a, err := scoreanalysis.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return a, nil
}

// openEntry opens the last journal entry of an id.
func openEntry(journal, id string) (*os.File, error) {
	found, err := filepath.Glob(filepath.Join(journal, "*-"+id+".json"))
	if err != nil {
		return nil, err
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("%s: no such file, and no such entry in %s", id, journal)
	}
	return os.Open(found[len(found)-1])
}
