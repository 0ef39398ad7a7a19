package protocol

import (
	"bytes"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// ParseChunkLine returns the size, in bytes, of the chunk that a line begins. The line includes its
// line end. A size of 0 is that of the last chunk.
func ParseChunkLine(line []byte) (size int64, err error) {
	line, err = trimLineEnd(line)
	if err != nil {
		return 0, err
	}
	digits := line
	if end := bytes.IndexByte(line, ';'); end >= 0 {
		digits = line[:end]
		if !httpguts.ValidHeaderFieldValue(string(line[end:])) {
			return 0, malformedLine("a chunk extension has a control byte", line)
		}
	}
	for len(digits) > 0 && (digits[len(digits)-1] == ' ' || digits[len(digits)-1] == '\t') {
		digits = digits[:len(digits)-1]
	}
	size, err = strconv.ParseInt(string(digits), 16, 64)
	if err != nil || digits[0] == '+' || digits[0] == '-' {
		return 0, malformedLine("the size of a chunk is no hexadecimal number", line)
	}
	return size, nil
}

// CheckTrailerLine checks a line of the trailer section behind a chunked body, which includes its
// line end. It reports whether the line ends the section.
func CheckTrailerLine(line []byte) (last bool, err error) {
	if line, err = trimLineEnd(line); err != nil || len(line) == 0 {
		return err == nil, err
	}
	name, value, err := splitField(line)
	switch {
	case err != nil:
		return false, err
	case !httpguts.ValidTrailerHeader(string(name)):
		return false, malformedLine("the field may not be in a trailer section", line)
	case !httpguts.ValidHeaderFieldValue(string(value)):
		return false, malformedLine("the value of a field has a control byte", line)
	}
	return false, nil
}
