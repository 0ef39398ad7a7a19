package transport

import (
	"io"
	"testing"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/testbed/scripted"
)

// A connection that was used in the process before is kept as long as any used one: closed as if it
// were new, the close crosses its client's next request.
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
		t.Errorf("closed as %v after %v; want it open, as it was used before", got.Reason, got.IdleTime)
	}
}
