package transport

import (
	"io"
	"strings"
	"testing"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/testbed/scripted"
)

// A moved connection that was used in the previous process stays open as long as any used
// connection. If it were closed as early as a new one, the close would cross the client's next
// request.
func TestMovedConnectionCountsAsUsed(t *testing.T) {
	closed := make(chan ConnectionClosed, 1)
	limits := FrontLimits{Admission: admission.Config{MaxConnections: 1}, OnClose: func(c ConnectionClosed) { closed <- c }}
	front, _ := newRoutedFront(t, limits, scripted.Answer(scripted.CompleteAnswer()))
	front.server.ReadTimeout = 10 * time.Millisecond
	_, client, _, end := movedStream(t, front)
	end()
	awaitStreamEnd(t, client)
	client.SetReadDeadline(time.Now().Add(100 * front.server.ReadTimeout))
	if _, err := client.Read(make([]byte, 1)); err == io.EOF {
		got := scripted.Receive(t, closed, "the end of the connection")
		t.Errorf("the connection was closed as %v after %v; want it open, because it was used before", got.Reason, got.IdleTime)
	}
}

// Guards against a request on a moved connection that must arrive within the rest of the
// connection's idle time. It must have as much time as any other request.
func TestRequestOnMovedConnectionHasItsOwnTime(t *testing.T) {
	l := newListener(&FrontLimits{Admission: admission.Config{MaxConnections: 1}})
	client, accepted := pair(t)
	from, _ := peerOf(accepted)
	c := l.adopt(accepted, from, nil, true)
	head, _, _ := strings.Cut(scripted.RequestText("q", ""), "\r\n\r\n")
	client.Write([]byte(head))
	c.Conn.SetReadDeadline(time.Now().Add(50 * time.Millisecond)) // the rest of the idle time
	buffer := make([]byte, defaultMaxHead)
	if _, err := c.Read(buffer); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(100*time.Millisecond, func() { client.Write([]byte("\r\n\r\n")) })
	if _, err := c.Read(buffer); err != nil {
		t.Errorf("got %v; want the rest of the request, 0.1 s after its beginning", err)
	}
}
