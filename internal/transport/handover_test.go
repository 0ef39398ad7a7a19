package transport_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"reachspread/balance"
	"reachspread/internal/admission"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/transport"
)

// process is one of the two processes of a router. The test runs both in one process.
type process struct {
	front   *transport.Front
	servers *transport.Servers
	core    *routing.Router
	addr    string
}

func newProcess(t *testing.T, path string, silent time.Duration, lines scripted.LogLines) *process {
	t.Helper()
	b, err := balance.New(balance.Config{Zone: "a", MaxAttempts: 3, StepInterval: time.Millisecond,
		Classes: []balance.Class{{Name: "chat", LatencyTarget: 8 * time.Second, Deadline: 8 * time.Second, Streamed: true}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	p := &process{servers: transport.NewServers(transport.ServerLimits{ConnectTimeout: time.Second, Keepalive: time.Minute, Connections: 10, StreamIdleTimeout: silent}, lines)}
	p.core = routing.New(b, p.servers, lines, time.Second)
	p.front = transport.NewFront(p.core, transport.FrontLimits{Admission: admission.Config{MaxConnections: 100, MaxOverflow: 8}, BodyBytes: 1 << 20}, nil)
	r, err := transport.NewReceiver(path, p.front, p.servers, lines)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.addr = ln.Addr().String()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(func() { r.Stop(); stop(); ln.Close() })
	go p.core.Run(ctx)
	go p.front.Serve(ln, false)
	return p
}

// A silent server does not get more time when its stream moves or when the move fails: the client's
// stream is cut off in time.
func TestMovedStreamKeepsItsTimeout(t *testing.T) {
	const silent = time.Second
	for name, path := range map[string]string{"moved": "taken", "move fails": "gone"} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			lines := make(scripted.LogLines, 100)
			old, next := newProcess(t, filepath.Join(dir, "old"), silent, lines), newProcess(t, filepath.Join(dir, "taken"), silent, lines)
			s := scripted.NewServer(t, func(c net.Conn) bool {
				io.WriteString(c, scripted.Head+scripted.Chunk(scripted.Event))
				io.Copy(io.Discard, c)
				return false
			})
			(&router{core: old.core}).applyList(t, scripted.List(1, true, scripted.ListEntry("s0", s.Addr, "Ready")))
			resp, err := http.DefaultClient.Do(scripted.NewRequest(t, old.addr, "q", nil))
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			begun := time.Now()
			time.Sleep(silent * 7 / 10) // part of the server's silence passes before the move
			mover, err := transport.DialMover(filepath.Join(dir, "taken"))
			if err != nil {
				t.Fatal(err)
			}
			if path == "gone" {
				mover.Close()
			}
			old.front.MoveTo(mover)
			old.servers.Move(mover)
			text, err := io.ReadAll(resp.Body)
			if took := time.Since(begun); err == nil || string(text) != scripted.Event || took > silent*3/2 {
				t.Errorf("the stream ended with %q, %v after %v; want it cut off after %v", text, err, took, silent)
			}
			for key, p := range map[string]*process{"taken": next, "gone": old} {
				for end := time.Now().Add(scripted.EventTimeout); ; time.Sleep(5 * time.Millisecond) {
					f := p.core.Metrics()
					got := fmt.Sprint(f.Open, f.Classes["chat"].Failed)
					if key == path && got == "0 1" || key != path && got == "0 0" {
						break
					}
					if time.Now().After(end) {
						t.Fatalf("process %s: open and failed requests are %s", key, got)
					}
				}
			}
		})
	}
}

// Guards against connections that are lost with their process because the path of the shared folder
// is too long for the address of a Unix socket.
func TestConnectionMovesUnderLongPath(t *testing.T) {
	folder := filepath.Join(t.TempDir(), strings.Repeat("long-", 30))
	if err := os.Mkdir(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	lines := make(scripted.LogLines, 100)
	old, next := newProcess(t, filepath.Join(folder, "old"), time.Second, lines), newProcess(t, filepath.Join(folder, "next"), time.Second, lines)
	next.front.SetReady(true)
	c, err := net.Dial("tcp", old.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(scripted.EventTimeout))
	in := bufio.NewReader(c)
	ready := func(want int) {
		t.Helper()
		io.WriteString(c, "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n")
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode != want {
			t.Fatalf("got %v, %v, want status %d", resp, err, want)
		}
		io.Copy(io.Discard, resp.Body)
	}
	ready(http.StatusServiceUnavailable)
	mover, err := transport.DialMover(filepath.Join(folder, "next"))
	if err != nil {
		t.Fatal(err)
	}
	old.front.MoveTo(mover)
	scripted.AwaitCondition(t, "the connection has moved", func() bool {
		old.front.CloseIdle(0) // skips a connection whose answer is just being completed
		return next.front.Alive() > 0
	})
	ready(http.StatusOK)
}
