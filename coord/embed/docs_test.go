package embed

import (
	"os"
	"strings"
	"testing"
)

// maxExampleLines bounds the example in docs/library.md.
const maxExampleLines = 60

// docs/library.md shows the example as it is tested, and it stays short.
func TestLibraryPageShowsExample(t *testing.T) {
	page, err := os.ReadFile("../../docs/library.md")
	if err != nil {
		t.Fatal(err)
	}
	example, err := os.ReadFile("example_test.go")
	if err != nil {
		t.Fatal(err)
	}
	_, shown, _ := strings.Cut(string(example), "\n// note is")
	if !strings.Contains(string(page), "```go\n// note is"+shown+"```") {
		t.Error("docs/library.md does not show the example as it is")
	}
	if lines := strings.Count(shown, "\n"); lines >= maxExampleLines {
		t.Errorf("the example has %d lines; it may have fewer than %d", lines, maxExampleLines)
	}
}
