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
	drainFor          = 2200 * time.Millisecond // a leaving host serves on
	heartbeatInterval = heartbeatMs * time.Millisecond
	hostSlots         = 64
	eventInterval     = 25 * time.Millisecond // between two events of a stream
	askHeader         = "X-Work"              // how long the host is to work, in ms, or how many events it is to send
)

// hosts are stand-ins for hosts of one service, which count what they ran.
type hosts struct {
	play *play
	stop chan struct{}

	mu     sync.Mutex
	all    []*host
	number int
	ran    map[string]int // by request
}

// host is one life of one.
type host struct {
	of       *hosts
	id       string
	listener net.Listener
	server   *http.Server
	sequence int
	leaving  bool
}

func newHosts(p *play) *hosts {
	return &hosts{play: p, stop: make(chan struct{}), ran: map[string]int{}}
}

// add starts a host.
func (h *hosts) add() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.number++
	x := &host{of: h, id: fmt.Sprint("i-", h.number), listener: listener}
	x.server = &http.Server{Handler: x}
	go x.server.Serve(listener)
	h.all = append(h.all, x)
	return nil
}

func (h *hosts) close() {
	close(h.stop)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, x := range h.all {
		x.server.Close()
	}
}

// heartbeats has all hosts tell of themselves until the play ends.
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

// leave has the oldest host say that it leaves, serve on, and end; another one begins first.
func (h *hosts) leave(ctx context.Context) {
	if h.add() != nil {
		return
	}
	h.mu.Lock()
	x := h.all[0]
	x.leaving = true
	h.mu.Unlock()
	for attempt := 0; !x.call(ctx, http.MethodPut, x.registration(), attempt); attempt++ {
		if attempt > 4*h.play.fleet.Len() || !sleep(ctx, 50*time.Millisecond) {
			break
		}
	}
	sleep(ctx, drainFor)
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

// runs are how often each request ran.
func (h *hosts) runs() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.ran)
}

func (x *host) registration() []byte {
	x.of.mu.Lock()
	defer x.of.mu.Unlock()
	x.sequence++
	state := "ready"
	if x.leaving {
		state = "draining"
	}
	text, _ := json.Marshal(map[string]any{"service": service, "address": x.listener.Addr().String(), "zone": "z0", "state": state, "slots": hostSlots,
		"sequence": x.sequence})
	return text
}

// call calls the control plane of a router; ok says that it was acknowledged.
func (x *host) call(ctx context.Context, method string, body []byte, router int) (ok bool) {
	f := x.of.play.fleet
	code, _ := callControl(ctx, f.Control(router%f.Len()), method, "/instances/"+x.id, body, "")
	return code == http.StatusOK
}

// ServeHTTP works as long as the request says, or streams as many events.
func (x *host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body)
	id := r.Header.Get(protocol.HeaderRequestID)
	x.of.mu.Lock()
	x.of.ran[id]++
	x.of.mu.Unlock()
	work, _ := strconv.Atoi(r.Header.Get(askHeader))
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

// sleep waits; false where ctx ended first.
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
