package program

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// Guards against connection resets when the last process of a router ends. The platform holds the
// listener, so clients that connect meanwhile must wait in its backlog for the next process.
func TestBacklogOutlivesProcesses(t *testing.T) {
	t.Parallel()
	p := newSupervisor(t, scripted.NewModel(t, scripted.ModelBehavior{Events: 3}))
	processes := []*routerProcess{p.start().awaitReady(), p.start().awaitReady()}
	for _, o := range processes {
		o.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, o := range processes {
		o.awaitLog("phase name=finishing")
	}
	client, err := net.Dial("tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(scripted.EventTimeout))
	if _, err := io.WriteString(client, scripted.RequestText("waits", "")); err != nil {
		t.Fatal(err)
	}
	for _, o := range processes {
		o.awaitExit(true)
	}
	p.start().awaitReady()
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Errorf("got status %d, want %d", resp.StatusCode, http.StatusOK)
	}
}
