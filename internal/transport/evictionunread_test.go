package transport

import (
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// Guards against a request that is reset although it came before its connection was evicted: only
// the goroutine that reads it was late.
func TestEvictionLeavesConnectionsWithUnreadRequest(t *testing.T) {
	front, _ := newRoutedFront(t, oneConnection, scripted.Answer(scripted.CompleteAnswer()))
	client, accepted := pair(t)
	point := newPausePoint()
	front.adopt(&pausedConn{TCPConn: accepted, beforeRead: point.pause}, nil, false)
	scripted.Receive(t, point.reached, "the read")
	request := scripted.RequestText("q", "")
	client.Write([]byte(request))
	awaitUnread(t, accepted, len(request))
	passTime(front.listener, time.Second)
	_, other := pair(t)
	front.adopt(other, nil, false)
	close(point.resume)
	wantAnswer(t, client)
}
