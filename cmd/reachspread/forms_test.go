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

// All commands, including hidden ones, have the paths and the flags in testdata, with the same types
// and defaults.
func TestCommandLineIsUnchanged(t *testing.T) {
	t.Setenv("USER", "somebody")
	t.Setenv("TMPDIR", "/tmp")
	formtest.Compare(t, "commands.txt", formtest.Commands(command(), nil))
}

// The JSON answers of the commands that query several routers have the fields in testdata.
func TestStatusAnswersAreUnchanged(t *testing.T) {
	formtest.Compare(t, "status-answers.txt", formtest.Fields([]routerAnswer{}, "json"))
}

// environmentVariable matches a string that is the name of an environment variable. The name is
// followed by = where a program sets the variable for another process.
var environmentVariable = regexp.MustCompile(`^[A-Z][A-Z0-9]*(_[A-Z0-9]+)+=?$`)

// environmentNames adds the names of the environment variables in the string literals of a Go file to
// names.
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

// isProgramSource reports whether a file is Go source that is part of a program: it is neither
// generated nor used only by tests.
func isProgramSource(path string) bool {
	if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
		return false
	}
	return !strings.Contains(path, "/formtest/") && !strings.Contains(path, "/golden/") // packages that only tests use
}

// The environment variables that the programs read, or set for processes that they start, are those
// in testdata.
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
