package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"reachspread/internal/testbed/formtest"
)

// Each command has the same path and flags, with the same types and defaults, hidden ones too.
func TestCommandLineIsUnchanged(t *testing.T) {
	t.Setenv("USER", "somebody")
	t.Setenv("TMPDIR", "/tmp")
	formtest.Compare(t, "commands.txt", formtest.Commands(command(), nil))
}

// What a command prints of several routers has the same fields.
func TestStatusAnswersAreUnchanged(t *testing.T) {
	formtest.Compare(t, "status-answers.txt", formtest.Fields([]routerAnswer{}, "json"))
}

// environmentVariable is what a string that names one looks like; with = behind it for one that is
// set for another process.
var environmentVariable = regexp.MustCompile(`^[A-Z][A-Z0-9]*(_[A-Z0-9]+)+=?$`)

// environmentNames adds the names of environment variables that a file of Go has.
func environmentNames(t *testing.T, path string, names map[string]bool) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(file, func(n ast.Node) bool {
		literal, ok := n.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		if text, err := strconv.Unquote(literal.Value); err == nil && environmentVariable.MatchString(text) {
			names[strings.TrimSuffix(text, "=")] = true
		}
		return true
	})
}

// isProgramSource reports whether a file is written for the programs: neither generated nor for
// tests.
func isProgramSource(path string) bool {
	if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
		return false
	}
	return !strings.Contains(path, "/formtest/") && !strings.Contains(path, "/golden/") // packages for tests alone
}

// The programs read the same environment variables, and set the same ones for processes that they
// start.
func TestEnvironmentVariablesAreUnchanged(t *testing.T) {
	names := map[string]bool{}
	for _, top := range []string{"balance", "cmd", "coord", "internal"} {
		err := filepath.WalkDir("../../"+top, func(path string, d fs.DirEntry, err error) error {
			if err == nil && isProgramSource(path) {
				environmentNames(t, path, names)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	formtest.Compare(t, "environment.txt", strings.Join(slices.Sorted(maps.Keys(names)), "\n")+"\n")
}
