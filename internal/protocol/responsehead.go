package protocol

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// MalformedResponseError says in which way a response is malformed by RFC 9110 or RFC 9112.
type MalformedResponseError struct {
	Violation string // what is wrong with the line
	Line      string // the line without its end, cut after maxQuotedLine bytes
}

// maxQuotedLine bounds how many bytes of a line an error quotes.
const maxQuotedLine = 100

// Error implements error.
func (e *MalformedResponseError) Error() string { return fmt.Sprintf("%s: %q", e.Violation, e.Line) }

func malformedLine(violation string, line []byte) error {
	return &MalformedResponseError{Violation: violation, Line: string(line[:min(len(line), maxQuotedLine)])}
}

// ResponseHead checks the head of a response, line by line as the lines arrive. The zero value is
// ready for the first line.
//
// It accepts what RFC 9112 lets a sender generate, and, of what a recipient may tolerate besides, a
// status line that ends behind the status, which real servers send. Line ends without CR and lines
// that continue the one before (obsolete line folding) are malformed: they can't be told from names
// that begin with LF or with a blank. Values of fields are left to the parser of the head.
type ResponseHead struct {
	Complete bool // the empty line at the end was added
	status   int
}

// The statuses that a response may have.
const (
	minStatus = 100
	maxStatus = 599
)

// AddLine checks the next line, which includes its line end.
func (h *ResponseHead) AddLine(line []byte) error {
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok:
		return malformedLine("a line does not end with CR LF", line)
	case h.status == 0:
		return h.addStatusLine(line)
	case len(line) == 0:
		h.Complete = true
		return nil
	}
	return checkFieldName(line)
}

// addStatusLine checks the first line.
func (h *ResponseHead) addStatusLine(line []byte) error {
	_, rest, _ := bytes.Cut(line, []byte(" "))
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	h.status = parseStatus(code)
	if h.status < minStatus || h.status > maxStatus {
		return malformedLine("the status is not in 100..599", line)
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return malformedLine("the reason phrase has a control byte", line)
	}
	return nil
}

// parseStatus returns the number that three digits make, and 0 for anything else.
func parseStatus(code []byte) int {
	if len(code) != 3 {
		return 0
	}
	status := 0
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return 0
		}
		status = status*10 + int(digit-'0')
	}
	return status
}

// checkFieldName checks the name in a field line.
func checkFieldName(line []byte) error {
	name, _, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok:
		return malformedLine("a field line has no colon", line)
	case !isToken(name):
		return malformedLine("the name of a field is no token", line)
	}
	return nil
}

// isToken reports whether text is a token, as each name of a field has to be. Blanks and control
// bytes are in no token.
func isToken(text []byte) bool {
	for _, b := range text {
		if !httpguts.IsTokenRune(rune(b)) {
			return false
		}
	}
	return len(text) > 0
}
