package transport

import (
	"bufio"
	"net"

	"github.com/valyala/fasthttp"
)

// responseConn is a connection on which one response is read. Its Read fails for a response whose
// head is malformed.
type responseConn struct {
	net.Conn
	in       *bufio.Reader
	headLeft int  // bytes of a checked head that were not read yet
	inBody   bool // the final head was checked
}

// NewResponseConn returns a connection for HTTP clients that tolerate responses with heads that are
// malformed by RFC 9112, such as those of net/http and fasthttp. It is for one request. Reading a
// response with a malformed head fails with an error that wraps routing.ErrMalformedAnswer.
func NewResponseConn(c net.Conn) net.Conn {
	return &responseConn{Conn: c, in: bufio.NewReaderSize(c, readBuffer)}
}

// Read implements net.Conn.
func (c *responseConn) Read(p []byte) (int, error) {
	if c.headLeft == 0 && !c.inBody {
		size, status, err := checkResponseHead(c.in)
		if err != nil {
			return 0, err
		}
		c.headLeft, c.inBody = size, status >= fasthttp.StatusOK
	}
	if c.headLeft == 0 {
		return c.in.Read(p)
	}
	n, err := c.in.Read(p[:min(len(p), c.headLeft)])
	c.headLeft -= n
	return n, err
}
