package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/router/snapshot"
)

func snapshotCommand() *cobra.Command {
	c := &cobra.Command{Use: "snapshot", Short: "Look at what a router keeps for its next life"}
	show := &cobra.Command{Use: "show FOLDER", Short: "Show the youngest snapshot that is whole", Args: cobra.ExactArgs(1)}
	asJSON := show.Flags().Bool("json", false, "print all of it as JSON")
	show.RunE = func(cmd *cobra.Command, args []string) error {
		files, err := readSnapshots(args[0])
		if err != nil {
			return err
		}
		s, generation, wrong := snapshot.Newest(files)
		if s == nil {
			return errors.Join(fmt.Errorf("%s has no whole snapshot", args[0]), wrong[0], wrong[1])
		}
		if *asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(s)
		}
		w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		defer w.Flush()
		fmt.Fprintf(w, "router\t%s\ngeneration\t%d\nwritten\t%s, by a clock that nothing rests on\n", s.Router, generation, s.SavedAt.Format(time.RFC3339))
		if s.List != nil {
			fmt.Fprintf(w, "list\t%d hosts, version %d, from %s\n", len(s.List.Servers), s.List.Version, s.ListSource)
		}
		fmt.Fprintf(w, "view\t%d routers, own incarnation %d\nlargest token\t%d\ndrained\t%v\nunanswered\t%d\n", len(s.Routers), s.Incarnation, s.HighestToken, s.Drained, unanswered(args[0]))
		if s.List != nil {
			fmt.Fprintln(w, "\nhost\tzone\tkind\tstate\taddress")
			for _, e := range s.List.Servers {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.ID, e.Zone, e.Kind, e.State, e.Addr)
			}
		}
		return nil
	}
	check := &cobra.Command{Use: "check FOLDER", Short: "Say of each snapshot whether it is whole, or what is wrong at which byte", Args: cobra.ExactArgs(1)}
	check.RunE = func(cmd *cobra.Command, args []string) error {
		files, err := readSnapshots(args[0])
		if err != nil {
			return err
		}
		found := false
		for i, b := range files {
			if b == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: not there\n", snapshot.GenerationFiles[i])
				continue
			}
			_, generation, err := snapshot.Decode(b)
			if err != nil {
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %v\n", snapshot.GenerationFiles[i], err)
				continue
			}
			found = true
			fmt.Fprintf(cmd.OutOrStdout(), "%s: whole, generation %d, %d bytes\n", snapshot.GenerationFiles[i], generation, len(b))
		}
		if !found {
			return errors.New("none is whole")
		}
		return nil
	}
	c.AddCommand(show, check)
	return c
}

// unanswered is how many requests a folder's open ones are, 0 where their file is not there or not
// whole.
func unanswered(folder string) int {
	text, err := os.ReadFile(filepath.Join(folder, snapshot.OpenRequestsFile))
	if err != nil {
		return 0
	}
	open, _, err := snapshot.Decode(text)
	if err != nil {
		return 0
	}
	return len(open.OpenRequests) + open.OmittedRequests
}

// readSnapshots reads the two files of a folder, nil for one that is not there.
func readSnapshots(folder string) (files [2][]byte, err error) {
	if _, err := os.Stat(folder); err != nil {
		return files, err
	}
	for i, name := range snapshot.GenerationFiles {
		if files[i], err = os.ReadFile(filepath.Join(folder, name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return files, err
		}
	}
	return files, nil
}
