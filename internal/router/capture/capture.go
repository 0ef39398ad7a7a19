// Package capture writes and reads files that describe the requests that a router accepted. A file
// has no texts of prompts. It has each request's time, class and lengths, and the hashed names of
// its session and prompt prefix. The writer never blocks its caller. The reader rejects a file that
// ends within a line.
//
// Each line of a file is a JSON object. The first line is a header. Each further line is a request,
// in the order in which the requests came. Names are hashed under a random key that is generated for
// each file and not stored, so that the names of two files can't be matched.
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

// Version is the version of the file format.
const Version = 1

// Header is the first line of a file.
type Header struct {
	Version   int       `json:"capture"` // version of the file format
	StartedAt time.Time `json:"from"`
}

// Request is a line of a file after the first. It describes one accepted request.
type Request struct {
	At           time.Duration `json:"at_ns"` // when the request was accepted, counted from Header.StartedAt
	Class        string        `json:"class"`
	Session      string        `json:"session"`
	Prefix       string        `json:"prefix,omitempty"`
	PromptTokens int           `json:"prompt"`
	PrefixTokens int           `json:"shared,omitempty"` // number of the prompt's tokens that belong to the prefix
	TimeLeft     time.Duration `json:"left_ns"`          // time from its acceptance to its deadline
}

// maxLineBytes is the maximum length of a line. The lines that the writer writes are far shorter.
const maxLineBytes = 64 << 10

// Read reads a file. It fails with a *SyntaxError if the file is not a complete capture.
func Read(path string) (Header, []Request, error) {
	f, err := os.Open(path)
	if err != nil {
		return Header{}, nil, err
	}
	defer f.Close()
	return Parse(f, filepath.Base(path))
}

// SyntaxError reports a line of a capture that is not valid.
type SyntaxError struct {
	File   string
	Line   int    // counted from 1
	Reason string // names the field and says how to correct it
}

// Error returns one line with the file, the line number and the reason.
func (e *SyntaxError) Error() string { return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason) }

// Parse reads a capture from r. It uses name as the file's name in errors. It fails with a
// *SyntaxError if the content is not valid.
func Parse(r io.Reader, name string) (h Header, all []Request, err error) {
	in := bufio.NewReaderSize(r, maxLineBytes)
	last := time.Duration(0)
	for n := 1; ; n++ {
		line, err := in.ReadSlice('\n')
		syntaxError := func(format string, v ...any) error {
			return &SyntaxError{name, n, fmt.Sprintf(format, v...)}
		}
		switch {
		case err == io.EOF && len(line) == 0 && n > 1:
			return h, all, nil
		case err == io.EOF:
			return h, nil, syntaxError("the line is cut off")
		case err == bufio.ErrBufferFull:
			return h, nil, syntaxError("the line is longer than %d bytes", maxLineBytes)
		case err != nil:
			return h, nil, err
		}
		if n == 1 {
			if err := decodeStrict(line, &h); err != nil || h.Version != Version {
				return h, nil, syntaxError("capture is not %d: the file is not a capture, or its format has another version", Version)
			}
			continue
		}
		var q Request
		if err := decodeStrict(line, &q); err != nil {
			return h, nil, syntaxError("%v", err)
		}
		if reason := q.invalid(last); reason != "" {
			return h, nil, syntaxError("%s", reason)
		}
		last = q.At
		all = append(all, q)
	}
}

// invalid returns what is wrong with a request, or "" if it is valid. The parameter last is the time
// of the request on the line before.
func (q *Request) invalid(last time.Duration) string {
	switch {
	case q.Class == "":
		return "class is missing"
	case q.Session == "":
		return "session is missing"
	case q.At < last:
		return fmt.Sprintf("at_ns is %d; it must not be less than on the line above", q.At)
	case q.PromptTokens < 1:
		return fmt.Sprintf("prompt is %d; it must be 1 or more", q.PromptTokens)
	case q.PrefixTokens < 0 || q.PrefixTokens > q.PromptTokens:
		return fmt.Sprintf("shared is %d; it must be from 0 to prompt, %d", q.PrefixTokens, q.PromptTokens)
	case q.TimeLeft < 0:
		return fmt.Sprintf("left_ns is %d; it must not be negative", q.TimeLeft)
	}
	return ""
}

// decodeStrict decodes a line with exactly one JSON object. It fails if the object has unknown
// fields or if another value follows it.
func decodeStrict(line []byte, to any) error {
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(to); err != nil {
		return err
	}
	if d.More() {
		return fmt.Errorf("the line has more than one JSON value")
	}
	return nil
}
