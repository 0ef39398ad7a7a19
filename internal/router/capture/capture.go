// Package capture writes and reads files of the requests that a router accepted, without their
// text: when each came, its class, its lengths, and its session and prompt prefix under hashed
// names. The writer never blocks its caller; the reader rejects a file that is not complete.
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

// Version is the version of the format.
const Version = 1

// Header is a file's first line.
type Header struct {
	Version   int       `json:"capture"` // of the format
	StartedAt time.Time `json:"from"`
}

// Request is a line of a capture: one accepted request.
type Request struct {
	At           time.Duration `json:"at_ns"` // since Header.StartedAt
	Class        string        `json:"class"`
	Session      string        `json:"session"`
	Prefix       string        `json:"prefix,omitempty"`
	PromptTokens int           `json:"prompt"`
	PrefixTokens int           `json:"shared,omitempty"` // of the prompt, in the prefix
	TimeLeft     time.Duration `json:"left_ns"`          // until its deadline
}

// maxLineBytes bounds a line; those that the writer writes are far shorter.
const maxLineBytes = 64 << 10

// Read reads a file. It fails with a *SyntaxError where the file is not a complete capture.
func Read(path string) (Header, []Request, error) {
	f, err := os.Open(path)
	if err != nil {
		return Header{}, nil, err
	}
	defer f.Close()
	return Parse(f, filepath.Base(path))
}

// SyntaxError is a line of a capture that can't be used.
type SyntaxError struct {
	File   string
	Line   int    // from 1 on
	Reason string // names the field, and how to mend it
}

// Error returns one line with file, line and reason.
func (e *SyntaxError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// Parse reads a capture; name is the file's name, for errors. Any fault in it is a *SyntaxError.
func Parse(r io.Reader, name string) (h Header, all []Request, err error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	last := time.Duration(0)
	for n := 1; ; n++ {
		line, err := in.ReadSlice('\n')
		invalid := func(format string, v ...any) error {
			return &SyntaxError{name, n, fmt.Sprintf(format, v...)}
		}
		switch {
		case err == io.EOF && len(line) == 0 && n > 1:
			return h, all, nil
		case err == io.EOF:
			return h, nil, invalid("the line is cut off")
		case err == bufio.ErrBufferFull:
			return h, nil, invalid("the line is longer than %d bytes", maxLineBytes)
		case err != nil:
			return h, nil, err
		}
		if n == 1 {
			if err := decodeStrict(line, &h); err != nil || h.Version != Version {
				return h, nil, invalid("capture is not %d: this is no capture, or one of another version", Version)
			}
			continue
		}
		var q Request
		if err := decodeStrict(line, &q); err != nil {
			return h, nil, invalid("%v", err)
		}
		if reason := q.invalid(last); reason != "" {
			return h, nil, invalid("%s", reason)
		}
		last = q.At
		all = append(all, q)
	}
}

// invalid returns what is wrong with a request whose predecessor came at last, or "".
func (q *Request) invalid(last time.Duration) string {
	switch {
	case q.Class == "":
		return "class is missing"
	case q.Session == "":
		return "session is missing"
	case q.At < last:
		return fmt.Sprintf("at_ns is %d, before the line above", q.At)
	case q.PromptTokens < 1:
		return fmt.Sprintf("prompt is %d; it must be 1 or more", q.PromptTokens)
	case q.PrefixTokens < 0 || q.PrefixTokens > q.PromptTokens:
		return fmt.Sprintf("shared is %d; it must be from 0 to prompt, %d", q.PrefixTokens, q.PromptTokens)
	case q.TimeLeft < 0:
		return fmt.Sprintf("left_ns is %d; it must not be negative", q.TimeLeft)
	}
	return ""
}

// decodeStrict decodes one JSON object without unknown fields, and with nothing after it.
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
