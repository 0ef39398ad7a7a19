package transport

import (
	"io"
	"strings"
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// Guards against requests that are lost and not counted as unanswered: an answer that could not be
// written, and an interim one, counted as answers.
func TestRequestWithoutAnswerIsCounted(t *testing.T) {
	text := scripted.RequestText("q", "")
	expects := scripted.RequestText("q", "Expect: 100-continue\r\n")
	for _, test := range []struct {
		name, text string
		interim    string // read by the client before
	}{
		{"its answer could not be written", text, ""},
		{"it had an interim answer", strings.TrimSuffix(expects, "}"), "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			closed := make(chan ConnectionClosed, 4)
			limits := oneConnection
			limits.OnClose = func(c ConnectionClosed) { closed <- c }
			front, _ := newRoutedFront(t, limits, scripted.Answer(scripted.CompleteAnswer()))
			client, accepted := pair(t)
			point := newPausePoint()
			if test.interim != "" {
				close(point.resume)
			}
			client.Write([]byte(test.text))
			awaitUnread(t, accepted, len(test.text))
			front.adopt(&pausedConn{TCPConn: accepted, afterRead: point.pause}, nil, false)
			scripted.Receive(t, point.reached, "the read")
			client.SetDeadline(time.Now().Add(scripted.EventTimeout))
			if n, err := io.ReadFull(client, make([]byte, len(test.interim))); err != nil {
				t.Fatal(n, err)
			}
			accepted.Close()
			if test.interim == "" {
				close(point.resume)
			}
			n, _ := client.Read(make([]byte, 1))
			got := scripted.Receive(t, closed, "the end of the connection")
			if got.Unanswered != (n == 0) {
				t.Errorf("got %+v; its client read %d bytes of a final answer", got, n)
			}
		})
	}
}
