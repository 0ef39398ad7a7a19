package durable

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// Whatever was written last is there, whole, whether shorter or longer than before; removed it is gone, and comes back with the next write.
func TestScratch(t *testing.T) {
	s := ScratchFile{Path: filepath.Join(t.TempDir(), "scratch")}
	defer s.Close()
	if err := os.WriteFile(s.Path, []byte("of a life before, and longer than what comes"), 0o644); err != nil {
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
		t.Errorf("it is there still: %v", err)
	}
	if err := s.Write([]byte("again")); err != nil {
		t.Fatal(err)
	}
	if got, _ := os.ReadFile(s.Path); string(got) != "again" {
		t.Errorf("got %q", got)
	}
}

// A folder that one process has another does not get, by whichever file descriptor, until it is given back.
func TestLock(t *testing.T) {
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
		t.Errorf("given back: %v", err)
	} else {
		f.Close()
	}
}
