package node

import (
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// holdingHost is a model host that holds its only request until the test lets it answer or stops
// it.
type holdingHost struct {
	received chan struct{} // closed once the host has the request
	answer   chan struct{}
	stopped  chan struct{}
}

// startHoldingHost starts a holdingHost for a fleet of one router. When it returns, the router is
// ready to send requests to the host.
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
	f.eventually("the router is ready", func() bool { return f.ready(0) })
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
	w.Header().Set("Request-Id", r.Header.Get("Request-Id")) // every answer of a host repeats the request's ID
	w.Write([]byte("late"))
}

// heldAnswer is the answer that the client finally receives.
type heldAnswer struct {
	status int
	text   string
}

// sendRequest sends a request to the host through the router and waits until the host has it. The
// answer arrives on the returned channel.
func (h *holdingHost) sendRequest(f *testFleet) <-chan heldAnswer {
	answered := make(chan heldAnswer, 1)
	go func() {
		status, text := f.request(0, "/a", "q", "k")
		answered <- heldAnswer{status, text}
	}()
	<-h.received
	return answered
}
