package records

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Writer appends records to files in a folder. It is not safe for concurrent use. After an error
// the next Append starts a new file, so that a truncated line is always the last line of its file.
type Writer struct {
	Folder    string
	FileBytes int64                                     // Append closes a file that has reached this size
	Files     int                                       // maximum number of files; the oldest are removed
	Open      func(path string) (io.WriteCloser, error) // creates a file for tests; if nil, the writer creates one on disk

	file   io.WriteCloser
	size   int64
	number int
}

// Append writes one record as a line. After an error the file may contain a part of the line.
func (w *Writer) Append(r *Record) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if w.file == nil {
		if err := w.openNext(); err != nil {
			return err
		}
	}
	line = append(line, '\n')
	n, err := w.file.Write(line)
	w.size += int64(n)
	if err != nil || w.size >= w.FileBytes {
		err = errors.Join(err, w.Close())
	}
	return err
}

// openNext creates the next file. It first removes the oldest files, so that the new file does not
// exceed the maximum number of files.
func (w *Writer) openNext() error {
	if err := os.MkdirAll(w.Folder, 0o700); err != nil {
		return err
	}
	old, err := Files(w.Folder)
	if err != nil {
		return err
	}
	for len(old) >= w.Files {
		if err := os.Remove(old[0]); err != nil {
			return err
		}
		old = old[1:]
	}
	w.number++
	started := time.Now().UTC().Format("20060102T150405.000")
	path := filepath.Join(w.Folder, fmt.Sprintf("shadow-%s-%06d.ndjson", started, w.number))
	open := w.Open
	if open == nil {
		open = create
	}
	w.file, err = open(path)
	w.size = 0
	return err
}

func create(path string) (io.WriteCloser, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err // returning f would make the interface value non-nil
	}
	return f, nil
}

// Close closes the open file, if there is one. A later Append starts a new file.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	f := w.file
	w.file = nil
	return f.Close()
}
