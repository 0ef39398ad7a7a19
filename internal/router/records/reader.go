package records

import (
	"bufio"
	"bytes"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// Files returns the paths of the record files in a folder, oldest first.
func Files(folder string) ([]string, error) {
	if _, err := os.ReadDir(folder); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(folder, "shadow-*.ndjson"))
	slices.Sort(files)
	return files, err
}

// Read calls each for every record in a folder, oldest first, with the record and its line. Read
// skips a truncated last line of a file, and returns how many it skipped. At any other line that is
// no record, and when each returns an error, Read stops with an error that names the file and the
// line.
func Read(folder string, each func(line []byte, r *Record) error) (truncated int, err error) {
	files, err := Files(folder)
	if err != nil {
		return 0, err
	}
	for _, file := range files {
		n, err := readFile(file, each)
		if truncated += n; err != nil {
			return truncated, err
		}
	}
	return truncated, nil
}

func readFile(path string, each func([]byte, *Record) error) (truncated int, err error) {
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	in := bufio.NewReader(f)
	for number := 1; ; number++ {
		line, err := in.ReadBytes('\n')
		if err == io.EOF {
			if len(line) > 0 {
				truncated = 1
			}
			return truncated, nil
		}
		if err != nil {
			return 0, fmt.Errorf("%s:%d: %w", path, number, err)
		}
		line = bytes.TrimSuffix(line, []byte("\n"))
		r := new(Record)
		if err := json.Unmarshal(line, r); err != nil {
			return 0, fmt.Errorf("%s:%d: %w", path, number, err)
		}
		if r.Version != Version {
			return 0, fmt.Errorf("%s:%d: version is %d; this program reads %d", path, number, r.Version, Version)
		}
		if err := each(line, r); err != nil {
			return 0, fmt.Errorf("%s:%d: %w", path, number, err)
		}
	}
}
