package transport

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"reachspread/internal/admission"
	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// movedStream has a receiver go on with a stream of another process, up to before its end, and
// returns its client, the conn of that client and a function that ends the stream.
func movedStream(t *testing.T, front *Front) (r *Receiver, client net.Conn, conn *pausedConn, end func()) {
	t.Helper()
	r = &Receiver{front: front, servers: NewServers(ServerLimits{StreamIdleTimeout: time.Minute}, make(scripted.LogLines, 10)),
		log: make(scripted.LogLines, 10), serverConns: map[net.Conn]bool{}}
	clientSide, accepted := pair(t)
	serverConn, server := pair(t)
	conn = &pausedConn{TCPConn: accepted}
	r.activeStreams.Add(1)
	go r.continueStream(movedConn{Stream: true, Class: "chat", Server: &routing.Server{ID: "s0"}}, conn, serverConn)
	return r, clientSide, conn, func() { io.WriteString(server, scripted.Chunk(scripted.Done)+scripted.End) }
}

// awaitStreamEnd reads a stream of another process to its end.
func awaitStreamEnd(t *testing.T, client net.Conn) {
	t.Helper()
	client.SetDeadline(time.Now().Add(scripted.EventTimeout))
	var got strings.Builder
	in := bufio.NewReader(client)
	for !strings.HasSuffix(got.String(), scripted.End) {
		b, err := in.ReadByte()
		if err != nil {
			t.Fatal(err)
		}
		got.WriteByte(b)
	}
}

// readNextRequestBehindStream has the write that ends a stream return only once the client's next
// request has come, and its first byte was read with the stream's end.
func readNextRequestBehindStream(t *testing.T, conn *pausedConn, request string) {
	var streamEnded sync.Once
	conn.afterWrite = func([]byte) {
		streamEnded.Do(func() { awaitUnread(t, conn.TCPConn, len(request)-1) })
	}
}

// Guards against the next request of a client whose stream was moved: its first byte was read with
// the stream's end, and the connection closed as there was no room for it.
func TestRequestBehindMovedStreamIsAnswered(t *testing.T) {
	for name, full := range map[string]bool{"room": false, "no room": true} {
		t.Run(name, func(t *testing.T) {
			limits := FrontLimits{Admission: admission.Config{MaxConnections: 1}}
			front, server := newRoutedFront(t, limits, scripted.GatedAnswer(make(chan bool)))
			if full {
				other, accepted := pair(t)
				front.adopt(accepted, nil, false)
				io.WriteString(other, scripted.RequestText("other", ""))
				scripted.Receive(t, server.Requests, "another client's attempt")
			}
			_, client, conn, end := movedStream(t, front)
			request := scripted.RequestText("q", "")
			readNextRequestBehindStream(t, conn, request)
			end()
			awaitStreamEnd(t, client)
			io.WriteString(client, request)
			wantAnswer(t, client)
		})
	}
}
