package durable

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"reachspread/internal/testbed/golden"
)

// The files under testdata were written at commit 5bfcc27: WRITE_GOLDEN=1 go test -run Golden. A
// lock has the number of its process and nothing else, a scratch file and one that is written whole
// have their text and nothing else.

// A lock that a process has left behind is taken over, whatever it says, and says then whose it is;
// whoever is refused is told.
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
		t.Errorf("the lock has %q, %v", text, err)
	}
	if _, err := Lock(folder, "router.lock"); err == nil || !strings.Contains(err.Error(), fmt.Sprint(os.Getpid())) {
		t.Errorf("refused with %v", err)
	}
}

// A scratch file that is there already is taken over, and has then what is written and no more.
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
			t.Errorf("%q, %v", got, err)
		}
	}
}

// A file that is written whole has its text under its name, and nothing else is left in the folder.
// What a process that was killed left under the name of a file in the making stays there and harms
// nobody.
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
			t.Errorf("%q, %v", got, err)
		}
	}
	entries, err := os.ReadDir(folder)
	if err != nil || len(entries) != 2 {
		t.Errorf("%v, %v", entries, err)
	}
}
