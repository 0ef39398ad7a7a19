package protocol

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// RequestHead is what admission needs of the head of a request, before an HTTP server reads it.
type RequestHead struct {
	HeaderValue string // of the header that was asked for; empty if it is not there
	Length      int    // bytes of head and body; -1 if the head does not say it plainly
}

var (
	completionsRequestLine = []byte("POST " + PathCompletions + " HTTP/1.1\r\n")
	headEnd                = []byte("\r\n\r\n")
)

// ParseRequestHead parses the head at the start of what a client has sent. It is ok only for a
// complete and plain one that asks for a completion; all else is left to the HTTP server. The
// header's name may be empty for none.
func ParseRequestHead(sent []byte, header string) (g RequestHead, ok bool) {
	rest, ok := bytes.CutPrefix(sent, completionsRequestLine)
	if !ok {
		return g, false
	}
	end := bytes.Index(rest, headEnd)
	if end < 0 {
		return g, false
	}
	head := len(completionsRequestLine) + end + len(headEnd)
	named, lengths, body := 0, 0, 0
	for rest = rest[:end+2]; len(rest) > 0; {
		line, more, _ := bytes.Cut(rest, headEnd[:2])
		rest = more
		name, value, colon := bytes.Cut(line, []byte(":"))
		if !colon || len(name) == 0 || bytes.ContainsAny(name, " \t\r\n") || bytes.ContainsAny(value, "\r\n\x00") {
			return g, false
		}
		value = bytes.Trim(value, " \t")
		switch {
		case header != "" && equalFold(name, header):
			g.HeaderValue = string(value)
			named++
		case equalFold(name, "Content-Length"):
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil {
				return g, false
			}
			body = int(n)
			lengths++
		case equalFold(name, "Transfer-Encoding"):
			lengths += 2
		}
	}
	if named > 1 || lengths > 2 {
		return g, false
	}
	g.Length = -1
	if lengths == 1 {
		g.Length = head + body
	}
	return g, true
}

// equalFold reports whether two names of headers are equal, without regard to case, for ASCII
// alone.
func equalFold(b []byte, s string) bool {
	if len(b) != len(s) {
		return false
	}
	for i, c := range b {
		if lower(c) != lower(s[i]) {
			return false
		}
	}
	return true
}

// lower returns the lower case of an ASCII letter.
func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// AppendRejection appends an answer that ends its connection, with one line of text. A wait of 0 is
// left out.
func AppendRejection(to []byte, code int, wait time.Duration, line string) []byte {
	to = append(to, "HTTP/1.1 "...)
	to = strconv.AppendInt(to, int64(code), 10)
	to = append(append(append(to, ' '), http.StatusText(code)...), "\r\n"...)
	if wait > 0 {
		to = append(append(append(to, "Retry-After: "...), FormatRetryAfter(wait)...), "\r\n"...)
	}
	to = append(to, "Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: "...)
	to = strconv.AppendInt(to, int64(len(line)+1), 10)
	return append(append(append(to, "\r\n\r\n"...), line...), '\n')
}
