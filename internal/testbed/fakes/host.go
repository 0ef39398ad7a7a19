// Package fakes puts the model of package fleet behind real sockets: hosts that speak the platform's protocol, the list
// of them, and clients that ask as an experiment's plan says. All of it is on loopback addresses and for trying things
// out; what a host does is the model's, here it is only carried to and fro.
package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"reachspread/internal/protocol"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/hostmodel"
)

const (
	maxBody   = 256 << 10
	eventOf   = 4                // tokens in an event
	usualOut  = 100              // tokens of an answer, on average, where the request does not tell
	usualMost = 800              // the most, where it does not tell
	mostAhead = 1 << 12          // results that a slow reader may leave waiting
	bodyFor   = 10 * time.Second // for a request's body to come
)

// Host is a model host on a socket.
type Host struct {
	ID, Addr string

	mu         sync.Mutex
	model      *hostmodel.Host
	start      time.Time
	timer      *time.Timer
	gen        int // of its process
	asking     map[string]chan hostmodel.Result
	server     *http.Server
	conns      map[net.Conn]bool // true for those that the model has
	probes     int
	ln         net.Listener
	wrong      faults.Kind                                                            // what its sockets do beside the model
	right      chan struct{}                                                          // closed when that ends
	deaf       bool                                                                   // no new connection comes up
	down       int                                                                    // faults that have killed it; only their player looks at it
	seen       func(Seen)                                                             // nil where nobody watches
	checkToken func(duty string, token uint64, conn string) (highest uint64, ok bool) // nil where nothing comes under a duty
}

// CheckTokens has what comes under a duty pass a function first, which tells the highest token that was seen and whether to take it.
func (h *Host) CheckTokens(pass func(duty string, token uint64, conn string) (highest uint64, ok bool)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.checkToken = pass
}

// fenced refuses what comes under an older token than something before.
func (h *Host) fenced(w http.ResponseWriter, r *http.Request) bool {
	name, phase, under := strings.Cut(r.Header.Get(protocol.HeaderDuty), " ")
	h.mu.Lock()
	fence := h.checkToken
	h.mu.Unlock()
	if !under || fence == nil {
		return false
	}
	token, err := strconv.ParseUint(phase, 10, 64)
	if err != nil {
		http.Error(w, protocol.HeaderDuty+" has no token", http.StatusBadRequest)
		return true
	}
	highest, ok := fence(name, token, r.RemoteAddr)
	if ok {
		return false
	}
	w.Header().Set(protocol.HeaderDuty, strconv.FormatUint(highest, 10))
	http.Error(w, "another has the duty by now", http.StatusConflict)
	return true
}

// SeenKind is what a watcher of a host is told of.
type SeenKind int

// The kinds.
const (
	Came SeenKind = iota // a request's last byte has come
	Over                 // the host has done with it, in whatever way
	Fell                 // the host was pushed over while cold
)

// Seen is one thing that happened at a host. Conn is the other end of the request's connection.
type Seen struct {
	Kind     SeenKind
	ID, Conn string
}

// Watch has a function told of what happens from now on. It must not wait, nor call the host.
func (h *Host) Watch(seen func(Seen)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen = seen
}

// record tells the watcher. The lock is held.
func (h *Host) record(kind SeenKind, id, conn string) {
	if h.seen != nil {
		h.seen(Seen{kind, id, conn})
	}
}

// NewHost starts a host at an address, which may end with port 0.
func NewHost(id, addr string, c hostmodel.Config, seed uint64) (*Host, error) {
	h := &Host{ID: id, Addr: addr, model: hostmodel.New(c, seed), start: time.Now(), asking: map[string]chan hostmodel.Result{}}
	h.timer = time.AfterFunc(time.Hour, h.tick)
	return h, h.listen()
}

func (h *Host) listen() error {
	ln, err := net.Listen("tcp", h.Addr)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ln, h.conns, h.deaf = ln, map[net.Conn]bool{}, false
	if addr := ln.Addr().String(); addr != h.Addr { // the first time alone: others read it without the lock
		h.Addr = addr
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+protocol.PathCompletions, h.complete)
	mux.HandleFunc("GET "+protocol.PathLoad, h.load)
	mux.HandleFunc("GET /-/healthy", h.load)
	h.server = &http.Server{Handler: mux, ConnState: h.connState, ReadTimeout: bodyFor}
	go h.server.Serve(ln)
	return nil
}

// do gives the model an event and hands on what comes of it. The lock is held.
func (h *Host) do(e hostmodel.Event) []hostmodel.Result {
	now := time.Since(h.start)
	results := h.model.Step(now, e)
	for _, r := range results {
		if r.Kind == hostmodel.Fell {
			h.record(Fell, "", "")
		}
		if to := h.asking[r.ID]; to != nil && r.Kind != hostmodel.Preempted {
			select {
			case to <- r:
			default: // its reader is too far behind: it sees the channel closed
				close(to)
				delete(h.asking, r.ID)
			}
		}
	}
	if at, ok := h.model.Next(); ok {
		h.timer.Reset(max(at-time.Since(h.start), 0))
	}
	return results
}

func (h *Host) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.do(hostmodel.Passed{})
}

// connState tells the model of connections. One that its table has no room for is closed.
func (h *Host) connState(c net.Conn, s http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch s {
	case http.StateNew:
		for _, r := range h.do(hostmodel.Connect{}) {
			if r.Kind == hostmodel.TableFull {
				c.Close()
				return
			}
		}
		h.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		if h.conns[c] {
			delete(h.conns, c)
			h.do(hostmodel.Disconnect{})
		}
	}
}

