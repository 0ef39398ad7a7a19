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
// It accepts what RFC 9112 lets a sender generate. Of the deviations that a recipient may tolerate
// it accepts a status line that ends after the status code, which real servers send.
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
	line = bytes.TrimRight(line, "\r\n")
	if h.status == 0 {
		return h.addStatusLine(line)
	}
	h.Complete = len(line) == 0
	return nil
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
