package transport

import (
	"net"
	"testing"

	"reachspread/internal/admission"
	"reachspread/internal/testbed/scripted"
)

// The metrics state why each client connection was closed. Without the reason, a close that merely
// crossed a request could not be told from a close that lost the request.
func TestClosedConnectionsAreCountedByReason(t *testing.T) {
	const ready = "GET /-/ready HTTP/1.1\r\nHost: r\r\n\r\n"
	for _, test := range []struct {
		name, text string
		limits     admission.Config
		end        func(front *Front, client net.Conn, addr string)
		want       CloseReason
	}{
		{name: "no request", want: ClosedUnused},
		{name: "client left", want: ClosedByClient, end: func(_ *Front, c net.Conn, _ string) { c.Close() }},
		{name: "malformed request", text: "nonsense\r\n\r\n", want: ClosedAfterAnswer},
		{name: "idle while the router drains", text: ready, want: ClosedDraining,
			end: func(f *Front, _ net.Conn, _ string) { f.listener.closeUntilEmpty(func() { f.CloseIdle(0) }) }},
		{name: "another client came", text: ready, want: ClosedEvicted, limits: admission.Config{MaxConnections: 1},
			end: func(_ *Front, _ net.Conn, addr string) { dial(t, addr, ready) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			if test.limits.MaxConnections == 0 {
				test.limits.MaxConnections = 2
			}
			closed := make(chan ConnectionClosed, 4)
			front, addr := newServedFront(t, FrontLimits{Admission: test.limits, OnClose: func(c ConnectionClosed) { closed <- c }})
			client := dial(t, addr, test.text)
			if test.text != "" {
				client.Read(make([]byte, 1<<10)) // wait for the answer
			}
			if test.end != nil {
				test.end(front, client, addr)
			}
			got := scripted.Receive(t, closed, "the end of the connection")
			if got.Reason != test.want || got.Unanswered || got.Client.String() != client.LocalAddr().String() {
				t.Errorf("closed with %+v; want reason %v for client %v", got, test.want, client.LocalAddr())
			}
			if counts := front.ClosedConnections()[test.want]; counts != (CloseCounts{Reason: test.want, Closed: 1}) {
				t.Errorf("counts are %+v; want 1 close", counts)
			}
		})
	}
}
