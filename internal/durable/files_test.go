package durable

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// The last write is the content, whether shorter or longer than before; a removed file is gone, and
// comes back with the next write.
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
			t.Errorf("got %q, %v, want %q", got, err, text)
		}
	}
	s.Remove()
	if _, err := os.Stat(s.Path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("it still exists: %v", err)
	}
	if err := s.Write([]byte("again")); err != nil {
		t.Fatal(err)
	}
	if got, _ := os.ReadFile(s.Path); string(got) != "again" {
		t.Errorf("got %q", got)
	}
}

// A directory that is locked can't be locked again, by whichever file descriptor, until it is
// released.
func TestLockedDirectoryIsRefusedUntilReleased(t *testing.T) {
	folder := t.TempDir()
	f, err := Lock(folder, "lock")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Lock(folder, "lock"); !errors.Is(err, ErrLocked) {
		t.Errorf("a second lock: %v", err)
	}
	f.Close()
	if f, err = Lock(folder, "lock"); err != nil {
		t.Errorf("released: %v", err)
	} else {
		f.Close()
	}
}
