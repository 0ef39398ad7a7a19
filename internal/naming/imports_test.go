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

// importGroup is where an import belongs in a file's import block.
type importGroup int

// The groups, in their order; a blank line stands between two.
const (
	standardLibrary importGroup = iota
	libraries
	thisModule
)

func (g importGroup) String() string {
	return [...]string{"the standard library", "libraries", "this module"}[g]
}

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

// TestImportsAreGrouped fails for a file whose imports don't stand in the groups standard library,
// libraries, this module, in that order with a blank line between; gofmt sorts within a group.
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

// misplacedImport is the first import that is in another group than its own, nil for none.
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

func importPath(spec *ast.ImportSpec) string {
	path, err := strconv.Unquote(spec.Path.Value)
	if err != nil {
		return spec.Path.Value
	}
	return path
}
