package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
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

// The README's table of packages has each package once, and no other.
func TestReadmePackages(t *testing.T) {
	text, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := map[string]int{}
	for line := range strings.Lines(string(text)) {
		if cells := strings.Split(line, "|"); len(cells) == 4 {
			for _, name := range regexp.MustCompile("`([a-z/0-9]+)`").FindAllStringSubmatch(cells[1], -1) {
				listed[name[1]]++
			}
		}
	}
	for _, top := range []string{"balance", "cmd", "coord", "internal"} {
		err := filepath.WalkDir("../../"+top, func(path string, d fs.DirEntry, err error) error {
			if err != nil || !d.IsDir() {
				return err
			}
			name := strings.TrimPrefix(path, "../../")
			files, err := filepath.Glob(path + "/*.go")
			if len(files) > 0 && listed[name] != 1 {
				t.Errorf("README: the table has %s %d times", name, listed[name])
			}
			if len(files) == 0 && listed[name] > 0 {
				t.Errorf("README: %s is no package", name)
			}
			delete(listed, name)
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for name := range listed {
		if strings.HasPrefix(name, "internal/") || strings.HasPrefix(name, "coord/") || strings.HasPrefix(name, "cmd/") {
			t.Errorf("README: there is no %s", name)
		}
	}
}
