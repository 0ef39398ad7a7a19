package protocol

import (
	"bytes"
	"net/http"
	"strconv"
	"time"
)

// Glance is what can be told of a request by its head alone, before anybody takes it up.
type Glance struct {
	Named  string // the value of the header looked for; empty if it is not there
	Length int    // bytes of head and body; -1 where the head does not say it plainly
}

var (
	askFor  = []byte("POST " + PathCompletions + " HTTP/1.1\r\n")
	headEnd = []byte("\r\n\r\n")
)

// Look reads the head at the start of what a client has sent. It is ok only for a whole and plain one that asks for a
// completion; all else is for a full reader of HTTP to judge. The header's name may be empty for none.
func Look(sent []byte, header string) (g Glance, ok bool) {
	rest, ok := bytes.CutPrefix(sent, askFor)
	if !ok {
		return g, false
	}
	end := bytes.Index(rest, headEnd)
	if end < 0 {
		return g, false
	}
	head := len(askFor) + end + len(headEnd)
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
			g.Named = string(value)
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

// equalFold compares names of headers without regard to case, for ASCII alone.
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

func lower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}

// AppendRefusal writes an answer that ends its connection, with one line of text. A wait of 0 is not told.
func AppendRefusal(to []byte, code int, wait time.Duration, line string) []byte {
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
