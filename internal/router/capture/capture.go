// Package capture keeps what a router takes in, without text: when each request came, its class,
// its lengths, and its session and shared beginning under names that tell nothing. It has the form
// of the file, a reader that refuses what is not whole, and a writer that nobody waits for.
//
// A file is a header line, then a line for each request in the order in which they came, each a
// JSON object. The names are hashes under a key that is drawn for each file and kept nowhere, so
// two files can't be joined by them.
package capture

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"
)

// Version is that of the file's form.
const Version = 1

// Header is a file's first line.
type Header struct {
	Version   int       `json:"capture"` // the form's version
	StartedAt time.Time `json:"from"`
}

// Request is one line.
type Request struct {
	At           time.Duration `json:"at_ns"` // since the file's beginning
	Class        string        `json:"class"`
	Session      string        `json:"session"`
	Prefix       string        `json:"prefix,omitempty"`
	PromptTokens int           `json:"prompt"` // tokens
	PrefixTokens int           `json:"shared,omitempty"`
	TimeLeft     time.Duration `json:"left_ns"` // until its client gives up
}

// maxLineBytes bounds a line; none that is ours comes near.
const maxLineBytes = 64 << 10

// Read reads a whole file. Any fault is an error of one line with file, line and field.
func Read(path string) (Header, []Request, error) {
	f, err := os.Open(path)
	if err != nil {
		return Header{}, nil, err
	}
	defer f.Close()
	return Parse(f, filepath.Base(path))
}

// Parse is Read for a text; name is that of its file.
func Parse(r io.Reader, name string) (h Header, all []Request, err error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	for n := 1; ; n++ {
		line, err := in.ReadSlice('\n')
		fault := func(format string, v ...any) error {
			return fmt.Errorf("%s:%d: %s", name, n, fmt.Sprintf(format, v...))
		}
		switch {
		case err == io.EOF && len(line) == 0 && n > 1:
			return h, all, nil
		case err == io.EOF:
			return h, nil, fault("the line is cut off")
		case err == bufio.ErrBufferFull:
			return h, nil, fault("the line is longer than %d bytes", maxLineBytes)
		case err != nil:
			return h, nil, err
		}
		if n == 1 {
			if err := decodeStrict(line, &h); err != nil || h.Version != Version {
				return h, nil, fault("capture is not %d: this is no capture, or one of another version", Version)
			}
			continue
		}
		var q Request
		if err := decodeStrict(line, &q); err != nil {
			return h, nil, fault("%v", err)
		}
		last := time.Duration(0)
		if len(all) > 0 {
			last = all[len(all)-1].At
		}
		switch {
		case q.Class == "":
			return h, nil, fault("class is missing")
		case q.Session == "":
			return h, nil, fault("session is missing")
		case q.At < last:
			return h, nil, fault("at_ns is %d, before the line above", q.At)
		case q.PromptTokens < 1:
			return h, nil, fault("prompt is %d; it must be 1 or more", q.PromptTokens)
		case q.PrefixTokens < 0 || q.PrefixTokens > q.PromptTokens:
			return h, nil, fault("shared is %d; it must be from 0 to prompt, %d", q.PrefixTokens, q.PromptTokens)
		case q.TimeLeft < 0:
			return h, nil, fault("left_ns is %d; it must not be negative", q.TimeLeft)
		}
		all = append(all, q)
	}
}

// decodeStrict reads one object that has no other fields, and nothing behind it.
func decodeStrict(line []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("more than one object")
	}
	return nil
}
