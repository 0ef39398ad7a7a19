package node

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"reachspread/internal/system/message"
	"reachspread/internal/system/metrics"
	"reachspread/internal/system/status"
)

const (
	callFor = 10 * time.Second // for one call to the control plane
	idleFor = 30 * time.Second
)

// silent writes nothing: what goes wrong on a caller's connection is the caller's to see.
type silent struct{}

func (silent) Write(p []byte) (int, error) { return len(p), nil }

// listenHTTP serves a handler on an address until ctx ends.
func (n *Node) listenHTTP(ctx context.Context, address string, handler http.Handler, failed chan<- error) error {
	listen := net.ListenConfig{KeepAlive: -1}
	ln, err := listen.Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadTimeout: callFor, WriteTimeout: callFor, IdleTimeout: idleFor, ErrorLog: log.New(silent{}, "", 0)}
	n.atEnd(ctx, func() { server.Close() })
	go func() {
		if err := server.Serve(ln); err != http.ErrServerClosed {
			failed <- err
		}
	}()
	return nil
}

// readiness answers whether clients may be sent here, and tells staff how the router stands.
func (n *Node) readiness() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/readiness", func(w http.ResponseWriter, _ *http.Request) {
		if !n.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	}).Methods(http.MethodGet)
	m.HandleFunc(status.Path, n.tellStatus).Methods(http.MethodGet)
	m.HandleFunc(metrics.Path, n.tellMetrics).Methods(http.MethodGet)
	return m
}

// Ready tells whether clients may be sent here: the configuration is known, and young enough for keys, and there are hosts.
func (n *Node) Ready() bool {
	return !n.front.Leaving() && n.plane.Serving() && (n.fresh() || !n.plane.State().Typed.Keyed())
}

// hostCalls brings hosts' calls to the hub.
type hostCalls struct{ n *Node }

// Beat implements controlapi.Hosts.
func (h hostCalls) Beat(ctx context.Context, in *message.Instance) (next string, ok bool) {
	came := make(chan string, 1)
	h.n.hub.call(func() { h.n.hub.beat(in, func(next string) { came <- next }) })
	select {
	case next = <-came:
		return next, true
	case <-ctx.Done():
		return "", false
	}
}

// Remove implements controlapi.Hosts.
func (h hostCalls) Remove(ctx context.Context, id string) (ok bool) {
	came := make(chan struct{}, 1)
	h.n.hub.call(func() { h.n.hub.remove(id, func() { came <- struct{}{} }) })
	select {
	case <-came:
		return true
	case <-ctx.Done():
		return false
	}
}
