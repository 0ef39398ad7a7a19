package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/valyala/fasthttp"

	"reachspread/internal/protocol"
)

// readResponseHead reads the head of one response. The head is checked before it is parsed, because
// fasthttp tolerates heads that are malformed by RFC 9112. If the head is malformed, the error wraps
// routing.ErrMalformedAnswer; all other errors are those of the connection.
func readResponseHead(in *bufio.Reader, head *fasthttp.ResponseHeader) error {
	if _, _, err := checkResponseHead(in); err != nil {
		return err
	}
	if err := head.Read(in); err != nil { // reads nothing from the connection, as the complete head is buffered
		return &malformedAnswerError{err}
	}
	return nil
}

// checkResponseHead waits until a complete head is buffered and checks each line as it arrives. It
// discards nothing, and returns the size of the head in bytes and its status.
func checkResponseHead(in *bufio.Reader) (size, status int, err error) {
	var head protocol.ResponseHead
	for !head.Complete {
		line, err := peekLine(in, size)
		if err != nil {
			return 0, 0, err
		}
		if err := head.AddLine(line); err != nil {
			return 0, 0, &malformedAnswerError{err}
		}
		size += len(line)
	}
	return size, head.Status, nil
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

// readResponse reads a response with a body of up to maxBody bytes, and skips interim responses
// before it. It returns the body only for status 200.
func readResponse(in *bufio.Reader, resp *fasthttp.Response, maxBody int) ([]byte, error) {
	if err := readFinalHead(in, &resp.Header); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, nil
	}
	from, err := openBody(in, resp, &chunkedBody{})
	if err != nil {
		return nil, err
	}
	text, err := io.ReadAll(io.LimitReader(from, int64(maxBody)+1))
	if err == nil && len(text) > maxBody {
		return nil, fmt.Errorf("a body of more than %d bytes", maxBody)
	}
	return text, err
}

// readFinalHead reads the head of a response and skips interim ones.
func readFinalHead(in *bufio.Reader, head *fasthttp.ResponseHeader) error {
	for range maxInterimAnswers {
		if err := readResponseHead(in, head); err != nil {
			return err
		}
		if final, err := isFinal(head); final || err != nil {
			return err
		}
	}
	return &malformedAnswerError{errTooManyInterim}
}

// isFinal reports whether a head is not that of an interim response.
func isFinal(head *fasthttp.ResponseHeader) (bool, error) {
	if head.StatusCode() == fasthttp.StatusSwitchingProtocols {
		return false, &malformedAnswerError{errProtocolSwitched}
	}
	return head.StatusCode() >= fasthttp.StatusOK, nil
}

// openBody returns the body of a response whose head was just read. It uses chunked for a chunked
// body.
func openBody(in *bufio.Reader, resp *fasthttp.Response, chunked *chunkedBody) (io.Reader, error) {
	if resp.Header.ContentLength() == chunkedLength {
		*chunked = chunkedBody{in: in}
		return chunked, nil
	}
	resp.StreamBody = true
	err := resp.ReadBody(in, 0)
	return resp.BodyStream(), err
}

// chunkedLength is the length that fasthttp gives a response with a chunked body.
const chunkedLength = -1

// chunkedBody reads a chunked body, at most one chunk at a time, and the trailer section behind it,
// which is checked and dropped. fasthttp's reader tolerates trailer sections that are malformed.
type chunkedBody struct {
	in    *bufio.Reader
	begun bool  // a chunk was begun
	left  int64 // bytes left of the current chunk
	err   error // ends all further reads; io.EOF behind a complete trailer section
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (n int, err error) {
	if b.err == nil && b.left == 0 {
		b.err = b.nextChunk()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, b.err = b.in.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	b.err = unexpectedEnd(b.err)
	return n, b.err
}

// nextChunk begins the next chunk. Behind the last chunk it reads the trailer section and returns
// io.EOF.
func (b *chunkedBody) nextChunk() error {
	before, err := b.peekChunkEnd()
	if err != nil {
		return err
	}
	line, err := peekLine(b.in, before)
	if err != nil {
		return unexpectedEnd(err)
	}
	if b.left, err = protocol.ParseChunkLine(line); err != nil {
		return &malformedAnswerError{err}
	}
	b.begun = true
	b.in.Discard(before + len(line)) // is buffered
	if b.left > 0 {
		return nil
	}
	if err := discardTrailer(b.in); err != nil {
		return unexpectedEnd(err)
	}
	return io.EOF
}

// peekChunkEnd checks the line end behind the data of the chunk before, if there was one, and
// returns its size.
func (b *chunkedBody) peekChunkEnd() (size int, err error) {
	const lineEnd = "\r\n"
	if !b.begun {
		return 0, nil
	}
	end, err := b.in.Peek(len(lineEnd))
	if err != nil {
		return 0, unexpectedEnd(err)
	}
	if string(end) != lineEnd {
		return 0, &malformedAnswerError{errChunkEnd}
	}
	return len(lineEnd), nil
}

// errChunkEnd says that a chunk's data is longer or shorter than its size.
var errChunkEnd = errors.New("no CR LF behind the data of a chunk")

// discardTrailer reads a trailer section.
func discardTrailer(in *bufio.Reader) error {
	size := 0
	for last := false; !last; {
		line, err := peekLine(in, size)
		if err != nil {
			return err
		}
		if last, err = protocol.CheckTrailerLine(line); err != nil {
			return &malformedAnswerError{err}
		}
		size += len(line)
	}
	in.Discard(size) // is buffered
	return nil
}

// unexpectedEnd returns the error of a read within a body, where the connection must not end.
func unexpectedEnd(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
