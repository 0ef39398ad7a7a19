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

// Entry is a host as the list has it.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"started_ms"`

	since int64 // the version that changed it
}

// List is discovery.
type List struct {
	Addr   string
	server *http.Server

	mu      sync.Mutex
	version int64
	entries map[string]Entry
	changed chan bool // closed at the next change
	watcher func([]Entry)
	conns   map[net.Conn]bool
	first   *answer // as it was when Remember was called
	old     bool    // it is told so
}

// Watch has a function told of the entries that an answer held, once it is written. It must not wait.
func (l *List) Watch(told func([]Entry)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watcher = told
}

// mostWait is the longest that a watch may wait.
const mostWait = time.Minute

// NewList starts discovery without hosts.
func NewList(addr string) (*List, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	l := &List{Addr: ln.Addr().String(), version: 1, entries: map[string]Entry{}, changed: make(chan bool), conns: map[net.Conn]bool{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", l.targets)
	l.server = &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.conns[c] = true; s == http.StateClosed || s == http.StateHijacked {
			delete(l.conns, c)
		}
	}}
	go l.server.Serve(ln)
	return l, nil
}

// Close ends it.
func (l *List) Close() { l.server.Close() }

// Set has a host be as the entry says. The state Gone takes it out.
func (l *List) Set(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	e.since = l.version
	l.entries[e.ID] = e
	close(l.changed)
	l.changed = make(chan bool)
}

// Remember keeps the list as it is now for Old.
func (l *List) Remember() {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.since(0)
	l.first = &a
}

// Old has the list be told as it was when Remember was called, under its version of then, or as it is again. Watches are reset.
func (l *List) Old(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.old = on && l.first != nil; !l.old {
		l.version++
	}
	l.resetLocked()
}

// Renumber has versions count from 1 again. Watches are reset.
func (l *List) Renumber() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version = 1
	for id, e := range l.entries {
		e.since = 1
		l.entries[id] = e
	}
	l.resetLocked()
}

func (l *List) resetLocked() {
	for c := range l.conns {
		c.Close()
	}
	close(l.changed)
	l.changed = make(chan bool)
}

func (l *List) targets(w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseInt(cmp.Or(r.FormValue("index"), "0"), 10, 64)
	wait, err2 := strconv.ParseInt(cmp.Or(r.FormValue("wait"), "0"), 10, 64)
	if err != nil || err2 != nil || wait < 0 {
		http.Error(w, "index and wait must be whole numbers", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, mostWait))
	defer cancel()
	l.mu.Lock()
	for index > 0 && (l.old || l.version <= index) && ctx.Err() == nil {
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		l.mu.Lock()
	}
	answer := l.since(index)
	switch {
	case l.old && index == 0:
		answer = *l.first
	case l.old:
		answer = answerOf(l.first.Version)
	}
	told := l.watcher
	l.mu.Unlock()
	text, _ := json.Marshal(answer)
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(text); err == nil && told != nil && r.Context().Err() == nil {
		told(answer.Servers)
	}
}

type answer struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// answerOf is an answer without an update.
func answerOf(version int64) answer { return answer{Version: version, Servers: []Entry{}} }

// since returns what changed after a version, or all that there is after none. The lock is held.
func (l *List) since(index int64) answer {
	a := answer{Version: l.version, Full: index == 0, Servers: []Entry{}}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		if e := l.entries[id]; a.Full && e.State != "Gone" || !a.Full && e.since > index {
			a.Servers = append(a.Servers, e)
		}
	}
	return a
}
