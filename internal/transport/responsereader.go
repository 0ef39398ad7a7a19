package transport

import (
	"bufio"
	"bytes"
	"errors"

	"github.com/valyala/fasthttp"

	"reachspread/internal/protocol"
)

// readResponseHead reads the head of one response. The head is checked before it is parsed, because
// fasthttp tolerates heads that are malformed by RFC 9112. If the head is malformed, the error wraps
// routing.ErrMalformedAnswer; all other errors are those of the connection.
func readResponseHead(in *bufio.Reader, head *fasthttp.ResponseHeader) error {
	if err := checkResponseHead(in); err != nil {
		return err
	}
	if err := head.Read(in); err != nil { // reads nothing from the connection, as the complete head is buffered
		return &malformedAnswerError{err}
	}
	return nil
}

// checkResponseHead waits until a complete head is buffered and checks each line as it arrives. It
// discards nothing.
func checkResponseHead(in *bufio.Reader) error {
	var head protocol.ResponseHead
	for checked := 0; !head.Complete; {
		line, err := peekLine(in, checked)
		if err != nil {
			return err
		}
		if err := head.AddLine(line); err != nil {
			return &malformedAnswerError{err}
		}
		checked += len(line)
	}
	return nil
}

// peekLine returns the line that begins behind the first skip bytes, with its line end. Those bytes
// must be buffered. It discards nothing, and all of it has to fit into the buffer.
func peekLine(in *bufio.Reader, skip int) ([]byte, error) {
	for {
		buffered, err := in.Peek(in.Buffered())
		if err != nil {
			return nil, err
		}
		if end := bytes.IndexByte(buffered[skip:], '\n'); end >= 0 {
			return buffered[skip : skip+end+1], nil
		}
		_, err = in.Peek(len(buffered) + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			return nil, &malformedAnswerError{err}
		}
		if err != nil {
			return nil, err
		}
	}
}
