package experiment

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/formtest"
)

// blockHeaders returns the blocks of an experiment's file by path, each as a format in which %s is
// the content of the block.
func blockHeaders() map[string]string {
	headers := map[string]string{"an experiment": "%s", "view": "view {\n%s\n}", "group/cold": "group \"g\" {\ncold {\n%s\n}\n}",
		"variant/view": "variant \"v\" {\nview {\n%s\n}\n}", "group": "group \"g\" {\n%s\n}", "class": "class \"c\" {\n%s\n}",
		"trouble": "trouble \"slow\" {\n%s\n}", "variant": "variant \"v\" {\n%s\n}"}
	for _, name := range []string{"module", "network", "list", "front", "retries", "peers", "rig"} {
		headers[name] = name + " {\n%s\n}"
	}
	for _, meaning := range faults.Kinds {
		headers["fault "+string(meaning.Kind)] = "fault \"" + string(meaning.Kind) + "\" {\n%s\n}"
	}
	headers["fault/when"] = "fault \"" + string(faults.Kinds[0].Kind) + "\" {\nlength = \"1s\"\nwhen {\n%s\n}\n}"
	return headers
}

// writtenNames returns the string literals in the package's code, which include the names of all
// fields.
func writtenNames(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	names := map[string]bool{}
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if literal, ok := n.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if text, err := strconv.Unquote(literal.Value); err == nil && token.IsIdentifier(text) {
					names[text] = true
				}
			}
			return true
		})
	}
	return slices.Sorted(maps.Keys(names))
}

// probes holds sample values of each type that a field may have.
var probes = []struct {
	kind   string
	values []string
}{
	{"number", []string{"1", "0.5", "3", "100", "1000", "100000"}},
	{"duration", []string{`"1s"`}},
	{"text", []string{`"word"`, `"a"`, `"all"`, `"in"`, `"zones"`, `"full"`, `"both"`}},
	{"flag", []string{"true"}},
	{"numbers", []string{"[1]", "[1, 2]"}},
	{"groups", []string{"[[0], [1]]"}},
	{"texts", []string{`["a"]`, `["peer"]`, `["peers"]`}},
}

// complaint returns the parser's error for a field with a value in a block, without the field's
// name. It is empty if the parser accepts the value.
func complaint(header, field, value string) string {
	body := field + " = " + value
	text := "seeds = 1\n" + fmt.Sprintf(header, body)
	if header == "%s" && field == "seeds" {
		text = body
	}
	_, err := Parse([]byte(text), "x.hcl")
	if err == nil {
		return ""
	}
	lineOfField := 1 + strings.Count(text[:strings.LastIndex(text, body)], "\n")
	said, ok := strings.CutPrefix(err.Error(), fmt.Sprintf("x.hcl:%d: %s ", lineOfField, field))
	if !ok || strings.HasPrefix(said, "is missing") {
		return ""
	}
	return said
}

// describeBlock lists the fields of a block, each with the types of values that the field accepts.
func describeBlock(header string, names []string) string {
	var out strings.Builder
	unknown := complaint(header, "no_such_field", "1")
	for _, name := range names {
		if complaint(header, name, "1") == unknown {
			continue
		}
		var kinds []string
		for _, probe := range probes {
			if slices.ContainsFunc(probe.values, func(value string) bool { return complaint(header, name, value) == "" }) {
				kinds = append(kinds, probe.kind)
			}
		}
		fmt.Fprintf(&out, "%s %s\n", name, strings.Join(kinds, " or "))
	}
	return out.String()
}

// The blocks of an experiment's file have the same fields, with the same types, as before, so that
// existing files stay valid.
func TestExperimentFileFormIsUnchanged(t *testing.T) {
	names := writtenNames(t)
	var parts [][2]string
	headers := blockHeaders()
	for _, block := range slices.Sorted(maps.Keys(headers)) {
		parts = append(parts, [2]string{block, describeBlock(headers[block], names)})
	}
	formtest.Compare(t, "experiment-file.txt", formtest.Document(parts...))
}

// Every experiment's file in deploy/lab can be parsed.
func TestExperimentsOfTheRepositoryAreRead(t *testing.T) {
	paths, err := filepath.Glob("../../../deploy/lab/*.hcl")
	if err != nil || len(paths) == 0 {
		t.Fatal(err, len(paths))
	}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text, filepath.Base(path)); err != nil {
			t.Error(err)
		}
	}
}

// The lines of the runs file and the columns of the table have the same names as before.
func TestKeptRunFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "kept-run.txt", formtest.Document([2]string{"line of the runs", formtest.Fields(Run{}, "json")},
		[2]string{"columns of the table", strings.Join(columns, "\n") + "\n"}))
}
