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

// Files lists the record files of a folder, the oldest first.
func Files(folder string) ([]string, error) {
	if _, err := os.ReadDir(folder); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(folder, "shadow-*.ndjson"))
	slices.Sort(files)
	return files, err
}

// Read calls each with every record of a folder, the oldest first, and with its line. It skips and
// counts truncated last lines of files. Any other line that is no record, and an error of each, end
// it with an error that names file and line.
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
