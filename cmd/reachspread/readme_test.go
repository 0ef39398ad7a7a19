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

// readmeCommands returns the calls of a program in the README, each as its arguments without the path
// of the program.
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

// flagsOf returns the names of the flags in a call. It ignores the brackets around optional
// arguments.
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

// Each call of the program in the README uses an existing command and only flags that the command has.
func TestReadmeCommands(t *testing.T) {
	calls := readmeCommands(t, "bin/reachspread")
	if len(calls) < 10 {
		t.Fatalf("found only %d calls in the README, want at least 10", len(calls))
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
		return // the command passes its flags on to another program
	}
	for _, name := range flagsOf(words) {
		if c.Flags().Lookup(name) == nil {
			t.Errorf("README: %q has no flag --%s", c.CommandPath(), name)
		}
	}
}

// The README's table of packages lists each package exactly once and nothing else.
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
				t.Errorf("README: the table lists package %s %d times, want once", name, listed[name])
			}
			if len(files) == 0 && listed[name] > 0 {
				t.Errorf("README: the table lists %s, which is not a package", name)
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
			t.Errorf("README: the table lists %s, which does not exist", name)
		}
	}
}
