package naming

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// importGroup is the group of a file's import block that an import belongs to.
type importGroup int

// The groups, in their order in a file. A blank line separates two groups.
const (
	standardLibrary importGroup = iota
	libraries
	thisModule
)

func (g importGroup) String() string {
	return [...]string{"the standard library", "libraries", "this module"}[g]
}

// groupOf returns the group that an import path belongs to.
func groupOf(path string) importGroup {
	first, _, _ := strings.Cut(path, "/")
	switch {
	case first == "reachspread":
		return thisModule
	case strings.Contains(first, "."):
		return libraries
	}
	return standardLibrary
}

// TestImportsAreGrouped fails for a file whose imports are not grouped as standard library, libraries,
// this module, in this order and separated by blank lines. gofmt sorts the imports within a group.
func TestImportsAreGrouped(t *testing.T) {
	for _, path := range goFiles(t) {
		if strings.HasSuffix(path, ".pb.go") {
			continue
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		if at := misplacedImport(files, file); at != nil {
			name, _ := filepath.Rel(moduleRoot, path)
			t.Errorf("%s:%d: import %s: group imports as standard library, libraries, this module, with a blank line between",
				name, files.Position(at.Pos()).Line, at.Path.Value)
		}
	}
}

// misplacedImport returns the first import that is in the wrong group, nil for none.
func misplacedImport(files *token.FileSet, file *ast.File) *ast.ImportSpec {
	var previous *ast.ImportSpec
	for _, spec := range file.Imports {
		if previous != nil {
			lines := files.Position(spec.Pos()).Line - files.Position(previous.End()).Line
			group, earlier := groupOf(importPath(spec)), groupOf(importPath(previous))
			separated := lines > 1 && spec.Doc == nil
			if group < earlier || group != earlier && !separated {
				return spec
			}
		}
		previous = spec
	}
	return nil
}

// importPath returns the path of an import without its quotes.
func importPath(spec *ast.ImportSpec) string {
	path, err := strconv.Unquote(spec.Path.Value)
	if err != nil {
		return spec.Path.Value
	}
	return path
}
