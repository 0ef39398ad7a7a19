package protocol

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// RequestHead has the parts of a request's head that admission needs before an HTTP server parses
// the request.
type RequestHead struct {
	HeaderValue string // value of the header given to ParseRequestHead; empty if it is missing
	Length      int    // bytes of head and body together; -1 unless the head has one Content-Length and no Transfer-Encoding
}

var (
	completionsRequestLine = []byte("POST " + PathCompletions + " HTTP/1.1\r\n")
	headEnd                = []byte("\r\n\r\n")
)

// ParseRequestHead parses the request head at the start of the bytes that a client has sent. It
// returns false for ok unless the head is complete, requests a completion and has none of the forms
// that HTTP parsers may read differently; the caller leaves such requests to the HTTP server. The
// header names the one whose value is returned; it may be empty.
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

// equalFold reports whether two header names are equal regardless of the case of ASCII letters.
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

// lower returns the lower case of an ASCII letter, and any other byte unchanged.
func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// AppendRejection appends to a buffer an HTTP answer that closes its connection and has one line of
// text. The answer has a Retry-After unless the wait is 0.
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
