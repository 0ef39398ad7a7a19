package transport

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/testbed/scripted"
)

// Guards against further requests that are lost when their connection is closed. A request of
// which the router has read bytes gets no answer, and its client gets no reset that would show that
// the request may be sent again.
func TestReadTakesNothingOfFurtherRequests(t *testing.T) {
	request, further := scripted.RequestText("1", ""), scripted.RequestText("2", "")
	chunked := strings.Replace(request, "Content-Length: 16", "Transfer-Encoding: chunked", 1)
	chunked = strings.Replace(chunked, `{"stream": true}`, "10\r\n{\"stream\": true}\r\n0\r\n\r\n", 1)
	for _, test := range []struct {
		name   string
		pieces []string // of the first request, each read separately
		state  func(*clientConn)
	}{
		{"in one piece", []string{request}, nil},
		{"its head in two pieces", []string{request[:40], request[40:]}, nil},
		{"its body separately", []string{request[:len(request)-16], request[len(request)-16:]}, nil},
		{"a body of chunks", []string{chunked}, nil},
		{"another path", []string{readyText}, nil},
		{"a query", []string{strings.Replace(request, "completions", "completions?a=b", 1)}, nil},
		{"behind a byte that the watch read", []string{request}, func(c *clientConn) {
			c.readAhead = make([]byte, 1)
			c.Conn.Read(c.readAhead)
		}},
		{"the last read of a drain", []string{request}, func(c *clientConn) {
			c.everRead = true
			c.listener.closingAfterAnswers.Store(true)
		}},
		{"the last read of an idle connection", []string{request}, func(c *clientConn) {
			c.everRead = true
			c.Conn.SetReadDeadline(time.Unix(1, 0))
		}},
		{"the last read before the first request", []string{request}, func(c *clientConn) {
			c.Conn.SetReadDeadline(time.Unix(1, 0))
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := newListener(&FrontLimits{Admission: admission.Config{MaxConnections: 1}})
			client, accepted := pair(t)
			c := l.adopt(accepted, netip.AddrPort{}, nil, false)
			buffer, read := make([]byte, defaultMaxHead), 0
			for i, piece := range test.pieces {
				if i == len(test.pieces)-1 {
					piece += further
				}
				client.Write([]byte(piece))
				awaitUnread(t, accepted, len(piece))
				if i == 0 && test.state != nil {
					test.state(c)
				}
				n, err := c.Read(buffer)
				if read += n; err != nil {
					t.Fatal(err)
				}
			}
			if want := len(strings.Join(test.pieces, "")); read > want {
				t.Errorf("read %d bytes; want at most %d, the first request", read, want)
			}
		})
	}
}
