package fakes

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// The states of a host in discovery's list.
const (
	stateReady       = "Ready"
	stateTerminating = "Terminating"
	stateRemoved     = "Gone"
)

// Entry is a host in discovery's list.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`

	version int64 // version of the list in which this entry last changed
}

// List is a fake of the platform's discovery service: a versioned list of hosts that routers read in
// full once and then watch for changes.
type List struct {
	Addr   string
	server *http.Server

	mu               sync.Mutex
	version          int64
	entries          map[string]Entry
	changed          chan bool // closed at the next change
	observer         func([]Entry)
	conns            map[net.Conn]bool
	remembered       *listAnswer // the full list at the time of Remember; nil before
	servesRemembered bool
}

// Observe sets a function that is called with the entries of each answer once the answer is written.
// The function must not block.
func (l *List) Observe(observer func([]Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.observer = observer
}

// maxWait bounds how long a watch waits for a change.
const maxWait = time.Minute

// NewList starts a discovery service at an address, with an empty list. It serves until Close.
func NewList(addr string) (*List, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &List{
		Addr:    ln.Addr().String(),
		version: 1,
		entries: map[string]Entry{},
		changed: make(chan bool),
		conns:   map[net.Conn]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", l.handleTargets)
	l.server = &http.Server{Handler: mux, ConnState: l.trackConnection}
	go l.server.Serve(ln) // until Close
	return l, nil
}

// trackConnection records the open connections, which resetLocked closes.
func (l *List) trackConnection(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(l.conns, c)
		return
	}
	l.conns[c] = true
}

// Close stops the server and closes its connections.
func (l *List) Close() { l.server.Close() }

// Set adds or replaces a host's entry. The state Gone removes the host from full lists.
func (l *List) Set(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	e.version = l.version
	l.entries[e.ID] = e
	l.notifyLocked()
}

// Remember saves the current list for ServeRemembered.
func (l *List) Remember() {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.changesSince(0)
	l.remembered = &a
}

// ServeRemembered switches between the list that Remember saved, with its version at that time, and
// the current list. All connections are closed.
func (l *List) ServeRemembered(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.servesRemembered = on && l.remembered != nil; !l.servesRemembered {
		l.version++
	}
	l.resetLocked()
}

// Renumber restarts the versions at 1. All connections are closed.
func (l *List) Renumber() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = 1
	for id, e := range l.entries {
		e.version = 1
		l.entries[id] = e
	}
	l.resetLocked()
}

func (l *List) resetLocked() {
	for c := range l.conns {
		c.Close()
	}
	l.notifyLocked()
}

// notifyLocked wakes the waiting watches.
func (l *List) notifyLocked() {
	close(l.changed)
	l.changed = make(chan bool)
}

// handleTargets answers a read of the list (index 0) or a watch. A watch returns the changes after
// the version index, once there are any or after wait milliseconds.
func (l *List) handleTargets(w http.ResponseWriter, r *http.Request) {
	index, indexErr := strconv.ParseInt(cmp.Or(r.FormValue("index"), "0"), 10, 64)
	wait, waitErr := strconv.ParseInt(cmp.Or(r.FormValue("wait"), "0"), 10, 64)
	if indexErr != nil || waitErr != nil || wait < 0 {
		http.Error(w, "index and wait must be whole numbers", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWait))
	defer cancel()
	answer, observer := l.await(ctx, index)
	text, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err == nil && observer != nil && r.Context().Err() == nil {
		observer(answer.Servers)
	}
}

// await returns the answer to a read or a watch, and the observer to call with it. For a watch, it
// waits until there is a change after version index or ctx ends.
func (l *List) await(ctx context.Context, index int64) (listAnswer, func([]Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for index > 0 && (l.servesRemembered || l.version <= index) && ctx.Err() == nil {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		l.mu.Lock()
	}
	return l.answerLocked(index), l.observer
}

// answerLocked returns the current answer to a read or a watch.
func (l *List) answerLocked(index int64) listAnswer {
	if !l.servesRemembered {
		return l.changesSince(index)
	}
	if index == 0 {
		return *l.remembered
	}
	return unchangedAnswer(l.remembered.Version)
}

// listAnswer is discovery's answer. Full is set if it has all hosts rather than only the changes.
type listAnswer struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// unchangedAnswer returns the answer to a watch without a change.
func unchangedAnswer(version int64) listAnswer {
	return listAnswer{Version: version, Servers: []Entry{}}
}

// changesSince returns the changes after a version, or all hosts for version 0. The caller holds the
// lock.
func (l *List) changesSince(index int64) listAnswer {
	a := listAnswer{Version: l.version, Full: index == 0, Servers: []Entry{}}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[id]
		listed := e.version > index
		if a.Full {
			listed = e.State != stateRemoved
		}
		if listed {
			a.Servers = append(a.Servers, e)
		}
	}
	return a
}
