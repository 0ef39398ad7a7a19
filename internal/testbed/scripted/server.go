package scripted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// Parts of answers and complete answers that servers send.
const (
	Head        = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	End         = "0\r\n\r\n"
	Event       = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n"
	Done        = "data: [DONE]\n\n: X-Backend-Load: {\"cpu_share\":0.5}\n\n"
	Rejection   = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	ServerError = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
)

// Chunk returns a text as a chunk in HTTP's chunked encoding.
func Chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// CompleteAnswer returns a complete answer with one content event.
func CompleteAnswer() string { return Head + Chunk(Event) + Chunk(Done) + End }

// maxUnreadRequests is the capacity of Server.Requests.
const maxUnreadRequests = 100

// Request is a request as a server received it.
type Request struct {
	Method, URI, Body string
	Header            http.Header
}

// Server is an HTTP server that answers each request by a script.
type Server struct {
	Addr     string
	Requests chan Request // received requests, in order
	Conns    atomic.Int32 // connections accepted so far
	listener net.Listener
}

// NewServer starts a server that stops at the end of the test. script answers one request on c and
// reports whether to keep c open for further requests.
func NewServer(t testing.TB, script func(c net.Conn) (keep bool)) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Addr: ln.Addr().String(), Requests: make(chan Request, maxUnreadRequests), listener: ln}
	t.Cleanup(s.Stop)
	go s.accept(script)
	return s
}

// accept accepts and serves connections until Stop.
func (s *Server) accept(script func(net.Conn) bool) {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.Conns.Add(1)
		go s.serve(c, script)
	}
}

// Stop stops accepting connections. Open connections stay open.
func (s *Server) Stop() { s.listener.Close() }

// serve answers the requests of a connection until the connection ends or the script drops it.
func (s *Server) serve(c net.Conn, script func(net.Conn) bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.Requests <- Request{Method: r.Method, URI: r.RequestURI, Body: string(body), Header: r.Header}
		if !script(c) {
			return
		}
	}
}

// Answer returns a script that always writes the same text and keeps the connection open.
func Answer(text string) func(net.Conn) bool {
	return func(c net.Conn) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// GatedAnswer returns a script that writes the first event at once, and the rest of a complete answer
// once it receives from more.
func GatedAnswer(more <-chan bool) func(net.Conn) bool {
	return func(c net.Conn) bool {
		io.WriteString(c, Head+Chunk(Event))
		<-more
		_, err := io.WriteString(c, Chunk(Done)+End)
		return err == nil
	}
}

// Drop is a script that resets the connection without an answer.
func Drop(c net.Conn) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}
