package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"reachspread/internal/router/snapshot"
)

func snapshotCommand() *cobra.Command {
	c := &cobra.Command{Use: "snapshot", Short: "Inspect the state that a router saves for its next start"}
	c.AddCommand(snapshotShowCommand(), snapshotCheckCommand())
	return c
}

func snapshotShowCommand() *cobra.Command {
	show := &cobra.Command{Use: "show FOLDER", Short: "Print the newest valid snapshot", Args: cobra.ExactArgs(1)}
	asJSON := show.Flags().Bool("json", false, "print the complete snapshot as JSON")
	show.RunE = func(cmd *cobra.Command, args []string) error {
		files, err := readSnapshots(args[0])
		if err != nil {
			return err
		}
		s, generation, invalid := snapshot.Newest(files)
		if s == nil {
			return errors.Join(fmt.Errorf("folder %s has no valid snapshot", args[0]), invalid[0], invalid[1])
		}
		if *asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(s)
		}
		printSnapshot(cmd.OutOrStdout(), s, generation, openRequests(args[0]))
		return nil
	}
	return show
}

// printSnapshot prints the main values of a snapshot, the number of requests that were open when the
// router stopped, and a table of the hosts.
func printSnapshot(out io.Writer, s *snapshot.State, generation uint64, open int) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintf(w, "router\t%s\ngeneration\t%d\n", s.Router, generation)
	fmt.Fprintf(w, "written\t%s, by a clock that nothing rests on\n", s.SavedAt.Format(time.RFC3339))
	if s.List != nil {
		fmt.Fprintf(w, "list\t%d hosts, version %d, from %s\n", len(s.List.Servers), s.List.Version, s.ListSource)
	}
	fmt.Fprintf(w, "view\t%d routers, own incarnation %d\n", len(s.Routers), s.Incarnation)
	fmt.Fprintf(w, "largest token\t%d\ndrained\t%v\nunanswered\t%d\n", s.HighestToken, s.Drained, open)
	if s.List == nil {
		return
	}
	fmt.Fprintln(w, "\nhost\tzone\tkind\tstate\taddress")
	for _, e := range s.List.Servers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.ID, e.Zone, e.Kind, e.State, e.Addr)
	}
}

func snapshotCheckCommand() *cobra.Command {
	check := &cobra.Command{Use: "check FOLDER", Short: "Check each snapshot; print its generation, or what is wrong at which byte", Args: cobra.ExactArgs(1)}
	check.RunE = func(cmd *cobra.Command, args []string) error {
		files, err := readSnapshots(args[0])
		if err != nil {
			return err
		}
		if !checkSnapshots(cmd.OutOrStdout(), files) {
			return errors.New("the folder has no valid snapshot")
		}
		return nil
	}
	return check
}

// checkSnapshots prints one line for each snapshot file and reports whether at least one is valid.
func checkSnapshots(out io.Writer, files [2][]byte) (valid bool) {
	for i, b := range files {
		name := snapshot.GenerationFiles[i]
		if b == nil {
			fmt.Fprintf(out, "%s: not there\n", name)
			continue
		}
		_, generation, err := snapshot.Decode(b)
		if err != nil {
			fmt.Fprintf(out, "%s: %v\n", name, err)
			continue
		}
		valid = true
		fmt.Fprintf(out, "%s: whole, generation %d, %d bytes\n", name, generation, len(b))
	}
	return valid
}

// openRequests returns the number of open requests that the open-requests file of a folder records.
// It returns 0 if the file is missing or invalid.
func openRequests(folder string) int {
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

// readSnapshots reads the two snapshot files of a folder. A missing file is nil.
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
