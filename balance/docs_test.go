package balance

import (
	"os"
	"strings"
	"testing"
)

// The on-call page must list every log line of the policy files in its exact words.
func TestLogLinesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/oncall.md")
	if err != nil {
		t.Fatal(err)
	}
	var code strings.Builder
	for _, path := range policyFiles(t) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		code.Write(text)
	}
	parts := strings.Split(code.String(), `Log{"`)
	if len(parts) < 2 {
		t.Fatal("no log line found in the policy files")
	}
	for _, part := range parts[1:] {
		words, _, _ := strings.Cut(part, `: "`)
		if !strings.Contains(string(page), "| `"+words+"` |") {
			t.Errorf("docs/oncall.md lacks the log line %q", words)
		}
	}
}
