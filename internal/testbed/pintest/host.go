// Package pintest tests version pins on a fleet of routers, in one process or many: fake hosts that
// change the version of their weights and may register another one, clients on each router, and a
// judge of all answers. It reaches routers only by their addresses.
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

// Model is the model, and Service the service, of all hosts.
const (
	Model   = "m"
	Service = "s"
)

// Host is a fake host of one model. It obeys the header Expect-Version.
type Host struct {
	ID         string
	Version    atomic.Int64 // of its weights
	Registered atomic.Int64 // the version that it registers

	listener   net.Listener
	server     *http.Server
	closed     atomic.Bool
	sequence   atomic.Int64
	mu         sync.Mutex
	executions map[string]int // by request id
}

// NewHost starts a host on a free port of the loopback. It serves until Close.
func NewHost(id string, version int64) (*Host, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Host{ID: id, listener: listener, executions: map[string]int{}}
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
	h.executions[id]++
	h.mu.Unlock()
	w.Header().Set(protocol.HeaderSeal, "seal")
	w.Header().Set(protocol.HeaderVersions, fmt.Sprint(version))
	io.WriteString(w, answerText(version, id))
}

// answerText is the body of a host's answer.
func answerText(version int64, id string) string { return fmt.Sprintf("%d by %s", version, id) }

// executionCounts are how often each request was executed here, by its id.
func (h *Host) executionCounts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.executions)
}

// registration is a host's heartbeat to the control plane.
type registration struct {
	Service  string              `json:"service"`
	Address  string              `json:"address"`
	Zone     string              `json:"zone"`
	State    string              `json:"state"`
	Sequence int64               `json:"sequence"`
	Models   []registeredVersion `json:"models"`
}

type registeredVersion struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
}

// registration is the body of the host's next heartbeat.
func (h *Host) registration(zone string) []byte {
	text, err := json.Marshal(registration{
		Service:  Service,
		Address:  h.listener.Addr().String(),
		Zone:     zone,
		State:    "ready",
		Sequence: h.sequence.Add(1),
		Models:   []registeredVersion{{Name: Model, Version: h.Registered.Load()}},
	})
	if err != nil {
		panic(fmt.Sprintf("a registration that JSON lacks: %v", err))
	}
	return text
}
