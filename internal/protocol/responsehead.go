package protocol

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// MalformedResponseError says in which way a response is malformed by RFC 9110 or RFC 9112.
type MalformedResponseError struct {
	Violation string // what is wrong
	Found     string // the line without its end, cut after maxQuotedLine bytes, or the part of the head
}

// maxQuotedLine bounds how many bytes of a line an error quotes.
const maxQuotedLine = 100

// Error implements error.
func (e *MalformedResponseError) Error() string { return fmt.Sprintf("%s: %q", e.Violation, e.Found) }

func malformedLine(violation string, line []byte) error {
	return &MalformedResponseError{Violation: violation, Found: string(line[:min(len(line), maxQuotedLine)])}
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
	Status   int  // 0 until the status line was added

	minorVersion  byte // of HTTP/1, as a digit
	transferCoded bool // it has Transfer-Encoding
	sized         bool // it has Content-Length
	hasBody       bool // it announces a body of more than 0 bytes
}

// The statuses that a response may have.
const (
	minStatus = 100
	maxStatus = 599
)

// AddLine checks the next line, which includes its line end.
func (h *ResponseHead) AddLine(line []byte) error {
	line, err := trimLineEnd(line)
	switch {
	case err != nil:
		return err
	case h.Status == 0:
		return h.addStatusLine(line)
	case len(line) == 0:
		h.Complete = true
		return h.checkFraming()
	}
	return h.addField(line)
}

// addStatusLine checks the first line.
func (h *ResponseHead) addStatusLine(line []byte) error {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	minor, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(minor) != 1 || minor[0] < '0' || minor[0] > '9' {
		return malformedLine("the version is not one of HTTP/1", line)
	}
	h.minorVersion = minor[0]
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	h.Status = parseStatus(code)
	if h.Status < minStatus || h.Status > maxStatus {
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

// addField checks a field line and notes what it says about the framing of the body.
func (h *ResponseHead) addField(line []byte) error {
	name, value, err := splitField(line)
	if err != nil {
		return err
	}
	switch {
	case namesField(name, "Transfer-Encoding"):
		h.transferCoded, h.hasBody = true, true
	case namesField(name, "Content-Length"):
		h.sized = true
		h.hasBody = h.hasBody || string(bytes.Trim(value, " \t")) != "0"
	}
	return nil
}

// namesField reports whether a name in a head is that of a field, which is the same in any case.
func namesField(name []byte, field string) bool {
	return len(name) == len(field) && strings.EqualFold(string(name), field)
}

// checkFraming checks that recipients can't disagree about the length of the body (RFC 9112,
// section 6).
func (h *ResponseHead) checkFraming() error {
	bodyForbidden := h.Status < http.StatusOK || h.Status == http.StatusNoContent
	switch {
	case h.transferCoded && h.minorVersion != '1':
		return &MalformedResponseError{Violation: "only HTTP/1.1 has transfer codings", Found: "Transfer-Encoding"}
	case h.transferCoded && h.sized:
		return &MalformedResponseError{Violation: "a length and a transfer coding", Found: "Content-Length"}
	case bodyForbidden && h.hasBody:
		return &MalformedResponseError{Violation: "a body with a status that has none", Found: strconv.Itoa(h.Status)}
	}
	return nil
}

// trimLineEnd returns a line without its line end.
func trimLineEnd(line []byte) ([]byte, error) {
	content, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok {
		return nil, malformedLine("a line does not end with CR LF", line)
	}
	return content, nil
}

// splitField returns the name and the value of a field line.
func splitField(line []byte) (name, value []byte, err error) {
	colon := bytes.IndexByte(line, ':')
	switch {
	case colon < 0:
		return nil, nil, malformedLine("a field line has no colon", line)
	case !isToken(line[:colon]):
		return nil, nil, malformedLine("the name of a field is no token", line)
	}
	return line[:colon], line[colon+1:], nil
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
