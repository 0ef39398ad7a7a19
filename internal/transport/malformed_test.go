package transport_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"reachspread/balance"
	"reachspread/internal/protocol"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// malformedHeads are changes that make the head of an answer malformed.
var malformedHeads = slices.Concat(scripted.MalformedStatuses, scripted.MalformedLines, scripted.MalformedFraming)

// Guards against a malformed answer that reaches a client of `serve` (issue 97). It is a failed
// attempt, its connection is not used again, and it is counted and logged.
func TestMalformedAnswerIsAFailedAttempt(t *testing.T) {
	for _, change := range malformedHeads {
		t.Run(change.Name, func(t *testing.T) {
			t.Parallel()
			script := scripted.Answer(change.Of(scripted.CompleteAnswer()))
			a, b := scripted.NewServer(t, script), scripted.NewServer(t, script)
			lines := make(scripted.LogLines, 100)
			r := newLoggingRouter(t, lines, a, b)
			for _, id := range []string{"q0", "q1"} {
				status, body, err := scripted.Do(t, scripted.NewRequest(t, r.addr, id, nil))
				if status != 503 || err != nil {
					t.Errorf("got %d %q, %v; want 503", status, body, err)
				}
			}
			for _, s := range []*scripted.Server{a, b} {
				if requests, conns := len(s.Requests), int(s.Conns.Load()); requests != 2 || conns != requests {
					t.Errorf("a server got %d attempts on %d connections, want 2 on 2", requests, conns)
				}
			}
			if n := r.servers.MalformedAnswers(); n != 4 {
				t.Errorf("counted %d malformed answers, want 4", n)
			}
			for range 2 { // of each server the first one
				line := scripted.Receive(t, lines, "a log line")
				if !strings.Contains(line, "malformed answer") {
					t.Errorf("logged %q, want the malformed answer", line)
				}
			}
		})
	}
}

// A stream of `serve` with a malformed trailer section is cut, and its connection is not used again.
func TestMalformedTrailerSectionCutsTheStream(t *testing.T) {
	for _, change := range append(slices.Clone(scripted.MalformedTrailers), scripted.ForbiddenTrailer) {
		t.Run(change.Name, func(t *testing.T) {
			t.Parallel()
			s := scripted.NewServer(t, scripted.Answer(change.Of(scripted.CompleteAnswer())))
			r := newRouter(t, s)
			status, body, err := scripted.Do(t, scripted.NewRequest(t, r.addr, "q", nil))
			if status != 200 || err == nil || body != scripted.Event+scripted.Done {
				t.Errorf("got %d %q, %v; want both events, and the stream cut", status, body, err)
			}
			scripted.AwaitCondition(t, "the close of the connection", func() bool { return r.servers.Open() == 0 })
			if n := r.servers.MalformedAnswers(); n != 1 {
				t.Errorf("counted %d malformed answers, want 1", n)
			}
		})
	}
}

// Guards against a list of servers that is taken from a malformed answer of discovery. The router
// calls again on another connection.
func TestMalformedAnswerOfDiscoveryIsNoList(t *testing.T) {
	sound := func(version int) string {
		return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" + scripted.Chunk(scripted.List(version, true)) + scripted.End
	}
	for _, change := range slices.Concat(malformedHeads, scripted.MalformedTrailers) {
		t.Run(change.Name, func(t *testing.T) {
			t.Parallel()
			var calls atomic.Int32
			s := scripted.NewServer(t, func(c net.Conn) bool {
				switch calls.Add(1) {
				case 1:
					fmt.Fprint(c, change.Of(sound(1)))
				case 2:
					fmt.Fprint(c, sound(2))
				}
				return true
			})
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			lists, lines := make(chan *protocol.List, 2), make(scripted.LogLines, 10)
			schedule := transport.RetrySchedule{FirstDelay: time.Millisecond, MaxDelay: time.Millisecond}
			go transport.NewDiscovery(s.Addr, schedule, transport.FullList, lines, func(l *protocol.List) { lists <- l }).Run(ctx)
			if l := scripted.Receive(t, lists, "a list"); l.Version != 2 {
				t.Errorf("got the list of version %d, want 2", l.Version)
			}
			if line := scripted.Receive(t, lines, "a log line"); !strings.Contains(line, "discovery lost") {
				t.Errorf("logged %q, want the loss of discovery", line)
			}
			if n := s.Conns.Load(); n != 2 {
				t.Errorf("discovery was called on %d connections, want 2", n)
			}
		})
	}
}

// A health check gets the status of a sound answer, and an error for a malformed one.
func TestMalformedAnswerToHealthCheckIsAnError(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Y: z\r\nTransfer-Encoding: chunked\r\n\r\n" + scripted.End
	for _, change := range slices.Concat(malformedHeads, scripted.MalformedTrailers) {
		t.Run(change.Name, func(t *testing.T) {
			t.Parallel()
			r := newRouter(t)
			for text, want := range map[string]balance.Result{sound: balance.OK, change.Of(sound): balance.Error} {
				s := scripted.NewServer(t, scripted.Answer(text))
				ctx, stop := context.WithTimeout(context.Background(), scripted.EventTimeout)
				defer stop()
				if got, _ := r.servers.Probe(ctx, routing.Server{ID: "s0", Addr: s.Addr}); got != want {
					t.Errorf("%q: got %v, want %v", text, got, want)
				}
			}
			if n := r.servers.MalformedAnswers(); n != 1 {
				t.Errorf("counted %d malformed answers, want 1", n)
			}
			if n := r.servers.Open(); n != 1 {
				t.Errorf("%d connections are open, want that of the sound answer", n)
			}
		})
	}
}

// An answer that arrives byte by byte, with an interim answer, chunk extensions and a trailer
// section, reaches the client unchanged, and its connection is used again.
func TestAnswerArrivesByteByByte(t *testing.T) {
	answer := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + scripted.Head + scripted.Chunk(scripted.Event) +
		fmt.Sprintf("%x;a=b\r\n%s\r\n", len(scripted.Done), scripted.Done) + "0\r\nDigest: x\r\n\r\n"
	s := scripted.NewServer(t, func(c net.Conn) bool {
		for i := range answer {
			if _, err := c.Write([]byte{answer[i]}); err != nil {
				return false
			}
		}
		return true
	})
	r := newRouter(t, s)
	for i := range 3 {
		status, body, err := scripted.Do(t, scripted.NewRequest(t, r.addr, fmt.Sprint("q", i), nil))
		if status != 200 || body != scripted.Event+scripted.Done || err != nil {
			t.Errorf("got %d %q, %v; want both events", status, body, err)
		}
	}
	if n := s.Conns.Load(); n != 1 {
		t.Errorf("the server accepted %d connections, want 1", n)
	}
}
