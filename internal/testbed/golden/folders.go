package golden

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// SameFolders fails the test unless a folder has the files of another, with the same bytes. Neither
// has folders in it.
func SameFolders(t testing.TB, want, got string) {
	t.Helper()
	expectedFiles, files := readFolder(t, want), readFolder(t, got)
	expectedNames, names := slices.Sorted(maps.Keys(expectedFiles)), slices.Sorted(maps.Keys(files))
	if !slices.Equal(names, expectedNames) {
		t.Fatalf("%s has %q, not %q", got, names, expectedNames)
	}
	for _, name := range names {
		if !bytes.Equal(files[name], expectedFiles[name]) {
			t.Errorf("%s is\n%x\nand was\n%x", name, files[name], expectedFiles[name])
		}
	}
}

// readFolder reads all files of a folder, by name.
func readFolder(t testing.TB, path string) map[string][]byte {
	t.Helper()
	entries, err := os.ReadDir(path)
	if err != nil {
		t.Fatal(err)
	}
	files := make(map[string][]byte, len(entries))
	for _, entry := range entries {
		if files[entry.Name()], err = os.ReadFile(filepath.Join(path, entry.Name())); err != nil {
			t.Fatal(err)
		}
	}
	return files
}
