// Package fakes runs the host model of package hostmodel behind real sockets. It has hosts that speak
// the platform's protocol, the discovery service that lists them, clients that send the requests of
// an experiment's plan, and the configuration of a router between them. Everything runs on loopback
// addresses. The model decides how a host behaves; this package only connects the model to sockets.
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

// maxBufferedResults bounds the buffered model results of one attempt. If the reader of the answer
// falls further behind, the host resets its connection.
const maxBufferedResults = 1 << 12

// bodyTimeout bounds the time to receive a request, including its body.
const bodyTimeout = 10 * time.Second

// idleTimer is the initial delay of a host's timer. Steps of the model reset the timer.
const idleTimer = time.Hour

// Host serves a model host on a socket. It owns its server's goroutines until Close.
type Host struct {
	ID, Addr string

	mu             sync.Mutex
	model          *hostmodel.Host
	start          time.Time
	timer          *time.Timer
	attempts       map[string]chan hostmodel.Result // by request id
	server         *http.Server
	conns          map[net.Conn]bool // connections that the model counts
	probes         int
	listener       net.Listener
	misbehavior    faults.Kind     // active fault of the host's sockets, which the model does not know
	misbehaviorEnd chan struct{}   // closed when misbehavior ends
	refusing       bool            // the host accepts no new connections
	kills          int             // active faults that keep the host killed
	observer       func(HostEvent) // may be nil
	checkToken     TokenCheck      // nil if fencing tokens are not checked
}

// HostEventKind is a kind of event at a host.
type HostEventKind int

// The kinds.
const (
	RequestReceived HostEventKind = iota // the last byte of a request has arrived
	RequestDone                          // the host has ended a request, whatever its outcome
	Collapsed                            // too much load during slow start has killed the host
)

// HostEvent is an event at a host. ID is the request's id and Conn the peer address of its
// connection.
type HostEvent struct {
	Kind     HostEventKind
	ID, Conn string
}

// Observe sets a function that is called with each later event. The function must not block and must
// not call the host.
func (h *Host) Observe(observer func(HostEvent)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observer = observer
}

// observe reports an event to the observer. The caller holds the lock.
func (h *Host) observe(kind HostEventKind, id, conn string) {
	if h.observer != nil {
		h.observer(HostEvent{kind, id, conn})
	}
}

// NewHost starts a host at an address, whose port may be 0. It returns an error if it can't listen
// there.
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

// listen starts the server at the host's address.
func (h *Host) listen() error {
	ln, err := net.Listen("tcp", h.Addr)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listener, h.conns, h.refusing = ln, map[net.Conn]bool{}, false
	if addr := ln.Addr().String(); addr != h.Addr {
		h.Addr = addr // changes only at the first start, because callers read it without the lock
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathCompletions, h.handleCompletion)
	mux.HandleFunc("GET "+protocol.PathLoad, h.handleLoad)
	mux.HandleFunc("GET /-/healthy", h.handleLoad)
	h.server = &http.Server{Handler: mux, ConnState: h.trackConnection, ReadTimeout: bodyTimeout}
	go h.server.Serve(ln) // until Kill
	return nil
}

// step gives the model an event and passes the results to the attempts that wait for them. The
// caller holds the lock.
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

// deliver passes a result to its attempt. If the attempt's reader is too far behind, deliver closes
// the attempt's channel instead. The caller holds the lock.
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

// stepTime tells the model that time has passed. The host's timer calls it at the time at which the
// model next changes.
func (h *Host) stepTime() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.step(hostmodel.TimePassed{})
}

// trackConnection reports the start and end of each connection to the model. It closes a new
// connection if the model's connection table is full.
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

// Step gives the model an event, such as the start of a drain or a new speed.
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

// Kill simulates the death of the host's process: it resets all connections and refuses new ones.
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
	ln.Close() // server.Close misses the listener if Serve has not registered it yet
}

// resetOnClose makes the close of a connection send a reset instead of an orderly end.
func resetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
}

// Start starts a killed host at its address, with an empty cache and in slow start. It returns an
// error if the host can't listen.
func (h *Host) Start() error {
	h.mu.Lock()
	h.step(hostmodel.Start{})
	h.mu.Unlock()
	return h.listen()
}

// Close ends the host permanently.
func (h *Host) Close() {
	h.Kill()
	h.timer.Stop()
}
