package transport

import (
	"bytes"
	"context"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// benchmarkHead is the start of a host's answer in the fleet's dialect, with the fields that hosts
// usually send.
const benchmarkHead = "HTTP/1.1 200 OK\r\nRequest-Id: q\r\nResponse-Seal: 3f1c2b7a9d8e4f60a1b2c3d4e5f60718293a4b5c6d7e8f90\r\n" +
	"Server-Load: 3,0,8\r\nInstance-Id: host-17\r\nKeep-Alive: timeout=30\r\nDate: Sun, 06 Dec 2026 12:00:00 GMT\r\n"

// What it costs to send a request to a host and to read its answer.
func BenchmarkRelay(b *testing.B) {
	hostField := []protocol.Field{{Name: "Host", Value: "h.example"}}
	plain := strings.Repeat("0123456789abcdef", 64)
	stream := ""
	for i := range 64 {
		stream += scripted.Chunk("id: " + strconv.Itoa(i+1) + "\ndata: {\"choices\":[{\"delta\":{\"content\":\"oqvh\"}}]}\n\n")
	}
	b.Run("plain", func(b *testing.B) {
		answer := benchmarkHead + "Content-Type: text/plain\r\nContent-Length: " + strconv.Itoa(len(plain)) + "\r\n\r\n" + plain
		benchmarkRelay(b, answer, protocol.Fleet{}, &Forward{Header: hostField})
	})
	b.Run("stream", func(b *testing.B) {
		answer := benchmarkHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + stream + scripted.End
		benchmarkRelay(b, answer, protocol.Fleet{}, &Forward{Header: hostField, Events: true})
	})
	b.Run("serve", func(b *testing.B) {
		answer := scripted.Head + strings.Repeat(scripted.Chunk(scripted.Event), 64) + scripted.Chunk(scripted.Done) + scripted.End
		benchmarkRelay(b, answer, protocol.Completions{}, nil)
	})
}

func benchmarkRelay(b *testing.B, answer string, dialect protocol.Dialect, forward *Forward) {
	addr := answerAlways(b, answer)
	servers := NewServers(ServerLimits{ConnectTimeout: time.Second, Keepalive: time.Minute, StreamIdleTimeout: time.Second,
		Connections: 1, Dialect: dialect}, make(scripted.LogLines, 1))
	message := &Message{method: []byte("POST"), uri: []byte("/a"), id: []byte("q"), body: []byte("x"), forward: forward}
	b.ReportAllocs()
	for b.Loop() {
		got := servers.Send(context.Background(), time.Now().Add(scripted.EventTimeout), routing.Server{ID: "s", Addr: addr}, message, probeHooks)
		if got.Result != balance.OK {
			b.Fatalf("got %+v", got)
		}
		buf := make([]byte, 4096)
		for {
			if _, err := got.Body.Read(buf); err == io.EOF {
				break
			} else if err != nil {
				b.Fatal(err)
			}
		}
		got.Body.End()
	}
}

// answerAlways starts a server that gives each request the same answer without parsing it.
func answerAlways(b *testing.B, answer string) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { ln.Close() })
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		text, request := []byte(answer), make([]byte, 4096)
		for {
			n, err := c.Read(request)
			if err != nil {
				return
			}
			if bytes.HasSuffix(request[:n], []byte("x")) {
				c.Write(text)
			}
		}
	}()
	return ln.Addr().String()
}
