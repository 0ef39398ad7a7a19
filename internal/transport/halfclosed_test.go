package transport

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// Guards against an empty answer with status 200 to a client that has closed its sending side and
// still reads. The client would take it for the answer of a server.
func TestHalfClosedClientIsNotToldOfSuccess(t *testing.T) {
	front, server := newRoutedFront(t, oneConnection, func(c net.Conn) bool {
		c.Read(make([]byte, 1))
		return false
	})
	client, accepted := pair(t)
	front.adopt(accepted, nil, false)
	client.Write([]byte(scripted.RequestText("q", "")))
	scripted.Receive(t, server.Requests, "an attempt")
	client.CloseWrite()
	client.SetDeadline(time.Now().Add(scripted.EventTimeout))
	answer, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		t.Fatalf("got %v; want an answer", err)
	}
	if answer.StatusCode == http.StatusOK {
		t.Errorf("got status 200, length %d, for a request that no server has answered", answer.ContentLength)
	}
}
