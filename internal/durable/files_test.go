package durable

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// After each Write the file has exactly the written content, whether it is shorter or longer than the
// content before. Remove deletes the file, and the next Write creates it again.
func TestScratchFileHasTheLastWrite(t *testing.T) {
	s := ScratchFile{Path: filepath.Join(t.TempDir(), "scratch")}
	defer s.Close()
	if err := os.WriteFile(s.Path, []byte("of an earlier process, and longer than what comes"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{"long enough", "short", "", "longer than anything before"} {
		if err := s.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(s.Path); err != nil || string(got) != text {
			t.Errorf("content after Write: got %q, error %v, want %q", got, err, text)
		}
	}
	s.Remove()
	if _, err := os.Stat(s.Path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("Stat after Remove: got error %v, want that the file does not exist", err)
	}
	if err := s.Write([]byte("again")); err != nil {
		t.Fatal(err)
	}
	if got, _ := os.ReadFile(s.Path); string(got) != "again" {
		t.Errorf("content after Remove and Write: got %q, want \"again\"", got)
	}
}

// A locked directory can't be locked again until the lock is released, even through another file
// descriptor of the same process.
func TestLockedDirectoryIsRefusedUntilReleased(t *testing.T) {
	folder := t.TempDir()
	f, err := Lock(folder, "lock")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(folder, "lock"); !errors.Is(err, ErrLocked) {
		t.Errorf("a second lock of the directory: got %v, want ErrLocked", err)
	}
	f.Close()
	if f, err = Lock(folder, "lock"); err != nil {
		t.Errorf("a lock of the directory after the first one was released: %v", err)
	} else {
		f.Close()
	}
}
