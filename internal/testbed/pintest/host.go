// Package pintest plays version pins on a fleet of routers, in one process or many: stand-in hosts that roll their weights and may lie, clients
// on each router, and a judge of all answers. It reaches routers by their addresses alone.
package pintest

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"reachspread/internal/protocol"
)

// Model and Service are those of all hosts.
const (
	Model   = "m"
	Service = "s"
)

// Host is a stand-in for a host of one model. It heeds Expect-Version.
type Host struct {
	ID         string
	Version    atomic.Int64 // of its weights
	Registered atomic.Int64 // that it tells of

	listener net.Listener
	server   *http.Server
	closed   atomic.Bool
	sequence atomic.Int64
	mu       sync.Mutex
	ran      map[string]int // by request
}

// NewHost starts a host on a free port of the loopback.
func NewHost(id string, version int64) (*Host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{ID: id, listener: listener, ran: map[string]int{}}
	h.Version.Store(version)
	h.Registered.Store(version)
	h.server = &http.Server{Handler: h}
	go h.server.Serve(listener)
	return h, nil
}

// Close ends the host and its connections.
func (h *Host) Close() {
	h.closed.Store(true)
	h.server.Close()
}

// ServeHTTP implements http.Handler.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id, version := r.Header.Get(protocol.HeaderRequestID), h.Version.Load()
	w.Header().Set(protocol.HeaderRequestID, id)
	if want := r.Header.Get(protocol.HeaderExpectVersion); want != "" && want != fmt.Sprint(version) {
		w.Header().Set(protocol.HeaderNotExecuted, "true")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.mu.Lock()
	h.ran[id]++
	h.mu.Unlock()
	w.Header().Set(protocol.HeaderSeal, "seal")
	w.Header().Set(protocol.HeaderVersions, fmt.Sprint(version))
	io.WriteString(w, answerText(version, id))
}

// answerText is the body of a host's answer.
func answerText(version int64, id string) string { return fmt.Sprintf("%d by %s", version, id) }

// runs are how often each request ran here.
func (h *Host) runs() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.ran)
}

// registration is the body of the host's next call to the control plane.
func (h *Host) registration(zone string) []byte {
	type model struct {
		Name    string `json:"name"`
		Version int64  `json:"version"`
	}
	text, _ := json.Marshal(struct {
		Service  string  `json:"service"`
		Address  string  `json:"address"`
		Zone     string  `json:"zone"`
		State    string  `json:"state"`
		Sequence int64   `json:"sequence"`
		Models   []model `json:"models"`
	}{Service, h.listener.Addr().String(), zone, "ready", h.sequence.Add(1), []model{{Model, h.Registered.Load()}}})
	return text
}
