package transport

import (
	"io"
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// Guards against a request that is lost when its process exits. A moved stream ended after the last
// connection of this process was closed, and the client's next request was read after Wait had
// returned.
func TestWaitLastsUntilClientsOfMovedStreamsAreAnswered(t *testing.T) {
	front, _ := newRoutedFront(t, oneConnection, scripted.Answer(scripted.CompleteAnswer()))
	r, client, conn, end := movedStream(t, front)
	request := scripted.RequestText("q", "")
	readNextRequestBehindStream(t, conn, request)
	if err := front.Shutdown(); err != nil {
		t.Fatal(err)
	}
	waited := make(chan struct{})
	go func() {
		r.Wait()
		close(waited)
	}()
	conn.beforeClose = func() {
		select {
		case <-waited:
			t.Error("Wait returned before the client's connection was closed")
		case <-time.After(5 * drainCheckInterval):
		}
	}
	end()
	awaitStreamEnd(t, client)
	io.WriteString(client, request)
	wantAnswer(t, client)
	scripted.Receive(t, waited, "the end of Wait")
}
