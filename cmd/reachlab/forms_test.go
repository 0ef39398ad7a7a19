package main

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// All commands, including hidden ones, have the paths and the flags in testdata, with the same types
// and defaults.
func TestCommandLineIsUnchanged(t *testing.T) {
	t.Setenv("USER", "somebody")
	t.Setenv("TMPDIR", "/tmp")
	formtest.Compare(t, "commands.txt", formtest.Commands(command(), map[string]string{"at-once": "the number of cores"}))
}
