package main

import (
	"os"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// readmeCommands are the lines of the README that call a program, without its path.
func readmeCommands(t *testing.T, program string) (all [][]string) {
	t.Helper()
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		line = strings.TrimPrefix(strings.TrimSpace(line), "$ ")
		for call := range strings.SplitSeq(line, ";") {
			call, _, _ = strings.Cut(call, " #")
			if words := strings.Fields(call); len(words) > 1 && words[0] == program {
				all = append(all, words[1:])
			}
		}
	}
	return all
}

// flagsOf are the flags that a line names, without brackets around what may be left out.
func flagsOf(words []string) (all []string) {
	for _, w := range words {
		w = strings.Trim(w, "[]")
		if name, ok := strings.CutPrefix(w, "--"); ok {
			name, _, _ = strings.Cut(name, "=")
			all = append(all, name)
		}
	}
	return all
}

// Each call of the program in the README is of a command that there is, with flags that it has.
func TestReadmeCommands(t *testing.T) {
	calls := readmeCommands(t, "bin/reachspread")
	if len(calls) < 10 {
		t.Fatalf("only %d are found", len(calls))
	}
	for _, words := range calls {
		checkCall(t, command(), words)
	}
}

func checkCall(t *testing.T, root *cobra.Command, words []string) {
	t.Helper()
	c, _, err := root.Find(words)
	if err != nil || c == root || c.HasSubCommands() {
		t.Errorf("README: there is no command %q", strings.Join(words, " "))
		return
	}
	if c.DisableFlagParsing {
		return // another program reads them
	}
	for _, name := range flagsOf(words) {
		if c.Flags().Lookup(name) == nil {
			t.Errorf("README: %q has no flag --%s", c.CommandPath(), name)
		}
	}
}
