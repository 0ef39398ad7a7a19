package durable

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"reachspread/internal/testbed/golden"
)

// The files under testdata were written at commit 5bfcc27 by WRITE_GOLDEN=1 go test -run Golden. A
// lock file contains only the ID of its process. A ScratchFile and a file that WriteFileAtomic wrote
// contain only their text.

// Lock takes over a lock file that another process left behind, whatever it contains, and replaces its
// content by the ID of this process. The error for a second Lock contains this ID.
func TestGoldenLock(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, "router.lock")
	if err := os.WriteFile(path, golden.File(t, "router.lock", []byte("4194304000")), 0o644); err != nil {
		t.Fatal(err)
	}
	f, err := Lock(folder, "router.lock")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if text, err := os.ReadFile(path); err != nil || string(text) != fmt.Sprint(os.Getpid()) {
		t.Errorf("the lock file contains %q, error %v, want the ID of this process", text, err)
	}
	if _, err := Lock(folder, "router.lock"); err == nil || !strings.Contains(err.Error(), fmt.Sprint(os.Getpid())) {
		t.Errorf("a second lock: got error %v, want one with the ID of this process", err)
	}
}

// A ScratchFile whose file exists already overwrites it, so that the file has exactly the written
// content.
func TestGoldenScratch(t *testing.T) {
	text := []byte("what a scratch file has is its writer's\n")
	s := ScratchFile{Path: filepath.Join(t.TempDir(), "router.open")}
	defer s.Close()
	if err := os.WriteFile(s.Path, golden.File(t, "scratch", text), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, want := range [][]byte{[]byte("short"), golden.File(t, "scratch", text)} {
		if err := s.Write(want); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(s.Path); err != nil || string(got) != string(want) {
			t.Errorf("content after Write: got %q, error %v", got, err)
		}
	}
}

// WriteFileAtomic writes the text to the named file and leaves no temporary file in the folder. A
// temporary file that a killed process left behind stays there, and does no harm.
func TestGoldenWriteWhole(t *testing.T) {
	folder := t.TempDir()
	leftover := golden.File(t, "kept.2085132717.new", []byte("cut in the mid"))
	if err := os.WriteFile(filepath.Join(folder, "kept.2085132717.new"), leftover, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"first", "second, and longer"} {
		if err := WriteFileAtomic(filepath.Join(folder, "kept"), []byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(filepath.Join(folder, "kept")); err != nil || string(got) != text {
			t.Errorf("content after WriteFileAtomic: got %q, error %v", got, err)
		}
	}
	entries, err := os.ReadDir(folder)
	if err != nil || len(entries) != 2 {
		t.Errorf("folder has %v, error %v, want two files", entries, err)
	}
}
