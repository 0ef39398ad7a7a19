package transport

import (
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// Guards against a reset of a request that arrived before its connection was evicted, but that the
// connection's goroutine had not read yet.
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
