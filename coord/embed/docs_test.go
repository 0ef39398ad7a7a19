package embed

import (
	"os"
	"strings"
	"testing"
)

// mostLines bounds the example that the library's page shows.
const mostLines = 60

// The page of the library shows the example as it is tested, and it stays short.
func TestPage(t *testing.T) {
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
	if lines := strings.Count(shown, "\n"); lines >= mostLines {
		t.Errorf("the example has %d lines; fewer than %d are wanted", lines, mostLines)
	}
}
