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

// maxUnreadCalls bounds the calls of a discovery that a test has not read yet.
const maxUnreadCalls = 100

// Discovery answers each read with its full list, and each watch with what the test sends next.
type Discovery struct {
	Addr  string
	Calls chan string // the URIs asked for, in their order

	server   *http.Server
	mu       sync.Mutex
	fullList string
	updates  chan string
}

// NewDiscovery starts a discovery with a full list until the end of the test.
func NewDiscovery(t testing.TB, fullList string) *Discovery {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ServeDiscovery(t, ln, fullList)
}

// ServeDiscovery starts a discovery on a listener, which it owns from now on.
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

// Stop ends the server and all its connections.
func (d *Discovery) Stop() { d.server.Close() }

// Send answers the watch that waits, or the next one. The test fails if there is none in time.
func (d *Discovery) Send(t testing.TB, text string) {
	t.Helper()
	select {
	case d.updates <- text:
	case <-time.After(EventTimeout):
		t.Fatal("nobody watches discovery")
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

// ListEntry is a listed server in discovery's form.
func ListEntry(id, addr, state string) string {
	return fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"a","kind":"k","state":%q}`, id, addr, state)
}

// List is a list in discovery's form.
func List(version int, full bool, entries ...string) string {
	return fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`, version, full, strings.Join(entries, ","))
}
