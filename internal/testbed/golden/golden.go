// Package golden is test support: it compares what the code writes on a wire, and in files that it
// keeps, with what it wrote when the golden files were made. stored.go is for files, of which each
// form has one.
//
// The golden files were made by the code of commit 5bfcc27, by running the tests with
// WRITE_GOLDEN=1. They are not to be made again: a test that fails by them has found a change of a
// wire format that routers of the release before can't read.
package golden

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Record is one named sequence of bytes, such as a datagram.
type Record struct {
	Name string // without spaces; unique in a file
	Data []byte
}

// writeVariable is the environment variable that has the files written anew instead of compared.
const writeVariable = "WRITE_GOLDEN"

// Check fails the test unless a golden file under testdata has exactly these records, in this
// order. It returns the file's bytes by name.
func Check(t testing.TB, file string, records []Record) map[string][]byte {
	t.Helper()
	var text strings.Builder
	for _, r := range records {
		fmt.Fprintf(&text, "%s %s\n", r.Name, hex.EncodeToString(r.Data))
	}
	CheckText(t, file, text.String())
	golden := make(map[string][]byte, len(records))
	for _, line := range strings.Split(strings.TrimSuffix(read(t, file), "\n"), "\n") {
		name, digits, _ := strings.Cut(line, " ")
		data, err := hex.DecodeString(digits)
		if err != nil {
			t.Fatalf("%s: %s: %v", file, name, err)
		}
		golden[name] = data
	}
	for _, r := range records {
		if !bytes.Equal(golden[r.Name], r.Data) {
			t.Errorf("%s: %s is\n%x, not\n%x", file, r.Name, r.Data, golden[r.Name])
		}
	}
	return golden
}

// CheckText fails the test unless a golden file under testdata has exactly this text. The first
// line that differs is shown.
func CheckText(t testing.TB, file, text string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if os.Getenv(writeVariable) != "" {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, want := strings.Split(text, "\n"), strings.Split(read(t, file), "\n")
	for i := range max(len(got), len(want)) {
		if i >= len(got) || i >= len(want) {
			t.Fatalf("%s has %d lines, not %d", file, len(got), len(want))
		}
		if got[i] != want[i] {
			t.Fatalf("%s: line %d is\n%s, not\n%s", file, i+1, got[i], want[i])
		}
	}
}

func read(t testing.TB, file string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
