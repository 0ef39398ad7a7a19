package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/message"
	"reachspread/internal/system/status"
)

const (
	configurationPath = "/configuration" // the path of the configuration on the control plane
	maxListedNames    = 5                // the most item names that a table cell shows for one list
	standardInput     = "-"
)

// configurationCommand returns the command that prints which configuration is in force on which
// router. Its subcommands read and change the configuration.
func configurationCommand() *cobra.Command {
	c := routerStatusCommand("configuration", "Print which configuration is in force on routers of the fleet, and how long ago each router last confirmed it", printConfiguration)
	history := routerStatusCommand("history", "Print which configurations were recently in force on a router of the fleet, and what each changed", printHistory)
	c.AddCommand(
		configurationGetCommand(),
		configurationOrderCommand("put FILE", "Replace the whole configuration", http.MethodPut),
		configurationOrderCommand("patch FILE", "Change individual items of the configuration in force", http.MethodPatch),
		configurationDiffCommand(),
		history,
	)
	return c
}

func configurationGetCommand() *cobra.Command {
	c := &cobra.Command{Use: "get", Short: "Print the complete newest configuration", Args: cobra.NoArgs}
	to := newControlClient(c)
	c.RunE = func(cmd *cobra.Command, _ []string) error {
		text, err := to.call(cmd.Context(), http.MethodGet, configurationPath, "", nil)
		if err != nil {
			return err
		}
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false)
		return encoder.Encode(json.RawMessage(text))
	}
	return c
}

// configurationInForce fetches the newest configuration from the control plane.
func (t *controlClient) configurationInForce(cmd *cobra.Command) (*configuration.Document, error) {
	text, err := t.call(cmd.Context(), http.MethodGet, configurationPath, "", nil)
	if err != nil {
		return nil, err
	}
	return configuration.Parse(text)
}

// configurationOrderCommand returns a command that submits the order in a file. The command first
// checks the order with the same code that the register uses.
func configurationOrderCommand(use, short, method string) *cobra.Command {
	c := &cobra.Command{Use: use, Short: short + "; FILE may be - for standard input", Args: cobra.ExactArgs(1)}
	to := newControlClient(c)
	base := c.Flags().Int64("if-match", -1, "the `version` that the change builds on, 0 for the first configuration; by default the newest version")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		text, err := readFileOrInput(cmd, args[0])
		if err != nil {
			return err
		}
		if err := checkOrder(method, text); err != nil {
			return err
		}
		if *base < 0 {
			d, err := to.configurationInForce(cmd)
			if err != nil {
				return fmt.Errorf("--if-match is not set, and reading the newest version failed: %w", err)
			}
			*base = d.Version
		}
		answer, err := to.call(cmd.Context(), method, configurationPath, fmt.Sprint(*base), json.RawMessage(text))
		if err != nil {
			return err
		}
		var outcome struct {
			Version int64 `json:"version"`
		}
		if err := json.Unmarshal(answer, &outcome); err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "version %d is acknowledged, on top of version %d\n", outcome.Version, *base)
		return nil
	}
	return c
}

// readFileOrInput reads a file, or standard input if the name is "-".
func readFileOrInput(cmd *cobra.Command, file string) ([]byte, error) {
	if file == standardInput {
		return io.ReadAll(cmd.InOrStdin())
	}
	return os.ReadFile(file)
}

// checkOrder returns the error for which the control plane would reject an order no matter which
// configuration is in force.
func checkOrder(method string, text []byte) error {
	if method == http.MethodPatch {
		_, err := configuration.ParsePatch(text)
		return err
	}
	_, err := configuration.Next(nil, &message.Order{Kind: message.Order_PUT, Body: text})
	return err
}

func configurationDiffCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "diff FILE",
		Short: "Print how a complete configuration differs from the newest one; FILE may be - for standard input",
		Args:  cobra.ExactArgs(1),
	}
	to := newControlClient(c)
	asPatch := c.Flags().Bool("patch", false, "print a patch that turns the newest configuration into FILE, for fleet configuration patch")
	asJSON := c.Flags().Bool("json", false, "print a line of JSON")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		text, err := readFileOrInput(cmd, args[0])
		if err != nil {
			return err
		}
		after, err := configuration.Parse(text)
		if err != nil {
			return err
		}
		before, err := to.configurationInForce(cmd)
		if err != nil {
			return err
		}
		if *asPatch {
			patch, ok := configuration.Difference(before, after)
			if !ok {
				return errors.New("no patch turns the newest configuration into this one, because a field was removed or items changed their order; use fleet configuration put instead")
			}
			_, err := cmd.OutOrStdout().Write(patch)
			return err
		}
		changes := configuration.Changes(before, after)
		if *asJSON {
			return json.NewEncoder(cmd.OutOrStdout()).Encode(changes)
		}
		printChanges(cmd.OutOrStdout(), before.Version, after.Version, changes)
		return nil
	}
	return c
}

func printChanges(w io.Writer, before, after int64, changes []configuration.ListChange) {
	fmt.Fprintf(w, "version %d to version %d\n", before, after)
	writeTable(w, "list|item|change", func(row func(...any)) {
		for _, c := range changes {
			for _, group := range []struct {
				change string
				names  []string
			}{{"added", c.Added}, {"changed", c.Changed}, {"removed", c.Removed}} {
				for _, name := range group.names {
					row(c.List, name, group.change)
				}
			}
		}
	})
}

func printHistory(w io.Writer, answers []routerAnswer) {
	forEachStatus(answers, func(a routerAnswer, s *status.Router) {
		fmt.Fprintf(w, "%s at %s\n", s.Name, a.At)
		writeTable(w, "version|came in force|changes", func(row func(...any)) {
			for _, r := range s.Configuration.History {
				since := r.ActiveSeconds
				row(r.Version, durationText(&since)+" ago", changesText(r.Changes))
			}
		})
	})
}

// changesText formats the changes of one configuration version on one line. It returns a dash if there
// are none, as when the router does not know the previous version.
func changesText(all []configuration.ListChange) string {
	if len(all) == 0 {
		return noneText
	}
	var lists []string
	for _, c := range all {
		lists = append(lists, c.List+":"+namesText(" +", c.Added)+namesText(" ~", c.Changed)+namesText(" -", c.Removed))
	}
	return strings.Join(lists, "; ")
}

// namesText formats a prefix and up to maxListedNames names. It returns an empty string if there are
// no names.
func namesText(prefix string, names []string) string {
	if len(names) == 0 {
		return ""
	}
	if len(names) > maxListedNames {
		listed := strings.Join(names[:maxListedNames], ",")
		return fmt.Sprintf("%s%s and %d more", prefix, listed, len(names)-maxListedNames)
	}
	return prefix + strings.Join(names, ",")
}
