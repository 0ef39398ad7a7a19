package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"reachspread/internal/system/controlapi"
	"reachspread/internal/system/message"
	"reachspread/internal/system/metrics"
	"reachspread/internal/system/settings"
	"reachspread/internal/system/status"
	"reachspread/internal/transport"
)

const (
	callTimeout = 10 * time.Second // for reading a call, and for answering it
	idleTimeout = 30 * time.Second // of a connection between two calls
)

// readinessPath is where the platform asks whether clients may be sent here.
const readinessPath = "/readiness"

// serve opens the listeners of the roles that the settings give this router. One that fails later
// reports on failed. The error names the field of the address.
func (n *Node) serve(ctx context.Context, failed chan<- error) error {
	s := n.settings()
	if s.ServesRole(settings.ServesControl) {
		if err := n.listenHTTP(ctx, s.ListenAddresses.ControlPlane, n.controlHandler(), failed); err != nil {
			return fmt.Errorf("listenAddresses.controlPlane: %w", err)
		}
	}
	if s.ListenAddresses.Readiness != "" {
		if err := n.listenHTTP(ctx, s.ListenAddresses.Readiness, n.readinessHandler(), failed); err != nil {
			return fmt.Errorf("listenAddresses.readiness: %w", err)
		}
	}
	if s.ServesRole(settings.ServesClients) {
		if err := n.listenFrontend(ctx, s.ListenAddresses.Frontend, failed); err != nil {
			return fmt.Errorf("listenAddresses.frontend: %w", err)
		}
	}
	return nil
}

func (n *Node) controlHandler() http.Handler {
	return controlapi.New(controlapi.Options{
		Hosts:    hostCalls{n},
		Register: n.client,
		Known:    n.hub.known,
		Pins:     n.pins,
		Log:      n.log,
	})
}

// listenHTTP serves a handler on an address until ctx ends. What goes wrong on a caller's
// connection is not logged.
func (n *Node) listenHTTP(ctx context.Context, address string, handler http.Handler, failed chan<- error) error {
	ln, err := transport.Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:      handler,
		ReadTimeout:  callTimeout,
		WriteTimeout: callTimeout,
		IdleTimeout:  idleTimeout,
		ErrorLog:     log.New(io.Discard, "", 0),
	}
	n.closeAtEnd(ctx, func() { server.Close() })
	n.background.Go(func() {
		if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	})
	return nil
}

// listenFrontend serves clients on an address until ctx ends.
func (n *Node) listenFrontend(ctx context.Context, address string, failed chan<- error) error {
	ln, err := transport.Listen(ctx, "tcp4", address)
	if err != nil {
		return err
	}
	n.closeAtEnd(ctx, n.front.StopAccepting)
	n.background.Go(func() {
		if err := n.front.Serve(ln, false); err != nil && ctx.Err() == nil {
			failed <- fmt.Errorf("listenAddresses.frontend: %w", err)
		}
	})
	return nil
}

// readinessHandler answers the platform's question whether clients may be sent here, and serves the
// status and the metrics.
func (n *Node) readinessHandler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc(readinessPath, n.serveReadiness).Methods(http.MethodGet)
	m.HandleFunc(status.Path, n.serveStatus).Methods(http.MethodGet)
	m.HandleFunc(metrics.Path, n.serveMetrics).Methods(http.MethodGet)
	return m
}

func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Ready reports whether clients may be sent here: the router is not draining, has a configuration
// and hosts, and the configuration is confirmed recently enough for keys if it has any.
func (n *Node) Ready() bool {
	if n.front.Draining() || !n.plane.Serving() {
		return false
	}
	return n.honoursKeys() || !n.plane.State().Typed.RequiresAPIKeys()
}

// controlAddress is where hosts reach the control plane of a router: the port is the same on every
// machine.
func (n *Node) controlAddress(r router) string {
	_, port, err := net.SplitHostPort(n.settings().ListenAddresses.ControlPlane)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(r.address.Addr().String(), port)
}

// hostCalls posts the calls of hosts to the hub. It implements controlapi.Hosts.
type hostCalls struct{ node *Node }

// Heartbeat implements controlapi.Hosts.
func (h hostCalls) Heartbeat(ctx context.Context, in *message.Instance) (next string, ok bool) {
	acknowledged := make(chan string, 1)
	hub := h.node.hub
	hub.post(func() { hub.heartbeat(in, func(next string) { acknowledged <- next }) })
	select {
	case next = <-acknowledged:
		return next, true
	case <-ctx.Done():
		return "", false
	}
}

// Remove implements controlapi.Hosts.
func (h hostCalls) Remove(ctx context.Context, id string) (ok bool) {
	acknowledged := make(chan struct{}, 1)
	hub := h.node.hub
	hub.post(func() { hub.remove(id, func() { acknowledged <- struct{}{} }) })
	select {
	case <-acknowledged:
		return true
	case <-ctx.Done():
		return false
	}
}
