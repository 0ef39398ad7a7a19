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
	callTimeout = 10 * time.Second // for reading a call, and again for answering it
	idleTimeout = 30 * time.Second // for a connection without a call
)

// readinessPath is the path at which the platform asks whether it may route clients to this
// router.
const readinessPath = "/readiness"

// serve opens the listeners of the roles that the settings give this router. A listener that fails
// later sends its error on failed. The returned error names the settings field of the address.
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

// listenHTTP serves a handler on an address until ctx ends. Errors on callers' connections are not
// logged.
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

// listenFrontend accepts clients on an address until ctx ends.
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

// readinessHandler returns the handler that answers the platform's readiness checks and serves the
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

// Ready reports whether clients may be routed to this router. It must not be draining and must
// have a configuration and hosts. If the configuration has API keys, it must also have been
// confirmed recently enough to honour them.
func (n *Node) Ready() bool {
	if n.front.Draining() || !n.plane.Serving() {
		return false
	}
	return n.honoursKeys() || !n.plane.State().Typed.RequiresAPIKeys()
}

// controlAddress returns the address of a router's control plane for hosts. The port is the same
// on every machine.
func (n *Node) controlAddress(r router) string {
	_, port, err := net.SplitHostPort(n.settings().ListenAddresses.ControlPlane)
	if err != nil {
		return ""
	}
	return net.JoinHostPort(r.address.Addr().String(), port)
}

// hostCalls forwards hosts' calls to the hub. It implements controlapi.Hosts.
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
