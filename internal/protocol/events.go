package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"

	"reachspread/balance"
)

// maxStreamLine bounds the bytes of a line that are buffered. Longer lines are text for the client,
// and never of use to the decisions.
const maxStreamLine = 4096

// StreamReader reads what the decisions need from a stream of events as it is forwarded. Its zero
// value is ready.
type StreamReader struct {
	CachedTokens float64       // of the prompt, from the usage event
	Load         *balance.Load // the report at the stream's end, nil for none
	Err          error         // of the last line that could not be read

	line        []byte
	lineTooLong bool // for a line that is read
}

// ResumeStreamReader returns a StreamReader that goes on with the line that Unfinished returned.
func ResumeStreamReader(line []byte, tooLong bool) StreamReader {
	return StreamReader{line: line, lineTooLong: tooLong}
}

// Unfinished returns what has come of the present line, and whether it is too long to be read.
func (n *StreamReader) Unfinished() (line []byte, tooLong bool) { return n.line, n.lineTooLong }

// HasEvent reports whether a stream's beginning has a complete event: a line of data, and the empty
// line that ends it.
func HasEvent(p []byte) bool {
	data := false
	for line := range bytes.Lines(p) {
		switch bare := bytes.TrimRight(line, "\r\n"); {
		case len(bare) == len(line): // incomplete
			return false
		case len(bare) == 0 && data:
			return true
		default:
			data = data || bytes.HasPrefix(bare, []byte("data:"))
		}
	}
	return false
}

// lineFields are what a line of a stream may begin with; the first begins a comment.
var lineFields = []string{":", "data:", "event:", "id:", "retry:"}

// Feed reads the next bytes of the stream, split anywhere. It reports whether they are lines of
// events.
func (n *StreamReader) Feed(p []byte) bool {
	for len(p) > 0 {
		text, rest, ended := bytes.Cut(p, []byte("\n"))
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

// isField reports whether a line, or what has come of it, is empty or begins with a field.
func isField(line []byte, complete bool) bool {
	if len(line) == 0 || string(line) == "\r" {
		return true
	}
	for _, f := range lineFields {
		if bytes.HasPrefix(line, []byte(f)) || !complete && len(line) < len(f) && f[:len(line)] == string(line) {
			return true
		}
	}
	return false
}

// readLine reads a complete line: a load report in a comment, or the usage event.
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
	// A model's own text may contain the field's name, in an event without usage, which changes
	// nothing.
	n.CachedTokens = max(n.CachedTokens, usage.Usage.Details.Cached)
}
