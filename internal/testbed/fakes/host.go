// Package fakes puts the model of package hostmodel behind real sockets: hosts that speak the
// platform's protocol, the discovery that lists them, clients that send the requests of an
// experiment's plan, and the configuration of a router between them. All of it runs on loopback
// addresses. What a host does is decided by its model; this package only carries it.
package fakes

import (
	"net"
	"net/http"
	"sync"
	"time"

	"reachspread/internal/protocol"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/hostmodel"
)

// maxBufferedResults bounds the results of one attempt that wait for a slow reader; one that is
// further behind loses its connection.
const maxBufferedResults = 1 << 12

// bodyTimeout is how long a request's body may take.
const bodyTimeout = 10 * time.Second

// idleTimer is the first setting of a host's timer, which each step of the model sets anew.
const idleTimer = time.Hour

// Host is a model host on a socket. It owns its server's goroutines until Close.
type Host struct {
	ID, Addr string

	mu             sync.Mutex
	model          *hostmodel.Host
	start          time.Time
	timer          *time.Timer
	attempts       map[string]chan hostmodel.Result // by request id
	server         *http.Server
	conns          map[net.Conn]bool // those that the model counts
	probes         int
	listener       net.Listener
	misbehavior    faults.Kind     // what its sockets do beside the model
	misbehaviorEnd chan struct{}   // closed when that ends
	refusing       bool            // accepts no new connection
	kills          int             // faults that have killed it; only their player reads it
	observer       func(HostEvent) // may be nil
	checkToken     TokenCheck      // nil where no request has a fencing token
}

// HostEventKind says what happened at a host.
type HostEventKind int

// The kinds.
const (
	RequestReceived HostEventKind = iota // a request's last byte has come
	RequestDone                          // the host has ended a request, with whatever outcome
	Collapsed                            // too much load during its slow start killed the host
)

// HostEvent is one thing that happened at a host. Conn is the other end of the request's
// connection.
type HostEvent struct {
	Kind     HostEventKind
	ID, Conn string
}

// Observe has a function called with each event from now on. It must not block, nor call the host.
func (h *Host) Observe(observer func(HostEvent)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observer = observer
}

// observe reports an event. The lock is held.
func (h *Host) observe(kind HostEventKind, id, conn string) {
	if h.observer != nil {
		h.observer(HostEvent{kind, id, conn})
	}
}

// NewHost starts a host at an address, which may end with port 0. The error is that of listening.
func NewHost(id, addr string, c hostmodel.Config, seed uint64) (*Host, error) {
	h := &Host{
		ID:       id,
		Addr:     addr,
		model:    hostmodel.New(c, seed),
		start:    time.Now(),
		attempts: map[string]chan hostmodel.Result{},
	}
	h.timer = time.AfterFunc(idleTimer, h.stepTime)
	return h, h.listen()
}

// listen begins to serve at the host's address.
func (h *Host) listen() error {
	ln, err := net.Listen("tcp", h.Addr)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener, h.conns, h.refusing = ln, map[net.Conn]bool{}, false
	if addr := ln.Addr().String(); addr != h.Addr {
		h.Addr = addr // only at the first start: others read it without the lock
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathCompletions, h.handleCompletion)
	mux.HandleFunc("GET "+protocol.PathLoad, h.handleLoad)
	mux.HandleFunc("GET /-/healthy", h.handleLoad)
	h.server = &http.Server{Handler: mux, ConnState: h.trackConnection, ReadTimeout: bodyTimeout}
	go h.server.Serve(ln) // until Kill
	return nil
}

// step gives the model an event and passes its results to the attempts that wait for them. The lock
// is held.
func (h *Host) step(e hostmodel.Event) []hostmodel.Result {
	now := time.Since(h.start)
	results := h.model.Step(now, e)
	for _, r := range results {
		h.deliver(r)
	}
	if at, ok := h.model.Next(); ok {
		h.timer.Reset(max(at-time.Since(h.start), 0))
	}
	return results
}

// deliver passes a result to its attempt. One whose reader is too far behind sees its channel
// closed. The lock is held.
func (h *Host) deliver(r hostmodel.Result) {
	if r.Kind == hostmodel.Overloaded {
		h.observe(Collapsed, "", "")
	}
	results := h.attempts[r.ID]
	if results == nil || r.Kind == hostmodel.Preempted {
		return
	}
	select {
	case results <- r:
	default:
		close(results)
		delete(h.attempts, r.ID)
	}
}

// stepTime gives the model the time that it waits for.
func (h *Host) stepTime() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.step(hostmodel.TimePassed{})
}

// trackConnection gives the model each connection's beginning and end. One that the model's table
// has no capacity for is closed.
func (h *Host) trackConnection(c net.Conn, s http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch s {
	case http.StateNew:
		for _, r := range h.step(hostmodel.Connect{}) {
			if r.Kind == hostmodel.TableFull {
				c.Close()
				return
			}
		}
		h.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		if h.conns[c] {
			delete(h.conns, c)
			h.step(hostmodel.Disconnect{})
		}
	}
}

// Step gives the model an event, such as the begin of a drain or a new speed.
func (h *Host) Step(e hostmodel.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.step(e)
}

// Stats returns the model's state.
func (h *Host) Stats() hostmodel.Stats {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model.Stats(time.Since(h.start))
}

// Kill ends the host's process: connections are reset, new ones refused.
func (h *Host) Kill() {
	h.mu.Lock()
	h.step(hostmodel.Crash{})
	for c := range h.conns {
		resetOnClose(c)
	}
	clear(h.conns)
	server, ln := h.server, h.listener
	h.mu.Unlock()
	server.Close()
	ln.Close() // a server that has only just begun does not know it yet
}

// resetOnClose has the close of a connection send a reset instead of an orderly end.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// Start starts a killed host at its address, with an empty cache and in slow start. The error is
// that of listening.
func (h *Host) Start() error {
	h.mu.Lock()
	h.step(hostmodel.Start{})
	h.mu.Unlock()
	return h.listen()
}

// Close ends the host for good.
func (h *Host) Close() {
	h.Kill()
	h.timer.Stop()
}
