package naming

import (
	"bufio"
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode"
)

const (
	moduleRoot    = "../.."
	glossaryFile  = moduleRoot + "/docs/glossary.md"
	remainingFile = "remaining.txt"
	updateVar     = "UPDATE_REMAINING_NAMES"
)

// declaration is a name that a package declares outside of its tests.
type declaration struct{ folder, name string }

func (d declaration) String() string { return d.folder + " " + d.name }

// glossary holds the rules for names in docs/glossary.md.
type glossary struct {
	terms      map[string]string    // by plain word, the technical term to use instead
	exceptions map[declaration]bool // names that may contain a plain word
}

// TestDeclaredNamesAreTerms fails for a declared name that contains a plain word, unless the name is
// an exception of the glossary or is listed in remaining.txt. It also fails for an exception, or an
// entry of remaining.txt, that no longer matches a declared name with a plain word.
func TestDeclaredNamesAreTerms(t *testing.T) {
	glossary := readGlossary(t)
	found := map[declaration]string{}
	for d := range declarations(t) {
		if word := glossary.plainWord(d.name); word != "" {
			found[d] = word
		}
	}
	for d := range glossary.exceptions {
		if found[d] == "" {
			t.Errorf("docs/glossary.md lists the exception %q, but no declared name of that kind contains a plain word", d)
		}
		delete(found, d)
	}
	if os.Getenv(updateVar) != "" {
		writeRemaining(t, found)
		return
	}
	remaining := readRemaining(t)
	for _, d := range sorted(found) {
		if !remaining[d] {
			word := found[d]
			t.Errorf("%s: docs/glossary.md replaces the word %q by %q; rename the declaration, or add an exception with its reason",
				d, word, glossary.terms[word])
		}
	}
	for _, d := range sorted(remaining) {
		if found[d] == "" {
			t.Errorf("%s lists %q, which is not declared or contains no plain word any more: run this test with %s=1", remainingFile, d, updateVar)
		}
	}
}

// plainWord returns the first plain word in a name, empty for none.
func (g *glossary) plainWord(name string) string {
	for _, word := range splitName(name) {
		if g.terms[word] != "" {
			return word
		}
	}
	return ""
}

var (
	termRow      = regexp.MustCompile("^\\| `([a-z, ]+)` \\| ([^|]+) \\|$")
	exceptionRow = regexp.MustCompile("^\\| `([A-Za-z0-9_, ]+)` \\| `([a-z0-9/]+)` \\| [^|]+ \\|$")
)

// readGlossary reads the tables below the headings "Plain words" and "Exceptions".
func readGlossary(t *testing.T) *glossary {
	t.Helper()
	g := &glossary{terms: map[string]string{}, exceptions: map[declaration]bool{}}
	heading := ""
	for _, line := range readLines(t, glossaryFile) {
		if after, ok := strings.CutPrefix(line, "## "); ok {
			heading = after
		}
		switch heading {
		case "Plain words":
			if row := termRow.FindStringSubmatch(line); row != nil {
				for _, word := range strings.Split(row[1], ", ") {
					g.terms[word] = strings.TrimSpace(row[2])
				}
			}
		case "Exceptions":
			if row := exceptionRow.FindStringSubmatch(line); row != nil {
				for _, name := range strings.Split(row[1], ", ") {
					g.exceptions[declaration{row[2], name}] = true
				}
			}
		}
	}
	if len(g.terms) == 0 {
		t.Fatalf("%s has no rows below the heading \"Plain words\"", glossaryFile)
	}
	return g
}

// declarations returns the names of the files, types, functions, constants, variables, fields,
// parameters and locals of all packages, except in tests and generated code.
func declarations(t *testing.T) map[declaration]bool {
	t.Helper()
	all := map[declaration]bool{}
	for _, path := range goFiles(t) {
		if strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go") {
			continue
		}
		if err := collect(path, all); err != nil {
			t.Fatal(err)
		}
	}
	return all
}

// goFiles returns the paths of the module's Go files, except for snapshots in the journal, test data
// and build output.
func goFiles(t *testing.T) []string {
	t.Helper()
	skipped := []string{"journal", "testdata", "bin", "target"}
	var all []string
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := entry.Name()
		if entry.IsDir() && path != moduleRoot && (strings.HasPrefix(name, ".") || slices.Contains(skipped, name)) {
			return filepath.SkipDir
		}
		if !entry.IsDir() && strings.HasSuffix(name, ".go") {
			all = append(all, path)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// collect adds the names that the file at path declares, and its own name, to all.
func collect(path string, all map[declaration]bool) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	folder, err := filepath.Rel(moduleRoot, filepath.Dir(path))
	if err != nil {
		return err
	}
	add := func(names ...*ast.Ident) {
		for _, name := range names {
			all[declaration{folder, name.Name}] = true
		}
	}
	all[declaration{folder, strings.TrimSuffix(filepath.Base(path), ".go")}] = true
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			add(node.Name)
		case *ast.TypeSpec:
			add(node.Name)
		case *ast.ValueSpec:
			add(node.Names...)
		case *ast.Field:
			add(node.Names...)
		case *ast.AssignStmt:
			if node.Tok == token.DEFINE {
				for _, left := range node.Lhs {
					if name, ok := left.(*ast.Ident); ok {
						add(name)
					}
				}
			}
		}
		return true
	})
	return nil
}

var letterRuns = regexp.MustCompile(`[A-Za-z]+`)

// splitName splits a camel-case name into its words, in lower case.
func splitName(name string) []string {
	var words []string
	for _, run := range letterRuns.FindAllString(name, -1) {
		start := 0
		for i, letter := range run {
			if i > start && unicode.IsUpper(letter) && unicode.IsLower(rune(run[i-1])) {
				words = append(words, strings.ToLower(run[start:i]))
				start = i
			}
		}
		words = append(words, strings.ToLower(run[start:]))
	}
	return words
}

// readRemaining reads the names in remaining.txt.
func readRemaining(t *testing.T) map[declaration]bool {
	t.Helper()
	all := map[declaration]bool{}
	for _, line := range readLines(t, remainingFile) {
		folder, names, ok := strings.Cut(line, ": ")
		if !ok {
			t.Fatalf("%s: %q is not of the form \"folder: name name\"", remainingFile, line)
		}
		for _, name := range strings.Fields(names) {
			all[declaration{folder, name}] = true
		}
	}
	return all
}

// writeRemaining replaces remaining.txt by a list of the names in found.
func writeRemaining(t *testing.T, found map[declaration]string) {
	t.Helper()
	byFolder := map[string][]string{}
	for _, d := range sorted(found) {
		byFolder[d.folder] = append(byFolder[d.folder], d.name)
	}
	var text strings.Builder
	for _, folder := range slices.Sorted(maps.Keys(byFolder)) {
		fmt.Fprintf(&text, "%s: %s\n", folder, strings.Join(byFolder[folder], " "))
	}
	if err := os.WriteFile(remainingFile, []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

// readLines returns the lines of a text file.
func readLines(t *testing.T, path string) []string {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	var lines []string
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		lines = append(lines, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	return lines
}

// sorted returns the declarations in a map, ordered by folder and name.
func sorted[V any](all map[declaration]V) []declaration {
	return slices.SortedFunc(maps.Keys(all), func(a, b declaration) int {
		return cmp.Or(cmp.Compare(a.folder, b.folder), cmp.Compare(a.name, b.name))
	})
}
