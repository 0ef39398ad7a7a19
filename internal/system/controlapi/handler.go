package controlapi

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"reachspread/coord/coordpb"
	"reachspread/internal/system/message"
)

// The timeouts of calls are below one second because a caller without an answer tries another router
// after one second.
const (
	hostCallTimeout     = 800 * time.Millisecond
	operatorCallTimeout = 900 * time.Millisecond
)

// Hosts handles the calls of hosts.
type Hosts interface {
	// Heartbeat registers a host or renews its registration. Next is the address for the host's
	// later heartbeats. Ok is false if the call can't be acknowledged before ctx ends.
	Heartbeat(ctx context.Context, in *message.Instance) (next string, ok bool)
	// Remove records that a host shuts down. Ok is false if the call can't be acknowledged before
	// ctx ends.
	Remove(ctx context.Context, id string) (ok bool)
}

// Register is the replicated state of the control plane. It decides on orders.
type Register interface {
	// Submit submits an order and returns the register's decision. After an error the outcome is
	// unknown, and the order may be submitted again.
	Submit(ctx context.Context, order []byte) (*coordpb.Reply, error)
	// ReadAfter returns the newest state. If known is the sequence number of that state, the reply
	// has Unchanged set and contains no state.
	ReadAfter(ctx context.Context, known uint64) (*coordpb.Reply, error)
}

// Logger writes one line for on-call staff.
type Logger interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Options are the dependencies of the API.
type Options struct {
	Hosts    Hosts
	Register Register
	// Known returns the newest configuration that this router has, with the sequence number of its
	// state in the register, 0 for none. Known may be nil.
	Known func() (sequence uint64, document []byte)
	Pins  Pins
	Log   Logger
}

// api holds the handlers of all calls.
type api struct{ Options }

// New returns the handler of the control plane's calls. It is safe for concurrent use.
func New(o Options) http.Handler {
	a := &api{o}
	m := mux.NewRouter()
	m.HandleFunc("/instances/{id}", a.heartbeat).Methods(http.MethodPut)
	m.HandleFunc("/instances/{id}", a.remove).Methods(http.MethodDelete)
	m.HandleFunc("/configuration", a.readConfiguration).Methods(http.MethodGet)
	m.HandleFunc("/configuration", a.changeConfiguration(message.Order_PUT)).Methods(http.MethodPut)
	m.HandleFunc("/configuration", a.changeConfiguration(message.Order_PATCH)).Methods(http.MethodPatch)
	m.HandleFunc("/pins", a.listPins).Methods(http.MethodGet)
	m.HandleFunc("/pins/history", a.pinHistory).Methods(http.MethodGet)
	m.HandleFunc("/pins/{name}", a.changePin(message.Order_PIN_SET)).Methods(http.MethodPut)
	m.HandleFunc("/pins/{name}", a.changePin(message.Order_PIN_LIFT)).Methods(http.MethodDelete)
	return m
}
