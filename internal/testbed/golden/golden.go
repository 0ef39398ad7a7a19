// Package golden is test support. It compares the bytes that the code sends on the wire, or writes
// to stored files, with golden files that an earlier version of the code made. The functions in
// stored.go compare stored files. Each format of stored files has one golden file.
//
// The code of commit 5bfcc27 made the golden files, when the tests ran with WRITE_GOLDEN=1. Don't
// regenerate them: a test that fails because of a golden file has found a change of a wire format
// that routers of the previous release can't read.
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
	Name string // contains no spaces; unique in a file
	Data []byte
}

// writeVariable is the environment variable that makes CheckText overwrite a golden file before the
// comparison, and File create a missing one.
const writeVariable = "WRITE_GOLDEN"

// Check fails the test unless a golden file under testdata has exactly these records, in this
// order. It returns the data of the file's records by name.
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
			t.Errorf("%s: record %s is\n%x, want\n%x", file, r.Name, r.Data, golden[r.Name])
		}
	}
	return golden
}

// CheckText fails the test unless a golden file under testdata has exactly this text. The failure
// shows the first line that differs.
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
			t.Fatalf("%s: the text has %d lines, want %d", file, len(got), len(want))
		}
		if got[i] != want[i] {
			t.Fatalf("%s: line %d is\n%s, want\n%s", file, i+1, got[i], want[i])
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
