package protocol

import (
	"bytes"
	"strconv"
)

// maxFramedHead bounds the head of a request, in bytes. It is above what any HTTP server here takes.
const maxFramedHead = 64 << 10

// framingState says what the next byte of a request is part of.
type framingState int

const (
	inHead       framingState = iota
	inBody                    // of a length that the head states
	inChunks                  // a chunked body
	requestEnded              // of the request
	unreadable                // the framing is malformed: where the request ends is not known
)

// RequestFraming finds where a request of HTTP/1.1 ends, as its bytes come, split anywhere. Its zero
// value is at the request's start.
type RequestFraming struct {
	state     framingState
	head      []byte // what has come of a head that is not complete
	remaining int    // bytes of a body of a stated length
	chunks    ChunkParser
}

// Feed parses the next bytes. It returns how many of them belong to the request: fewer than there are
// once that is complete. Of a request whose framing is malformed it returns all.
func (f *RequestFraming) Feed(p []byte) (used int) {
	if f.state == inHead {
		used = f.feedHead(p)
	}
	rest := p[used:]
	switch f.state {
	case inBody:
		n := min(f.remaining, len(rest))
		f.remaining -= n
		used += n
		if f.remaining == 0 {
			f.state = requestEnded
		}
	case inChunks:
		n, err := f.chunks.Feed(rest, func([]byte) {})
		used += n
		switch {
		case err != nil:
			f.state = unreadable
		case f.chunks.At == AtComplete:
			f.state = requestEnded
		}
	}
	if f.state == unreadable {
		return len(p)
	}
	return used
}

// HeadComplete reports whether the head has come, and says how the body is framed.
func (f *RequestFraming) HeadComplete() bool { return f.state != inHead && f.state != unreadable }

// Complete reports whether the whole request has come.
func (f *RequestFraming) Complete() bool { return f.state == requestEnded }

// BodyRemaining returns how many bytes of a body of a stated length have not come, 0 where no such
// body is read.
func (f *RequestFraming) BodyRemaining() int { return f.remaining }

// feedHead parses the next bytes of the head, and returns how many of them belong to it.
func (f *RequestFraming) feedHead(p []byte) (used int) {
	head, seen := p, len(f.head)
	if seen > 0 {
		f.head = append(f.head, p...)
		head = f.head
	}
	length := headLength(head, seen)
	if length == 0 {
		if seen == 0 {
			f.head = append(f.head, p...)
		}
		if len(f.head) > maxFramedHead {
			f.state, f.head = unreadable, nil
		}
		return len(p)
	}
	f.head = nil
	f.parseHead(head[:length])
	return length - seen
}

// headLength returns the length of the head that some bytes begin with, up to the empty line that
// ends it, and 0 if that has not come. Of the bytes, the first seen were looked through before.
func headLength(b []byte, seen int) int {
	start := len(b) - len(bytes.TrimLeft(b, "\r\n")) // empty lines before a request are passed over
	for at := max(start, seen-len("\n\r")); ; {
		i := bytes.IndexByte(b[at:], '\n')
		if i < 0 {
			return 0
		}
		at += i + 1
		switch rest := b[at:]; {
		case len(rest) > 0 && rest[0] == '\n':
			return at + 1
		case len(rest) > 1 && rest[0] == '\r' && rest[1] == '\n':
			return at + 2
		}
	}
}

// parseHead parses a complete head for how its body is framed.
func (f *RequestFraming) parseHead(head []byte) {
	lengths, codings := 0, 0
	_, lines, _ := bytes.Cut(bytes.TrimLeft(head, "\r\n"), []byte("\n"))
	for line := range bytes.Lines(lines) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		name, value = bytes.TrimRight(name, " \t"), bytes.TrimSpace(value)
		switch {
		case equalFold(name, "Content-Length"):
			length, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil {
				f.state = unreadable
				return
			}
			f.remaining = int(length)
			lengths++
		case equalFold(name, "Transfer-Encoding"):
			if !equalFold(value, "chunked") {
				f.state = unreadable
				return
			}
			codings++
		}
	}
	switch {
	case lengths+codings > 1:
		f.state, f.remaining = unreadable, 0
	case codings == 1:
		f.state = inChunks
	case f.remaining > 0:
		f.state = inBody
	default:
		f.state = requestEnded
	}
}
