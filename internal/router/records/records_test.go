package records

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

func record(id string) *Record {
	return &Record{Version: Version, At: time.Unix(1, 0).UTC(), Pool: "next", Class: "chat", ID: id, Session: "0123456789abcdef",
		Cause: "broken", Live: Answer{Outcome: "whole"}, Copy: Answer{Outcome: "broken"}}
}

func readIDs(t *testing.T, folder string) (found string, truncated int) {
	t.Helper()
	truncated, err := Read(folder, func(_ []byte, r *Record) error { found += r.ID + " "; return nil })
	if err != nil {
		t.Fatal(err)
	}
	return found, truncated
}

// The writer bounds the size and number of files. It removes the oldest files first, including the
// files of an earlier process.
func TestWriterRotatesFiles(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "made")
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		w := &Writer{Folder: folder, FileBytes: 1, Files: 3}
		for _, n := range []string{"1", "2"} {
			if err := w.Append(record(id + n)); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(2 * time.Millisecond) // file names state the time in milliseconds and must differ
	}
	if got, _ := readIDs(t, folder); got != "d2 e1 e2 " {
		t.Errorf("left: %s", got)
	}
	w := &Writer{Folder: folder, FileBytes: 1 << 20, Files: 3}
	for range 3 {
		if err := w.Append(record("x")); err != nil {
			t.Fatal(err)
		}
	}
	if got, _ := readIDs(t, folder); got != "e1 e2 x x x " {
		t.Errorf("left: %s", got)
	}
}

// limitedWriter accepts a limited number of bytes and then fails, like a full disk.
type limitedWriter struct {
	io.WriteCloser
	remaining int
}

func (f *limitedWriter) Write(p []byte) (int, error) {
	if len(p) <= f.remaining {
		f.remaining -= len(p)
		return f.WriteCloser.Write(p)
	}
	n, _ := f.WriteCloser.Write(p[:f.remaining])
	f.remaining = 0
	return n, errors.New("no space left")
}

// A disk that becomes full truncates a line. The truncated line stays the last line of its file,
// Read skips it, and the writer continues in the next file.
func TestTruncatedLineStaysTheLastOfItsFile(t *testing.T) {
	folder := t.TempDir()
	w := &Writer{Folder: folder, FileBytes: 1 << 20, Files: 9, Open: func(path string) (io.WriteCloser, error) {
		f, err := create(path)
		return &limitedWriter{f, 450}, err
	}}
	for _, id := range []string{"a", "b", "c"} {
		if err := w.Append(record(id)); (err != nil) != (id == "b") {
			t.Fatalf("%s: %v", id, err)
		}
	}
	if got, truncated := readIDs(t, folder); got != "a c " || truncated != 1 {
		t.Errorf("read %s, %d truncated lines, want \"a c \" and 1", got, truncated)
	}
}

// Read's errors name the file and the line. Only the last line of a file may be truncated.
func TestReaderNamesFileAndLine(t *testing.T) {
	for text, want := range map[string]string{
		"{}\n":                           ":1: version is 0",
		"{\"version\":1}\n{\n{}":         ":2: unexpected end",
		"{\"version\":1}\n{\"version\":": "",
	} {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, "shadow-1.ndjson"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(folder, func([]byte, *Record) error { return nil })
		if (err != nil) != (want != "") || err != nil && !strings.Contains(err.Error(), "shadow-1.ndjson"+want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
	if _, err := Read("nowhere", nil); err == nil {
		t.Error("Read returned no error for a folder that does not exist")
	}
}
