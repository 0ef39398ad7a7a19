package report

import (
	"bufio"
	"errors"
	"io"
	"os"
	"path/filepath"
)

// WriteFile writes a file atomically: after an error or a crash, the file at path is unchanged.
func WriteFile(path string, write func(io.Writer) error) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".reach-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	out := bufio.NewWriter(f)
	if err := errors.Join(write(out), out.Flush(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}
