package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"

	"reachspread/balance"
)

// maxStreamLine is the maximum number of bytes of a line that are buffered. Longer lines are text
// for the client and have nothing that routing decisions need.
const maxStreamLine = 4096

// StreamReader extracts what routing decisions need from a stream of events while the stream is
// forwarded. The zero value is ready to use.
type StreamReader struct {
	CachedTokens float64       // cached tokens of the prompt, from the usage event
	Load         *balance.Load // load report at the end of the stream, nil for none
	Err          error         // error of the last line that could not be parsed

	line        []byte // the current line as far as it was received and buffered
	lineTooLong bool   // the current line exceeds maxStreamLine and is not parsed
}

// ResumeStreamReader returns a StreamReader that continues the line that Unfinished returned.
func ResumeStreamReader(line []byte, tooLong bool) StreamReader {
	return StreamReader{line: line, lineTooLong: tooLong}
}

// Unfinished returns the buffered part of the current line, and reports whether the line is too long
// to be parsed.
func (n *StreamReader) Unfinished() (line []byte, tooLong bool) { return n.line, n.lineTooLong }

// HasEvent reports whether p, the beginning of a stream, has a complete event: a line of data and
// the empty line that ends the event.
func HasEvent(p []byte) bool {
	data := false
	for line := range bytes.Lines(p) {
		switch bare := bytes.TrimRight(line, "\r\n"); {
		case len(bare) == len(line): // the line has no end yet
			return false
		case len(bare) == 0 && data:
			return true
		default:
			data = data || bytes.HasPrefix(bare, []byte("data:"))
		}
	}
	return false
}

// lineFields are the prefixes that a line of a stream may have. The first one begins a comment.
var lineFields = []string{":", "data:", "event:", "id:", "retry:"}

// Feed parses the next bytes of the stream, which may be split at any byte. It returns false if a
// line is not one of an event stream.
func (n *StreamReader) Feed(p []byte) bool {
	for len(p) > 0 {
		text, rest := p, []byte(nil)
		end := bytes.IndexByte(p, '\n')
		ended := end >= 0
		if ended {
			text, rest = p[:end], p[end+1:]
		}
		free := maxStreamLine - len(n.line)
		n.lineTooLong = n.lineTooLong || len(text) > free
		n.line = append(n.line, text[:min(len(text), free)]...)
		if !isField(n.line, ended) {
			return false
		}
		if !ended {
			return true
		}
		if !n.lineTooLong {
			n.readLine(bytes.TrimSuffix(n.line, []byte("\r")))
		}
		n.line, n.lineTooLong = n.line[:0], false
		p = rest
	}
	return true
}

// isField reports whether a line is empty or begins with one of lineFields. If the line is not
// complete, isField reports whether it may still become such a line.
func isField(line []byte, complete bool) bool {
	if len(line) == 0 || string(line) == "\r" {
		return true
	}
	for _, f := range lineFields {
		shared := min(len(line), len(f))
		if string(line[:shared]) == f[:shared] && (shared == len(f) || !complete) {
			return true
		}
	}
	return false
}

// readLine parses a complete line if it is a comment with a load report or a usage event.
func (n *StreamReader) readLine(line []byte) {
	if comment, ok := bytes.CutPrefix(line, []byte(": "+HeaderLoad+":")); ok {
		load, err := ParseLoad(comment)
		if err != nil {
			n.Err = err
			return
		}
		n.Load = load
		return
	}
	event, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok || !bytes.Contains(event, []byte(`"cached_tokens"`)) {
		return
	}
	var usage struct {
		Usage struct {
			Details struct {
				Cached float64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(event, &usage); err != nil {
		n.Err = fmt.Errorf("usage event: %w", err)
		return
	}
	// The text that a model generates may contain the field's name. Such an event has no usage, so
	// the value stays as it is.
	n.CachedTokens = max(n.CachedTokens, usage.Usage.Details.Cached)
}