// Event has something happen to the model: a drain, or that it is slow.
func (h *Host) Event(e hostmodel.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.do(e)
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
	h.do(hostmodel.Die{})
	h.gen++
	for c := range h.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
	}
	clear(h.conns)
	server, ln := h.server, h.ln
	h.mu.Unlock()
	server.Close()
	ln.Close() // which the server does not know yet if it has only just begun
}

// Start starts it again at its address, cold.
func (h *Host) Start() error {
	h.mu.Lock()
	h.do(hostmodel.Start{})
	h.mu.Unlock()
	return h.listen()
}

// Close ends it for good.
func (h *Host) Close() {
	h.Kill()
	h.timer.Stop()
}

// asked is what a request's body may tell the model. A router passes the body on and few headers, so what a real host
// sees in the text stands in fields here, which real requests don't have.
type asked struct {
	MaxTokens int    `json:"max_tokens"`
	Out       int    `json:"lab_out"` // true length of the answer
	Prompt    int    `json:"lab_prompt"`
	Session   string `json:"lab_session"`
	Prefix    string `json:"lab_prefix"`
	Shared    int    `json:"lab_shared"`
}

func (h *Host) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, "the body can't be read", http.StatusBadRequest)
		return
	}
	id := r.Header.Get(protocol.HeaderID)
	if id == "" {
		http.Error(w, protocol.HeaderID+" is missing", http.StatusNotFound)
		return
	}
	if h.fenced(w, r) {
		return
	}
	q := request(id, body)
	results := make(chan hostmodel.Result, mostAhead)
	h.mu.Lock()
	if h.asking[id] != nil {
		h.mu.Unlock()
		http.Error(w, "an attempt of this request is here already", http.StatusBadRequest)
		return
	}
	h.asking[id] = results
	h.record(Came, id, r.RemoteAddr)
	h.do(hostmodel.Arrive{Request: q})
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.record(Over, id, r.RemoteAddr)
		if h.asking[id] == results {
			delete(h.asking, id)
			h.do(hostmodel.Cancel{ID: id})
		}
	}()
	h.answer(r.Context(), w, &q, results)
}

// request reads what the model needs of a body, and takes a usual request for what it does not tell.
func request(id string, body []byte) hostmodel.Request {
	var a asked
	json.Unmarshal(body, &a) // a body that is none tells nothing
	q := hostmodel.Request{ID: id, Session: a.Session, Prefix: a.Prefix, Shared: a.Shared, Prompt: a.Prompt, Out: a.Out, MaxOut: usualMost}
	if a.Prompt <= 0 {
		q.Prompt = max(len(body)/4, 1)
	}
	if a.MaxTokens > 0 {
		q.MaxOut = min(q.MaxOut, a.MaxTokens)
	}
	if q.Out <= 0 {
		hash := fnv.New64a()
		io.WriteString(hash, id)
		rng := rand.New(rand.NewPCG(hash.Sum64(), 1))
		q.Out = int(usualOut * (0.3 + 1.4*rng.Float64()))
	}
	q.Out = max(min(q.Out, q.MaxOut), 1)
	return q
}

func (h *Host) answer(ctx context.Context, w http.ResponseWriter, q *hostmodel.Request, results <-chan hostmodel.Result) {
	flush := http.NewResponseController(w)
	made, keptAlive := 0, 0
	var text strings.Builder
	event := func() {
		if text.Len() > 0 {
			switch how, until := h.amiss(); how {
			case faults.Stall:
				select {
				case <-until:
				case <-ctx.Done():
				}
			case faults.Garbage:
				io.WriteString(w, "\x00\x01 no event at all\n")
			}
			fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", text.String())
			flush.Flush()
			text.Reset()
		}
	}
	for {
		var r hostmodel.Result
		var ok bool
		select {
		case r, ok = <-results:
		case <-ctx.Done():
			return
		}
		if !ok || r.Kind == hostmodel.Broken {
			panic(http.ErrAbortHandler) // resets the connection
		}
		switch r.Kind {
		case hostmodel.TurnedAway:
			h.forget(q.ID)
			w.Header().Set(protocol.HeaderUnprocessed, "1")
			w.Header().Set(protocol.HeaderLoad, h.report())
			http.Error(w, "turned away", http.StatusServiceUnavailable)
			return
		case hostmodel.Token:
			if made++; made == 1 {
				keptAlive = r.CachedTokens
				w.Header().Set("Content-Type", "text/event-stream")
			}
			fmt.Fprintf(&text, "t%d ", made)
			if made == 1 || made%eventOf == 0 {
				event()
			}
		case hostmodel.LastToken:
			h.forget(q.ID)
			event()
			fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}]}\n\n"+
				"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":%d}}}\n\n"+
				": %s: %s\n\ndata: [DONE]\n\n", q.Prompt, made, keptAlive, protocol.HeaderLoad, h.report())
			return
		}
	}
}

func (h *Host) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.asking, id)
}

// report is the load report as it goes over the wire.
func (h *Host) report() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.model.Load(time.Since(h.start))
	return report(&l)
}

func report(l *hostmodel.Load) string {
	return fmt.Sprintf(`{"inflight":%d,"queue":%d,"util":%.3f,"x0":%.3f,"x1":%.3f}`, l.Running, l.Waiting, l.Util, l.Memory, l.Unread)
}

// load answers a probe.
func (h *Host) load(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.probes++
	id := "probe" + strconv.Itoa(h.probes)
	status, text := http.StatusServiceUnavailable, ""
	for _, x := range h.do(hostmodel.Probe{ID: id}) {
		if x.Kind == hostmodel.Answered && x.ID == id {
			status, text = http.StatusOK, report(&x.Load)
		}
	}
	h.mu.Unlock()
	w.WriteHeader(status)
	if r.URL.Path == protocol.PathLoad {
		io.Copy(w, bytes.NewBufferString(text))
	}
}
