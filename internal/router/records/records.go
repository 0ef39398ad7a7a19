// Package records keeps the records of compared answers: one JSON object a line, in files of
// bounded size and number in one folder. It holds the form of a record with its schema, the writer
// that the router uses off the live path, and the reader of the reports. It imports nothing of
// ours.
//
// A file is named shadow-TIME-NUMBER.ndjson; by name, the oldest comes first. A file whose last
// line was cut off (a crash, a full disk) is read up to there, and never written to again.
package records

import (
	"bufio"
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"
)

// Version is the schema's, in each record.
const Version = 1

// Schema is the JSON Schema of a record.
//
//go:embed record.schema.json
var Schema []byte

// Record is one copy that was started, and the live answer beside it.
type Record struct {
	Version    int         `json:"version"`
	At         time.Time   `json:"at"` // when the live request was taken in
	Pool       string      `json:"pool"`
	Class      string      `json:"class"`
	Tenant     string      `json:"tenant,omitempty"`
	ID         string      `json:"id"`      // the live request's
	Session    string      `json:"session"` // a hash
	HistoryGap bool        `json:"gap"`     // an earlier request of the session was not copied
	Cause      string      `json:"cause"`   // why it can't be compared, empty if it can
	BodyBytes  int         `json:"body_bytes"`
	Live       Answer      `json:"live"`
	Copy       Answer      `json:"copy"`
	Comparison *Comparison `json:"compared,omitempty"`
	Body       string      `json:"body,omitempty"` // only where the settings keep texts
}

// Answer is one of the two answers. What is not known is left out.
type Answer struct {
	Outcome         string   `json:"outcome"` // whole, or why not
	Host            string   `json:"host,omitempty"`
	Attempts        int      `json:"schedulings"`      // the name that kept files have
	Bytes           int64    `json:"bytes"`            // of the stream
	TextBytes       int      `json:"chars"`            // bytes of its text, as far as kept
	Digest          string   `json:"digest,omitempty"` // keyed anew at each start, so that it can't be looked up
	Finish          string   `json:"finish,omitempty"`
	Tokens          *int     `json:"tokens,omitempty"`
	CachedTokens    *int     `json:"kept_tokens,omitempty"`
	QueuedMs        *float64 `json:"wait_ms,omitempty"`    // from take-in until the attempt that answered was sent
	FirstByteMs     *float64 `json:"first_ms,omitempty"`   // from take-in to the first event
	TokenIntervalMs *float64 `json:"between_ms,omitempty"` // mean time between tokens
	TotalMs         *float64 `json:"whole_ms,omitempty"`
	Text            string   `json:"text,omitempty"` // only where the settings keep texts
}

// Comparison is how the copy's answer compares with the live one.
type Comparison struct {
	Text             string  `json:"text"`
	Similarity       float64 `json:"similarity"`
	Partial          bool    `json:"partial"`
	SameFinish       bool    `json:"same_finish"`
	TokenDelta       int     `json:"more_tokens"`
	CachedTokenDelta int     `json:"more_kept_tokens"`
}

// Writer appends records. Only one goroutine uses it. After an error the next Append begins a new
// file, so that a line cut off stays the last of its file.
type Writer struct {
	Folder    string
	FileBytes int64 // a file is closed when it has so many
	Files     int   // the oldest are removed beyond that
	Open      func(path string) (io.WriteCloser, error)

	file   io.WriteCloser
	size   int64
	number int
}

// Append writes one record as a line.
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

// openNext opens the next file and makes room for it.
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
	path := filepath.Join(w.Folder, fmt.Sprintf("shadow-%s-%06d.ndjson", time.Now().UTC().Format("20060102T150405.000"), w.number))
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
		return nil, err // not a nil *os.File in an interface
	}
	return f, nil
}

// Close closes the file that is open; Append may follow.
func (w *Writer) Close() error {
	if w.file == nil {
		return nil
	}
	f := w.file
	w.file = nil
	return f.Close()
}

// Files lists the record files of a folder, the oldest first.
func Files(folder string) ([]string, error) {
	if _, err := os.ReadDir(folder); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(folder, "shadow-*.ndjson"))
	slices.Sort(files)
	return files, err
}

// Read gives each record of a folder, the oldest first, with the line as it stands. A last line
// that was cut off is counted and passed over; any other that can't be read ends it with an error
// that names file and line. So does an error of each.
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
