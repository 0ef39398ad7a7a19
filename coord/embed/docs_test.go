package embed

import (
	"os"
	"strings"
	"testing"
)

// maxExampleLines bounds the length of the example in docs/library.md.
const maxExampleLines = 60

// docs/library.md contains the example of example_test.go unchanged, and the example is short.
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
		t.Error("docs/library.md does not contain the example as it is in coord/embed/example_test.go")
	}
	if lines := strings.Count(shown, "\n"); lines >= maxExampleLines {
		t.Errorf("the example in coord/embed/example_test.go has %d lines, want fewer than %d", lines, maxExampleLines)
	}
}
