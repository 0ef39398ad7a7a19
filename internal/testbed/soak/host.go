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
	drainTime         = 2200 * time.Millisecond // a draining host serves on
	heartbeatInterval = heartbeatMs * time.Millisecond
	hostSlots         = 64
	eventInterval     = 25 * time.Millisecond // between two events of a stream
	workHeader        = "X-Work"              // how long the host is to work, in ms, or how many events it is to send
)

// hosts are fake hosts of one service, which count how often they executed each request.
type hosts struct {
	soak *soakRun
	stop chan struct{}

	mu         sync.Mutex
	all        []*host
	lastNumber int
	executions map[string]int // by request id
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
	go x.server.Serve(listener) // until close or drainOldest
	h.all = append(h.all, x)
	return nil
}

// close ends all hosts.
func (h *hosts) close() {
	close(h.stop)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.all {
		x.server.Close()
	}
}

// heartbeats has all hosts register at routers by turns until ctx or the hosts end.
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

// drainOldest starts a host, has the oldest one announce that it drains, serve on for drainTime,
// and end.
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

// executionCounts are how often each request was executed, by its id.
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

// registration is the body of the host's next heartbeat.
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
		panic(fmt.Sprintf("a registration that JSON lacks: %v", err))
	}
	return text
}

// call calls the control plane of a router; ok is set if it was acknowledged.
func (x *host) call(ctx context.Context, method string, body []byte, router int) (ok bool) {
	f := x.hosts.soak.fleet
	code, _ := callControl(ctx, f.Control(router%f.Len()), method, "/instances/"+x.id, body, "")
	return code == http.StatusOK
}

// ServeHTTP works as long as the request says, or streams as many events.
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

// sleep waits for a time and reports false if ctx ended first.
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
