package transport_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachspread/internal/protocol"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// write writes a text in pieces that end at the cuts, normally each in a packet of its own.
func write(c net.Conn, text string, cuts []int) {
	c.(*net.TCPConn).SetNoDelay(true)
	for _, n := range cuts {
		n = min(n, len(text))
		io.WriteString(c, text[:n])
		text = text[n:]
		time.Sleep(50 * time.Microsecond) // so that each piece is usually read separately; the test's result does not depend on it
	}
	io.WriteString(c, text)
}

// However the bytes from the client, the server and discovery are split, the result is the same.
func TestBytesSplitAnywhere(t *testing.T) {
	lists, answers, applied := make(chan []int, 1), make(chan []int, 1), make(chan *protocol.List, 1)
	defer close(lists)
	s := scripted.NewServer(t, func(c net.Conn) bool {
		write(c, scripted.CompleteAnswer(), <-answers)
		return true
	})
	lines := make(scripted.LogLines, 1000)
	r := newLoggingRouter(t, lines)
	d := scripted.NewServer(t, func(c net.Conn) bool {
		cuts, more := <-lists
		text := scripted.List(1, true, scripted.ListEntry("s0", s.Addr, "Ready"))
		write(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text), cuts)
		return more
	})
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go transport.NewDiscovery(d.Addr, transport.PushSchedule, transport.FullList, lines, func(l *protocol.List) {
		r.core.ApplyUpdate(l.Members(), l.Addrs())
		applied <- l
	}).Run(ctx)
	requests := 0
	pieces := rapid.SliceOfN(rapid.SampledFrom([]int{1, 1, 1, 2, 5, 17, 80}), 0, 60)
	rapid.Check(t, func(rt *rapid.T) {
		lists <- pieces.Draw(rt, "list")
		if got := scripted.Receive(t, applied, "a list"); len(got.Servers) != 1 || got.Servers[0].Addr != s.Addr {
			rt.Fatalf("got the list %+v, want one with the server s0", got)
		}
		scripted.Receive(t, d.Requests, "a call")
		answers <- pieces.Draw(rt, "answer")
		c, err := net.Dial("tcp", r.addr)
		if err != nil {
			rt.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(scripted.EventTimeout))
		requests++
		id := fmt.Sprint("q", requests)
		write(c, scripted.RequestText(id, ""), pieces.Draw(rt, "request"))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			rt.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != 200 || string(body) != scripted.Event+scripted.Done {
			rt.Fatalf("got %d %q, %v; want status 200 and the complete answer", resp.StatusCode, body, err)
		}
		if got := scripted.Receive(t, s.Requests, "an attempt"); got.Header.Get("X-Correlation-Id") != id || !strings.HasSuffix(scripted.RequestText(id, ""), got.Body) {
			rt.Fatalf("the server got %+v, want the request unchanged", got)
		}
	})
	if len(lines) > 0 {
		t.Errorf("unexpected log line: %s", <-lines)
	}
}

// A server that writes its head slowly, one byte at a time, does not count as silent.
func TestSlowHeadIsNoTimeout(t *testing.T) {
	s := scripted.NewServer(t, func(c net.Conn) bool {
		for _, b := range []byte(scripted.Head) {
			if _, err := c.Write([]byte{b}); err != nil {
				return false
			}
			time.Sleep(1300 * time.Millisecond / time.Duration(len(scripted.Head)))
		}
		io.WriteString(c, scripted.Chunk(scripted.Event)+scripted.Chunk(scripted.Done)+scripted.End)
		return true
	})
	r := newRouter(t, s)
	if status, body, err := scripted.Do(t, scripted.NewRequest(t, r.addr, "q", nil)); status != 200 || err != nil || body != scripted.Event+scripted.Done {
		t.Errorf("got %d %q, %v; want status 200 and the complete answer", status, body, err)
	}
}
