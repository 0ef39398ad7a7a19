package protocol

import (
	"errors"
	"fmt"
)

// ChunkParser parses a chunked body as its bytes come, split anywhere. Its zero value is at the
// body's start. Its JSON form is all that another process needs to go on from there.
type ChunkParser struct {
	At         ChunkState `json:"at"`
	Remaining  uint64     `json:"left"` // of the chunk's data; while its size is read, the size so far
	LineLength int        `json:"long"` // bytes of the line that is being read
	HasDigit   bool       `json:"any"`  // of the size
}

// ChunkState says what the next byte of a chunked body is part of.
type ChunkState string

// The states.
const (
	AtSize          ChunkState = ""        // digits of a chunk's size
	AtSizeExtension ChunkState = "rest"    // what follows these on their line
	AtData          ChunkState = "data"    // the chunk's own bytes
	AtDataEnd       ChunkState = "end"     // the line end after the data
	AtTrailer       ChunkState = "trailer" // lines after the last chunk
	AtComplete      ChunkState = "whole"   // the body is complete
	maxChunkSize               = 1 << 40   // bytes of one chunk, far beyond any body
	maxFramingLine             = 8 << 10   // bytes of a line of framing
)

// errChunk says that the framing of a chunked body is malformed.
var errChunk = errors.New("malformed chunk")

// Feed parses the next bytes and calls data with each run of chunk data in them. It returns how
// many of the bytes belong to the body: fewer than there are once it is complete.
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

// feedFraming parses one byte of framing.
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

// hex returns the value of a hexadecimal digit.
func hexDigit(b byte) (uint64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return uint64(b|0x20-'a') + 10, true
	}
	return 0, false
}
