// Package scripted has the scripted servers, discovery and clients that the tests of the network code are told
// against, all on the loopback.
package scripted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Patience bounds each wait for an event that must come.
const Patience = 10 * time.Second

// Pieces of a server's answer.
const (
	Head  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	End   = "0\r\n\r\n"
	Event = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n"
	Done  = "data: [DONE]\n\n: X-Backend-Load: {\"cpu_share\":0.5}\n\n"
	Full  = "HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"
	Error = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
)

// Chunk frames a piece of a stream.
func Chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// CompleteAnswer is a complete answer.
func CompleteAnswer() string { return Head + Chunk(Event) + Chunk(Done) + End }

// Request is what a server was sent.
type Request struct {
	Method, URI, Body string
	Header            http.Header
}

// Server is a scripted server.
type Server struct {
	Addr     string
	Requests chan Request // in their order
	Conns    atomic.Int32 // accepted so far
	ln       net.Listener
}

// NewServer starts a server; script answers one request on c, and tells whether to keep c for more.
func NewServer(t testing.TB, script func(c net.Conn) (keep bool)) *Server {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Addr: ln.Addr().String(), Requests: make(chan Request, 100), ln: ln}
	t.Cleanup(s.Stop)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.Conns.Add(1)
			go s.serve(c, script)
		}
	}()
	return s
}

// Stop accepts no more connections.
func (s *Server) Stop() { s.ln.Close() }

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

// Answer is a script that always writes the same and keeps the connection.
func Answer(text string) func(net.Conn) bool {
	return func(c net.Conn) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
}

// GatedAnswer is a script that makes the first event at once and the rest of a whole answer after a word on more.
func GatedAnswer(more <-chan bool) func(net.Conn) bool {
	return func(c net.Conn) bool {
		io.WriteString(c, Head+Chunk(Event))
		<-more
		_, err := io.WriteString(c, Chunk(Done)+End)
		return err == nil
	}
}

// Drop is a script that resets the connection.
func Drop(c net.Conn) bool {
	c.(*net.TCPConn).SetLinger(0)
	return false
}

// Discovery is a scripted discovery. A watch is answered with what was told last.
type Discovery struct {
	Addr  string
	Calls chan string // the URIs asked for, in their order

	server   *http.Server
	mu       sync.Mutex
	fullList string
	updates  chan string
}

// NewDiscovery starts a discovery with this whole list.
func NewDiscovery(t testing.TB, whole string) *Discovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ServeDiscovery(t, ln, whole)
}

// ServeDiscovery starts a discovery on a listener.
func ServeDiscovery(t testing.TB, ln net.Listener, whole string) *Discovery {
	d := &Discovery{Addr: ln.Addr().String(), Calls: make(chan string, 100), fullList: whole, updates: make(chan string)}
	d.server = &http.Server{Handler: d}
	t.Cleanup(d.Stop)
	go d.server.Serve(ln)
	return d
}

// Stop ends it with all its connections.
func (d *Discovery) Stop() { d.server.Close() }

// Send answers the watch that waits, or the next one.
func (d *Discovery) Send(t testing.TB, text string) {
	t.Helper()
	select {
	case d.updates <- text:
	case <-time.After(Patience):
		t.Fatal("nobody watches discovery")
	}
}

// ServeHTTP answers the whole list at once and a watch when something is told.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.Calls <- r.RequestURI
	if r.URL.RawQuery == "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		io.WriteString(w, d.fullList)
		return
	}
	select {
	case text := <-d.updates:
		io.WriteString(w, text)
	case <-r.Context().Done():
	}
}

// Entry is a listed server in discovery's form.
func Entry(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"k","state":%q}`, id, addr, state)
}

// List is a list in discovery's form.
func List(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}

// Ask returns a well-formed client request; set overrides its headers, and "" removes one.
func Ask(t testing.TB, addr, id string, set map[string]string) *http.Request {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+addr+"/v1/chat/completions?a=%20b", strings.NewReader(`{"stream": true}`))
	if err != nil {
		t.Fatal(err)
	}
	headers := map[string]string{"X-Correlation-Id": id, "X-Service-Class": "chat", "X-Session-Key": "s",
		"X-Time-Left": "8000m", "X-Facts": "prompt_len=100,max_out=10"}
	for name, value := range set {
		headers[name] = value
	}
	for name, value := range headers {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	return r
}

// Do sends a request and returns the status and the body, with the error that ended it.
func Do(t testing.TB, r *http.Request) (status int, body string, end error) {
	t.Helper()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

// Next returns the next event of a channel that must have one.
func Next[T any](t testing.TB, from <-chan T, what string) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(Patience):
		t.Fatalf("waited %v in vain: %s", Patience, what)
		panic("unreachable")
	}
}

// Give hands an event to whoever must be waiting for it.
func Give[T any](t testing.TB, to chan<- T, v T) {
	t.Helper()
	select {
	case to <- v:
	case <-time.After(Patience):
		t.Fatalf("for %v nobody waited to be given %v", Patience, v)
	}
}

// Lines collects what is logged, as the event and its fields. It implements routing.Logger.
type Lines chan string

// Info implements routing.Logger.
func (l Lines) Info(event string, fields ...any) { l.add(event, fields) }

// Warn implements routing.Logger.
func (l Lines) Warn(event string, fields ...any) { l.add(event, fields) }

func (l Lines) add(event string, fields []any) {
	for i := 0; i+1 < len(fields); i += 2 {
		event += fmt.Sprintf(" %v=%v", fields[i], fields[i+1])
	}
	l <- event
}

// Text collects what is written, from any goroutine.
type Text struct {
	mu sync.Mutex
	b  strings.Builder
}

// Write implements io.Writer.
func (x *Text) Write(p []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.b.Write(p)
}

// String returns all of it.
func (x *Text) String() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.b.String()
}

// Wait waits until some words were written.
func (x *Text) Wait(t testing.TB, expected string) {
	t.Helper()
	for end := time.Now().Add(Patience); !strings.Contains(x.String(), expected); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("no %q in:\n%s", expected, x.String())
		}
	}
}

// Until looks again and again until something holds that tells nobody by itself when it does.
func Until(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %v in vain: %s", Patience, what)
		}
	}
}
