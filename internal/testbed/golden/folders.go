package golden

import (
	"bytes"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// SameFolders fails the test unless the folder got has the same files as the folder want, with the
// same bytes. Neither folder may contain folders.
func SameFolders(t testing.TB, want, got string) {
	t.Helper()
	expectedFiles, files := readFolder(t, want), readFolder(t, got)
	expectedNames, names := slices.Sorted(maps.Keys(expectedFiles)), slices.Sorted(maps.Keys(files))
	if !slices.Equal(names, expectedNames) {
		t.Fatalf("folder %s has the files %q, want %q", got, names, expectedNames)
	}
	for _, name := range names {
		if !bytes.Equal(files[name], expectedFiles[name]) {
			t.Errorf("file %s has the bytes\n%x\nwant\n%x", name, files[name], expectedFiles[name])
		}
	}
}

// readFolder returns the contents of all files in a folder by file name.
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
