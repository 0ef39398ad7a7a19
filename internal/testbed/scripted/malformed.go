package scripted

import (
	"fmt"
	"strings"
)

// Malformation is a change that makes a sound answer malformed by RFC 9110 or RFC 9112: the first
// Old in it is replaced by New.
type Malformation struct{ Name, Old, New string }

// In returns the answer with the change. ok is false if the answer has nothing to change.
func (m Malformation) In(answer string) (changed string, ok bool) {
	return strings.Replace(answer, m.Old, m.New, 1), strings.Contains(answer, m.Old)
}

// Of returns the answer with the change, which must be possible.
func (m Malformation) Of(answer string) string {
	changed, ok := m.In(answer)
	if !ok {
		panic(fmt.Sprintf("%s: %q has no %q", m.Name, answer, m.Old))
	}
	return changed
}

// statusLine is the start of the status line of a sound answer.
const statusLine = "HTTP/1.1 200"

// MalformedStatuses are changes of a status, which has to be in 100..599.
var MalformedStatuses = []Malformation{
	{"status 000", statusLine, "HTTP/1.1 000"},
	{"status 099", statusLine, "HTTP/1.1 099"},
	{"status 600", statusLine, "HTTP/1.1 600"},
	{"status 999", statusLine, "HTTP/1.1 999"},
	{"interim status 000", statusLine, "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200"},
	{"interim status 099", statusLine, "HTTP/1.1 099 X\r\n\r\nHTTP/1.1 200"},
	{"signed status", statusLine, "HTTP/1.1 +20"},
	{"status of four digits", statusLine, "HTTP/1.1 2000"},
}
