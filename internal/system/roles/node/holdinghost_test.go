package node

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// holdingHost is a host that holds its one request until it is told to answer, or to end.
type holdingHost struct {
	received chan struct{} // closed once it has the request
	answer   chan struct{}
	stopped  chan struct{}
}

// startHoldingHost starts one of a fleet of one router, which is ready for it when this returns.
func startHoldingHost(t *testing.T, f *testFleet) *holdingHost {
	t.Helper()
	is := is.New(t)
	is.Equal(f.changeConfiguration(http.MethodPut, firstConfiguration, 0, 0), 200)
	h := &holdingHost{received: make(chan struct{}), answer: make(chan struct{}), stopped: make(chan struct{})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() {
		close(h.stopped)
		ln.Close()
	})
	go http.Serve(ln, h)
	status, _ := f.heartbeat(0, "i-1", "s", ln.Addr().String(), "ready", 1)
	is.Equal(status, 200)
	f.eventually("it is ready", func() bool { return f.ready(0) })
	return h
}

// ServeHTTP implements http.Handler.
func (h *holdingHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	close(h.received)
	select {
	case <-h.answer:
	case <-h.stopped:
		return
	}
	w.Header().Set("Response-Seal", "seal")
	w.Header().Set("Request-Id", r.Header.Get("Request-Id")) // as each answer of a host has it
	w.Write([]byte("late"))
}

// heldAnswer is what a client gets in the end.
type heldAnswer struct {
	status int
	text   string
}

// ask sends the host a request by the router, and returns where its answer comes, once the host has
// the request.
func (h *holdingHost) sendRequest(f *testFleet) <-chan heldAnswer {
	answered := make(chan heldAnswer, 1)
	go func() {
		status, text := f.request(0, "/a", "q", "k")
		answered <- heldAnswer{status, text}
	}()
	<-h.received
	return answered
}
