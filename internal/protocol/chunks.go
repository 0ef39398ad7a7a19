package protocol

import (
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// ChunkParser parses an HTTP body in chunked coding incrementally; the body may be split at any
// byte. The zero value is ready to parse the start of a body. Another process can continue at the
// same byte with a ChunkParser that it decodes from the JSON form.
type ChunkParser struct {
	At         ChunkState `json:"at"`
	Remaining  uint64     `json:"left"`            // bytes left of the chunk's data, or the size as far as its digits were read
	LineLength int        `json:"long"`            // bytes read of the current line of framing
	HasDigit   bool       `json:"any"`             // a digit of the current chunk's size was read
	AfterCR    bool       `json:"cr,omitempty"`    // the byte before was the CR of a line end
	InValue    bool       `json:"value,omitempty"` // the name of the current trailer line was read
}

// ChunkState says which part of a chunked body the next byte belongs to.
type ChunkState string

// The states of a ChunkParser, and its limits.
const (
	AtSize          ChunkState = ""        // the hexadecimal digits of a chunk's size
	AtSizeExtension ChunkState = "rest"    // the rest of the line with the size
	AtData          ChunkState = "data"    // the data of a chunk
	AtDataEnd       ChunkState = "end"     // the line end after a chunk's data
	AtTrailer       ChunkState = "trailer" // the lines after the last chunk
	AtComplete      ChunkState = "whole"   // none: the body is complete
	maxChunkSize               = 1 << 40   // maximum size of a chunk in bytes, far more than any body has
	maxFramingLine             = 8 << 10   // maximum length of a line of framing in bytes
)

// errChunk is wrapped by all errors about malformed framing of a chunked body.
var errChunk = errors.New("malformed chunk")

// Feed parses the next bytes of the body and calls data with each piece of chunk data in them. It
// returns the number of bytes that belong to the body, which is less than len(p) if the body ends
// within p.
func (c *ChunkParser) Feed(p []byte, data func(chunk []byte)) (used int, err error) {
	for used < len(p) && c.At != AtComplete {
		if c.At == AtData {
			n := int(min(c.Remaining, uint64(len(p)-used)))
			data(p[used : used+n])
			used += n
			c.Remaining -= uint64(n)
			if c.Remaining == 0 {
				c.At = AtDataEnd
			}
			continue
		}
		if err := c.feedFraming(p[used]); err != nil {
			return used, err
		}
		used++
	}
	return used, nil
}

// feedFraming parses one byte that is not chunk data.
func (c *ChunkParser) feedFraming(b byte) error {
	c.LineLength++
	if c.LineLength > maxFramingLine {
		return fmt.Errorf("%w: a line of more than %d bytes", errChunk, maxFramingLine)
	}
	if c.AfterCR != (b == '\n') {
		return fmt.Errorf("%w: a line does not end with CR LF", errChunk)
	}
	c.AfterCR = b == '\r'
	switch {
	case b == '\r':
		return nil
	case b == '\n':
		return c.endLine()
	case c.At == AtSize:
		return c.feedSize(b)
	case c.At == AtSizeExtension && isControl(b):
		return fmt.Errorf("%w: %q in a chunk extension", errChunk, b)
	case c.At == AtDataEnd:
		return fmt.Errorf("%w: %q behind its data", errChunk, b)
	case c.At == AtTrailer:
		return c.feedTrailer(b)
	}
	return nil
}

// feedSize parses one byte of a chunk's size, or the first byte behind it.
func (c *ChunkParser) feedSize(b byte) error {
	digit, ok := hexDigit(b)
	if !ok && c.HasDigit && (b == ';' || b == ' ' || b == '\t') {
		c.At = AtSizeExtension
		return nil
	}
	if !ok {
		return fmt.Errorf("%w: %q is no size", errChunk, b)
	}
	c.HasDigit = true
	c.Remaining = c.Remaining<<4 | digit
	if c.Remaining > maxChunkSize {
		return fmt.Errorf("%w: a size of more than %d", errChunk, maxChunkSize)
	}
	return nil
}

// feedTrailer parses one byte of a trailer line.
func (c *ChunkParser) feedTrailer(b byte) error {
	hasName := c.LineLength > 1
	switch {
	case c.InValue && isControl(b):
		return fmt.Errorf("%w: %q in the value of a trailer field", errChunk, b)
	case c.InValue:
		return nil
	case b == ':' && hasName:
		c.InValue = true
		return nil
	case !httpguts.IsTokenRune(rune(b)):
		return fmt.Errorf("%w: %q in the name of a trailer field", errChunk, b)
	}
	return nil
}

// isControl reports whether a byte is a control byte, which no text of framing has. A tab is none.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// endLine parses the end of a line of framing.
func (c *ChunkParser) endLine() error {
	length := c.LineLength
	c.LineLength = 0
	switch c.At {
	case AtSize, AtSizeExtension:
		switch {
		case !c.HasDigit:
			return fmt.Errorf("%w: no size", errChunk)
		case c.Remaining > 0:
			c.At = AtData
		default:
			c.At = AtTrailer
		}
		c.HasDigit = false
	case AtDataEnd:
		c.At = AtSize
	case AtTrailer:
		switch {
		case length == len("\r\n"): // an empty line
			c.At = AtComplete
		case !c.InValue:
			return fmt.Errorf("%w: a trailer line has no colon", errChunk)
		}
		c.InValue = false
	}
	return nil
}

// hexDigit returns the value of a hexadecimal digit, and reports whether b is one.
func hexDigit(b byte) (uint64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return uint64(b|0x20-'a') + 10, true
	}
	return 0, false
}
