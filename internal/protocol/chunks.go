package protocol

import (
	"errors"
	"fmt"
)

// Chunks follows a chunked body through its bytes as they come, cut anywhere. Its zero value is at the body's start. What
// it holds is all that another process needs to go on from there, so its fields are for that.
type Chunks struct {
	At   Place  `json:"at"`
	Left uint64 `json:"left"` // of the chunk's data, or of its size as far as it was read
	Long int    `json:"long"` // bytes of the line at hand
	Any  bool   `json:"any"`  // a digit of the size was read
}

// Place is where among the parts of a chunked body the next byte belongs.
type Place string

// The places.
const (
	AtSize    Place = ""        // digits of a chunk's size
	AtRest    Place = "rest"    // what follows them on their line
	AtData    Place = "data"    // the chunk's own bytes
	AtEnd     Place = "end"     // the line's end behind them
	AtTrailer Place = "trailer" // lines after the last chunk
	AtWhole   Place = "whole"   // nothing more is due
	mostChunk       = 1 << 40   // bytes said of one chunk, which is far beyond any body
	mostLine        = 8 << 10   // bytes of a line of framing
)

var errChunk = errors.New("malformed chunk")

// Feed takes in the next bytes and gives each piece of data among them to data. It returns how many bytes belong to the
// body: fewer than there are once it is whole.
func (c *Chunks) Feed(p []byte, data func(piece []byte)) (used int, err error) {
	for used < len(p) && c.At != AtWhole {
		if c.At == AtData {
			n := int(min(c.Left, uint64(len(p)-used)))
			data(p[used : used+n])
			used += n
			if c.Left -= uint64(n); c.Left == 0 {
				c.At = AtEnd
			}
			continue
		}
		if err := c.line(p[used]); err != nil {
			return used, err
		}
		used++
	}
	return used, nil
}

// line takes in one byte of framing.
func (c *Chunks) line(b byte) error {
	if c.Long++; c.Long > mostLine {
		return fmt.Errorf("%w: a line of more than %d bytes", errChunk, mostLine)
	}
	switch {
	case b == '\n':
		return c.endLine()
	case c.At == AtSize:
		digit, ok := hex(b)
		if !ok && c.Any {
			c.At = AtRest
			return nil
		}
		if !ok {
			return fmt.Errorf("%w: %q is no size", errChunk, b)
		}
		c.Any = true
		if c.Left = c.Left<<4 | digit; c.Left > mostChunk {
			return fmt.Errorf("%w: a size of more than %d", errChunk, mostChunk)
		}
	case c.At == AtEnd && b != '\r':
		return fmt.Errorf("%w: %q behind its data", errChunk, b)
	}
	return nil
}

// endLine takes in the end of a line of framing.
func (c *Chunks) endLine() error {
	long := c.Long
	c.Long = 0
	switch c.At {
	case AtSize, AtRest:
		switch {
		case !c.Any:
			return fmt.Errorf("%w: no size", errChunk)
		case c.Left > 0:
			c.At = AtData
		default:
			c.At = AtTrailer
		}
		c.Any = false
	case AtEnd:
		c.At = AtSize
	case AtTrailer:
		if long <= len("\r\n") { // an empty line
			c.At = AtWhole
		}
	}
	return nil
}

// hex returns the value of a hexadecimal digit.
func hex(b byte) (uint64, bool) {
	switch {
	case '0' <= b && b <= '9':
		return uint64(b - '0'), true
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return uint64(b|0x20-'a') + 10, true
	}
	return 0, false
}
