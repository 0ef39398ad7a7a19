package transport

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// Guards against further requests that a draining router reads but never answers. They were in the
// HTTP server's buffer, which the router did not check before it closed the connection with an
// answer.
func TestDrainAnswersAllThatItHasRead(t *testing.T) {
	request, further := scripted.RequestText("1", ""), scripted.RequestText("2", "")
	chunked := strings.Replace(request, "Content-Length: 16", "Transfer-Encoding: chunked", 1)
	chunked = strings.Replace(chunked, `{"stream": true}`, "10\r\n{\"stream\": true}\r\n0\r\n\r\n", 1)
	for _, test := range []struct {
		name   string
		pieces []string
	}{
		{"in one piece", []string{request + further}},
		{"the first head in two pieces", []string{request[:40], request[40:] + further}},
		{"a body of chunks first", []string{chunked + further}},
		{"another path first", []string{readyText + further}},
	} {
		t.Run(test.name, func(t *testing.T) {
			front, _ := newRoutedFront(t, oneConnection, scripted.Answer(scripted.CompleteAnswer()))
			client, accepted := pair(t)
			read := make(chan struct{}, 10)
			conn := &pausedConn{TCPConn: accepted, afterRead: func() { read <- struct{}{} }}
			front.SetKeepAlive(false)
			for i, piece := range test.pieces {
				client.Write([]byte(piece))
				if i == 0 {
					awaitUnread(t, accepted, len(piece))
					front.adopt(conn, nil, false)
					scripted.Receive(t, read, "the first read")
				}
			}
			client.SetDeadline(time.Now().Add(scripted.EventTimeout))
			in := bufio.NewReader(client)
			for i := range 2 {
				answer, err := http.ReadResponse(in, nil)
				if err == io.EOF || err == io.ErrUnexpectedEOF { // a reset would tell the client that the request was not read
					t.Fatalf("answer %d: %v; want the answer or a reset", i+1, err)
				}
				if err != nil {
					return
				}
				io.Copy(io.Discard, answer.Body)
			}
		})
	}
}
