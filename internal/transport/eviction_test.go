package transport

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// Guards against a request that was read but not answered: its goroutine was descheduled, and its
// connection was evicted as idle meanwhile.
func TestRequestThatWasReadIsAnsweredDespiteEviction(t *testing.T) {
	for _, test := range []struct {
		name, text string
		pause      func(*Front, *pausedConn, func())
	}{
		{"before admission is informed of the request", scripted.RequestText("q", ""), func(_ *Front, c *pausedConn, pause func()) {
			c.afterRead = pause
		}},
		{"before admission decides on the request", scripted.RequestText("q", ""), func(f *Front, _ *pausedConn, pause func()) {
			f.intake = &pausedIntake{Intake: f.intake, head: pause}
		}},
		{"while the rest of its body is read", longRequest(20 << 10), func(_ *Front, c *pausedConn, pause func()) {
			c.beforeRest = pause
		}},
		{"while the router itself answers", readyText, func(f *Front, _ *pausedConn, pause func()) {
			f.intake = &pausedIntake{Intake: f.intake, local: pause}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			front, _ := newRoutedFront(t, oneConnection, scripted.Answer(scripted.CompleteAnswer()))
			client, accepted := pair(t)
			conn, point := &pausedConn{TCPConn: accepted}, newPausePoint()
			test.pause(front, conn, point.pause)
			client.Write([]byte(test.text))
			awaitUnread(t, accepted, len(test.text))
			front.adopt(conn, nil, false)
			scripted.Receive(t, point.reached, "the pause")
			passTime(front.listener, time.Second)
			_, other := pair(t)
			front.adopt(other, nil, false) // admission decides whether this connection gets a place
			close(point.resume)
			wantAnswer(t, client)
		})
	}
}

// Guards against the eviction of a request whose body arrived after its head. Another client's
// connection caused the eviction after the last byte was read and before admission was informed.
func TestRequestIsNotEvictedAsItsLastByteIsRead(t *testing.T) {
	front, _ := newRoutedFront(t, oneConnection, scripted.Answer(scripted.CompleteAnswer()))
	client, accepted := pair(t)
	conn := &pausedConn{TCPConn: accepted}
	head, body, _ := strings.Cut(scripted.RequestText("q", ""), "\r\n\r\n")
	client.Write([]byte(head + "\r\n\r\n"))
	awaitUnread(t, accepted, len(head)+4)
	front.adopt(conn, nil, false)
	awaitUnread(t, accepted, 0)
	passTime(front.listener, time.Second)
	_, other := pair(t)
	var once sync.Once
	otherComes := func() {
		once.Do(func() {
			adopted := make(chan error, 1)
			go func() { adopted <- front.adopt(other, nil, false) }()
			select {
			case <-adopted:
			case <-time.After(100 * time.Millisecond): // the eviction has to wait until admission is informed
			}
		})
	}
	conn.afterBody.Store(&otherComes)
	client.Write([]byte(body))
	wantAnswer(t, client)
}

// longRequest returns a request whose body is followed by the given number of spaces.
func longRequest(spaces int) string {
	head, body, _ := strings.Cut(scripted.RequestText("q", ""), "\r\n\r\n")
	length := fmt.Sprint("Content-Length: ", len(body))
	return strings.Replace(head, length, fmt.Sprint("Content-Length: ", len(body)+spaces), 1) + "\r\n\r\n" + body + strings.Repeat(" ", spaces)
}
