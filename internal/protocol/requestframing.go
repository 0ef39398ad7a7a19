package protocol

import (
	"bytes"
	"strconv"
)

// maxFramedHead is the maximum size of a request's head in bytes. No HTTP server of the router
// accepts a head of this size.
const maxFramedHead = 64 << 10

// framingState says which part of a request the next byte belongs to.
type framingState int

const (
	inHead       framingState = iota
	inBody                    // a body whose length the head states
	inChunks                  // a chunked body
	requestEnded              // none: the request is complete
	unreadable                // unknown: the framing is malformed, so the end of the request can't be determined
)

// RequestFraming determines incrementally where an HTTP/1.1 request ends. The request may be split
// at any byte. The zero value is ready to parse the start of a request.
type RequestFraming struct {
	state     framingState
	head      []byte // the received part of an incomplete head
	remaining int    // bytes not received yet of a body whose length the head states
	chunks    ChunkParser
}

// Feed parses the next bytes and returns the number of them that belong to the request, which is
// less than len(p) if the request ends within p. If the framing is malformed, all bytes count as
// part of the request.
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

// HeadComplete reports whether the whole head was received and defines how the body is framed.
func (f *RequestFraming) HeadComplete() bool { return f.state != inHead && f.state != unreadable }

// Complete reports whether the whole request was received.
func (f *RequestFraming) Complete() bool { return f.state == requestEnded }

// BodyRemaining returns the number of bytes that were not received yet of a body whose length the
// head states. It returns 0 if there is no such body.
func (f *RequestFraming) BodyRemaining() int { return f.remaining }

// feedHead parses the next bytes of the head and returns the number of them that belong to it.
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

// headLength returns the length of the head at the start of b, including the empty line that ends
// it, or 0 if b does not have that line. An earlier call has already searched the first seen bytes.
func headLength(b []byte, seen int) int {
	start := len(b) - len(bytes.TrimLeft(b, "\r\n")) // skip empty lines before the request
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

// parseHead determines from a complete head how the body is framed, and sets the state accordingly.
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
