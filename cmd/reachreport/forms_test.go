package main

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// Each command has the same path and flags, with the same types and defaults, hidden ones too.
func TestCommandLineIsUnchanged(t *testing.T) {
	t.Setenv("USER", "somebody")
	t.Setenv("TMPDIR", "/tmp")
	formtest.Compare(t, "commands.txt", formtest.Commands(command(), nil))
}
