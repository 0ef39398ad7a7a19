package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"reachspread/internal/protocol"
)

const (
	drainTime         = 2200 * time.Millisecond // how long a draining host still serves
	heartbeatInterval = heartbeatMs * time.Millisecond
	hostSlots         = 64
	eventInterval     = 25 * time.Millisecond // between two events of a stream
	workHeader        = "X-Work"              // request header: how long the host works, in ms, or how many events it sends
)

// hosts runs the fake hosts of one service, and counts how often they executed each request.
type hosts struct {
	soak *soakRun
	stop chan struct{}

	mu         sync.Mutex
	all        []*host
	lastNumber int
	executions map[string]int // how often each request was executed, by request id
}

// host is one incarnation of a fake host.
type host struct {
	hosts    *hosts
	id       string
	listener net.Listener
	server   *http.Server
	sequence int
	draining bool
}

func newHosts(p *soakRun) *hosts {
	return &hosts{soak: p, stop: make(chan struct{}), executions: map[string]int{}}
}

// add starts a host.
func (h *hosts) add() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastNumber++
	x := &host{hosts: h, id: fmt.Sprint("i-", h.lastNumber), listener: listener}
	x.server = &http.Server{Handler: x}
	go x.server.Serve(listener) // returns after close or drainOldest
	h.all = append(h.all, x)
	return nil
}

// close stops the heartbeats and all hosts.
func (h *hosts) close() {
	close(h.stop)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.all {
		x.server.Close()
	}
}

// heartbeats sends the registration of every host once per heartbeatInterval until close is called.
// Successive heartbeats of a host go to successive routers. Calls fail once ctx has ended.
func (h *hosts) heartbeats(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for router := 0; ; router++ {
		h.mu.Lock()
		present := append([]*host(nil), h.all...)
		h.mu.Unlock()
		for i, x := range present {
			go x.call(ctx, http.MethodPut, x.registration(), router+i)
		}
		select {
		case <-h.stop:
			return
		case <-tick.C:
		}
	}
}

// drainOldest starts a new host and drains the oldest one: that host announces that it drains, serves
// for another drainTime, and then deregisters and stops.
func (h *hosts) drainOldest(ctx context.Context) {
	if h.add() != nil {
		return
	}
	h.mu.Lock()
	x := h.all[0]
	x.draining = true
	h.mu.Unlock()
	for attempt := 0; !x.call(ctx, http.MethodPut, x.registration(), attempt); attempt++ {
		if attempt > 4*h.soak.fleet.Len() || !sleep(ctx, 50*time.Millisecond) {
			break
		}
	}
	sleep(ctx, drainTime)
	x.call(ctx, http.MethodDelete, nil, 0)
	x.server.Shutdown(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.all {
		if h.all[i] == x {
			h.all = append(h.all[:i:i], h.all[i+1:]...)
			return
		}
	}
}

// executionCounts returns how often each request was executed, by request id.
func (h *hosts) executionCounts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.executions)
}

// registration is a host's heartbeat to the control plane.
type registration struct {
	Address  string `json:"address"`
	Sequence int    `json:"sequence"`
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Zone     string `json:"zone"`
}

// registration returns the body of the host's next heartbeat.
func (x *host) registration() []byte {
	x.hosts.mu.Lock()
	defer x.hosts.mu.Unlock()
	x.sequence++
	state := "ready"
	if x.draining {
		state = "draining"
	}
	text, err := json.Marshal(registration{
		Address:  x.listener.Addr().String(),
		Sequence: x.sequence,
		Service:  service,
		Slots:    hostSlots,
		State:    state,
		Zone:     "z0",
	})
	if err != nil {
		panic(fmt.Sprintf("a host's registration can't be encoded as JSON: %v", err))
	}
	return text
}

// call sends a request about the host to the control plane of a router, and reports whether it was
// acknowledged.
func (x *host) call(ctx context.Context, method string, body []byte, router int) (ok bool) {
	f := x.hosts.soak.fleet
	code, _ := callControl(ctx, f.Control(router%f.Len()), method, "/instances/"+x.id, body, "")
	return code == http.StatusOK
}

// ServeHTTP works for as long as the request's work header says, or streams as many events as it
// says.
func (x *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get(protocol.HeaderRequestID)
	x.hosts.mu.Lock()
	x.hosts.executions[id]++
	x.hosts.mu.Unlock()
	work, _ := strconv.Atoi(r.Header.Get(workHeader))
	w.Header().Set(protocol.HeaderRequestID, id)
	w.Header().Set(protocol.HeaderSeal, "seal")
	if r.URL.Path != streamPath {
		sleep(r.Context(), time.Duration(work)*time.Millisecond)
		io.WriteString(w, completeAnswer(id))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for n := range work {
		io.WriteString(w, streamEvent(id, n))
		w.(http.Flusher).Flush()
		if !sleep(r.Context(), eventInterval) {
			return
		}
	}
}

func completeAnswer(id string) string { return "answer to " + id }

func streamEvent(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n+1, id, n) }

// sleep waits for a duration. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
