package controlapi

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"reachspread/coord/coordpb"
	"reachspread/internal/system/message"
)

// A caller goes on to another router after a second without an answer.
const (
	hostCallTimeout     = 800 * time.Millisecond
	operatorCallTimeout = 900 * time.Millisecond
)

// Hosts handles the calls of hosts.
type Hosts interface {
	// Heartbeat takes over a host's registration; next is the address for its later ones. Ok is
	// false where the call can't be acknowledged before ctx ends.
	Heartbeat(ctx context.Context, in *message.Instance) (next string, ok bool)
	// Remove records that a host ends. Ok is false where that can't be acknowledged before ctx
	// ends.
	Remove(ctx context.Context, id string) (ok bool)
}

// Register decides on orders and gives the state.
type Register interface {
	// Submit has the register decide on an order. After an error the outcome is unknown, and the
	// order may be submitted again.
	Submit(ctx context.Context, order []byte) (*coordpb.Reply, error)
	// ReadAfter returns the state. Where known is the sequence of the newest one, the reply says
	// Unchanged and has no state.
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
	// Known is the newest configuration that this router has, with the sequence of its state in the
	// register; 0 for none. It may be nil.
	Known func() (sequence uint64, document []byte)
	Pins  Pins
	Log   Logger
}

// api has the handlers of all calls.
type api struct{ Options }

// New returns the handler of the control plane's calls. It may be used by several goroutines.
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
