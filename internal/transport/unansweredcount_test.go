package transport

import (
	"io"
	"strings"
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// Guards against lost requests that are not counted as unanswered because an answer that could not
// be written, or an interim answer, counted as an answer.
func TestRequestWithoutAnswerIsCounted(t *testing.T) {
	text := scripted.RequestText("q", "")
	expects := scripted.RequestText("q", "Expect: 100-continue\r\n")
	for _, test := range []struct {
		name, text string
		interim    string // read by the client first
	}{
		{"answer could not be written", text, ""},
		{"interim answer only", strings.TrimSuffix(expects, "}"), "HTTP/1.1 100 Continue\r\n\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			closed := make(chan ConnectionClosed, 4)
			limits := oneConnection
			limits.OnClose = func(c ConnectionClosed) { closed <- c }
			front, _ := newRoutedFront(t, limits, scripted.Answer(scripted.CompleteAnswer()))
			client, accepted := pair(t)
			point := newPausePoint()
			client.Write([]byte(test.text))
			awaitUnread(t, accepted, len(test.text))
			if test.interim == "" {
				front.intake = &pausedIntake{Intake: front.intake, head: point.pause}
			}
			front.adopt(accepted, nil, false)
			if test.interim == "" {
				scripted.Receive(t, point.reached, "the request")
			}
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

// Guards against a process that exits while it has read only part of a request and the rest waits
// in the socket. The client has written all of the request, so an answer is due.
func TestAnswerIsDueToRequestThatHasCome(t *testing.T) {
	front, _ := newRoutedFront(t, oneConnection, scripted.Answer(scripted.CompleteAnswer()))
	client, accepted := pair(t)
	point := newPausePoint()
	text := longRequest(20 << 10)
	client.Write([]byte(text))
	awaitUnread(t, accepted, len(text))
	front.adopt(&pausedConn{TCPConn: accepted, beforeRest: point.pause}, nil, false)
	scripted.Receive(t, point.reached, "the pause")
	if n := front.AnswersDue(); n != 1 {
		t.Errorf("AnswersDue returned %d; want 1", n)
	}
	close(point.resume)
	wantAnswer(t, client)
	scripted.AwaitCondition(t, "the count of the answer", func() bool { return front.AnswersDue() == 0 })
}
