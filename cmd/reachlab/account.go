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

// accountCommand returns the command that prints how much of their worth the simulated days of the
// fleet's benchmark lost, and to what.
func accountCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "account FILE|ID",
		Short: "Print the losses, by part of the day and by price, of the days in a journal entry or of the day in a benchmark report",
		Args:  cobra.ExactArgs(1),
	}
	beside := c.Flags().String("beside", "", "another `file or id` to compare with; each figure is printed with its difference")
	journal := c.Flags().String("journal", "journal", "the `folder` that contains the journal entries, which are found by their ids")
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

// requestsCommand returns the command that prints why requests were late or not served.
func requestsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "requests LOG",
		Short: "Print why requests of a simulated day were late or not served, from the log of a trial build (docs/measurements/deciding.md)",
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

// readAccount reads the account in the file called name, or else in the journal entry with this ID.
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

// openEntry opens the newest journal entry with an ID.
func openEntry(journal, id string) (*os.File, error) {
	found, err := filepath.Glob(filepath.Join(journal, "*-"+id+".json"))
	if err != nil {
		return nil, err
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("%s: no such file, and no such entry in journal folder %s", id, journal)
	}
	return os.Open(found[len(found)-1])
}
