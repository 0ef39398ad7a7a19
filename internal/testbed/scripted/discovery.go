package scripted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// maxUnreadCalls is the capacity of Discovery.Calls.
const maxUnreadCalls = 100

// Discovery is a scripted discovery server. It answers each read with its full list and each watch
// with the next text that the test passes to Send.
type Discovery struct {
	Addr  string
	Calls chan string // the request URIs, in the order of the requests

	server   *http.Server
	mu       sync.Mutex
	fullList string
	updates  chan string
}

// NewDiscovery starts a discovery server with a full list. The server stops at the end of the test.
func NewDiscovery(t testing.TB, fullList string) *Discovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ServeDiscovery(t, ln, fullList)
}

// ServeDiscovery starts a discovery server on a listener. The server owns the listener from then on
// and stops at the end of the test.
func ServeDiscovery(t testing.TB, ln net.Listener, fullList string) *Discovery {
	d := &Discovery{
		Addr:     ln.Addr().String(),
		Calls:    make(chan string, maxUnreadCalls),
		fullList: fullList,
		updates:  make(chan string),
	}
	d.server = &http.Server{Handler: d}
	t.Cleanup(d.Stop)
	go d.server.Serve(ln) // until Stop
	return d
}

// Stop stops the server and closes all its connections.
func (d *Discovery) Stop() { d.server.Close() }

// Send answers the waiting watch or, if there is none, the next one. The test fails if no watch
// arrives within EventTimeout.
func (d *Discovery) Send(t testing.TB, text string) {
	t.Helper()
	select {
	case d.updates <- text:
	case <-time.After(EventTimeout):
		t.Fatal("timed out waiting for a watch of discovery")
	}
}

// ServeHTTP implements http.Handler.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.Calls <- r.RequestURI
	if r.URL.RawQuery == "" {
		d.mu.Lock()
		defer d.mu.Unlock()
		io.WriteString(w, d.fullList)
		return
	}
	select {
	case text := <-d.updates:
		io.WriteString(w, text)
	case <-r.Context().Done():
	}
}

// ListEntry returns the entry of a server in discovery's JSON format.
func ListEntry(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"k","state":%q}`, id, addr, state)
}

// List returns a list of entries in discovery's JSON format.
func List(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}
