// Package pintest tests version pins on a fleet of routers, which may run in one process or in
// many. It provides fake hosts, clients that send requests to each router, and a check of all
// answers. A fake host can change the version of its weights, and can register a version other than
// the one it serves. The package reaches routers only through their addresses.
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

// Model and Service are the model and the service of all hosts.
const (
	Model   = "m"
	Service = "s"
)

// Host is a fake host of one model. It refuses a request whose Expect-Version header names another
// version than the host's.
type Host struct {
	ID         string
	Version    atomic.Int64 // of the weights that the host serves
	Registered atomic.Int64 // the version that the host registers

	listener   net.Listener
	server     *http.Server
	closed     atomic.Bool
	sequence   atomic.Int64
	mu         sync.Mutex
	executions map[string]int // number of executions by request ID
}

// NewHost starts a host on a free loopback port. The host serves until Close.
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

// Close stops the host and closes its connections.
func (h *Host) Close() {
	h.closed.Store(true)
	h.server.Close()
}

// ServeHTTP executes a request and answers with the version and the request ID. It answers with
// status 421, without execution, if the request expects another version.
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

// answerText returns the body of a host's answer.
func answerText(version int64, id string) string { return fmt.Sprintf("%d by %s", version, id) }

// executionCounts returns how often this host executed each request, by request ID.
func (h *Host) executionCounts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.executions)
}

// registration is the body of a host's heartbeat to the control plane.
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

// registration returns the body of the host's next heartbeat.
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
		panic(fmt.Sprintf("encode a registration as JSON: %v", err))
	}
	return text
}
