package protocol

import (
	"errors"
	"fmt"
)

// ChunkParser parses an HTTP body in chunked coding incrementally; the body may be split at any
// byte. The zero value is ready to parse the start of a body. Another process can continue at the
// same byte with a ChunkParser that it decodes from the JSON form.
type ChunkParser struct {
	At         ChunkState `json:"at"`
	Remaining  uint64     `json:"left"` // bytes left of the chunk's data, or the size as far as its digits were read
	LineLength int        `json:"long"` // bytes read of the current line of framing
	HasDigit   bool       `json:"any"`  // a digit of the current chunk's size was read
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
	switch {
	case b == '\n':
		return c.endLine()
	case c.At == AtSize:
		digit, ok := hexDigit(b)
		if !ok && c.HasDigit {
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
	case c.At == AtDataEnd && b != '\r':
		return fmt.Errorf("%w: %q behind its data", errChunk, b)
	}
	return nil
}

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
		if length <= len("\r\n") { // an empty line
			c.At = AtComplete
		}
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
