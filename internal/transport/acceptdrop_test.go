package transport

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"reachspread/internal/admission"
)

// Guards against dropping a request that the listener has read from the socket. A request that
// admission's own parser does not accept, such as one for another path, must still count as a request.
func TestRequestReadByListenerIsAnswered(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(&FrontLimits{Admission: admission.Config{MaxConnections: 20, MaxOverflow: 4, EvictFromLargest: true, MinRetryAfter: time.Second,
		PerAddress: admission.ClientLimit{ConnectionsPerSecond: 1}, IdleTimeout: [3]time.Duration{time.Second, time.Second, time.Second}}})
	if err := l.listen(ln, false); err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for i := range 2 {
		client := dial(t, ln.Addr().String(), readyText)
		fd, from, err := l.accept()
		if err != nil {
			t.Fatal(err)
		}
		if c := l.admitOpened(fd, from); c != nil {
			defer c.Close()
			continue
		}
		if got, err := io.ReadAll(client); !strings.HasPrefix(string(got), "HTTP/1.1 429 ") {
			t.Errorf("client %d got %q, %v; want a rejection", i, got, err)
		}
	}
}
