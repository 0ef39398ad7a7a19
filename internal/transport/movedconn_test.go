package transport

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"reachspread/internal/routing"
	"reachspread/internal/testbed/scripted"
)

// movedStream has a receiver go on with a stream of another process, up to before its end, and
// returns its client, the conn of that client and a function that ends the stream.
func movedStream(t *testing.T, front *Front) (r *Receiver, client net.Conn, conn *pausedConn, end func()) {
	t.Helper()
	r = &Receiver{front: front, servers: NewServers(ServerLimits{StreamIdleTimeout: time.Minute}, make(scripted.LogLines, 10)),
		log: make(scripted.LogLines, 10), hosts: map[net.Conn]bool{}}
	clientSide, accepted := pair(t)
	host, server := pair(t)
	conn = &pausedConn{TCPConn: accepted}
	r.activeStreams.Add(1)
	go r.continueStream(movedConn{Stream: true, Class: "chat", Server: &routing.Server{ID: "s0"}}, conn, host)
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
