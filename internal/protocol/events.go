package protocol

import (
	"bytes"
	"encoding/json"
	"fmt"

	"reachspread/balance"
)

// longestNote bounds what is kept of a line in a stream. Longer lines are text for the client and never notes.
const longestNote = 4096

// Notes picks what the decisions need out of a stream of events as it passes. Its zero value is ready.
type Notes struct {
	Kept float64       // prompt tokens found kept, from the usage event
	Load *balance.Load // the report at the stream's end, nil for none
	Err  error         // the last note that could not be read

	line []byte
	long bool // the line being read is too long to be a note
}

// NotesFrom goes on in the line that Rest gave.
func NotesFrom(line []byte, long bool) Notes { return Notes{line: line, long: long} }

// Rest returns what has come of the line at hand, and whether it is too long to be a note.
func (n *Notes) Rest() (line []byte, long bool) { return n.line, n.long }

// HasEvent tells whether a stream's beginning holds a whole event: a line of data, and the empty line that ends it.
func HasEvent(p []byte) bool {
	data := false
	for line := range bytes.Lines(p) {
		switch bare := bytes.TrimRight(line, "\r\n"); {
		case len(bare) == len(line): // cut off
			return false
		case len(bare) == 0 && data:
			return true
		default:
			data = data || bytes.HasPrefix(bare, []byte("data:"))
		}
	}
	return false
}

// fields are the ways in which a line of a stream may begin; the first is a comment's.
var fields = []string{":", "data:", "event:", "id:", "retry:"}

// Feed takes in the next bytes of the stream, cut anywhere. It reports whether they are lines of events.
func (n *Notes) Feed(p []byte) bool {
	for len(p) > 0 {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		room := longestNote - len(n.line)
		n.long = n.long || len(part) > room
		n.line = append(n.line, part[:min(len(part), room)]...)
		if !isField(n.line, ended) {
			return false
		}
		if !ended {
			return true
		}
		if !n.long {
			n.read(bytes.TrimSuffix(n.line, []byte("\r")))
		}
		n.line, n.long = n.line[:0], false
		p = rest
	}
	return true
}

// isField tells whether a line, or what has come of it, is empty or begins with a field.
func isField(line []byte, whole bool) bool {
	if len(line) == 0 || string(line) == "\r" {
		return true
	}
	for _, f := range fields {
		if bytes.HasPrefix(line, []byte(f)) || !whole && len(line) < len(f) && f[:len(line)] == string(line) {
			return true
		}
	}
	return false
}
func (n *Notes) read(line []byte) {
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
	// A model's own text may hold the words, in an event without usage; it tells nothing and changes nothing.
	n.Kept = max(n.Kept, usage.Usage.Details.Cached)
}
