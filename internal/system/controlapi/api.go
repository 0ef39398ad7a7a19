// Package controlapi is the control plane's HTTP interface: hosts register here, and operators read and change the configuration.
package controlapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

	"reachspread/coord/coordpb"
	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/message"
)

const (
	// A caller goes on to another router after a second of silence.
	hostAnswerIn     = 800 * time.Millisecond
	operatorAnswerIn = 900 * time.Millisecond
	mostInstanceBody = 64 << 10
	mostOrderBody    = 16 << 20
)

// Hosts takes the calls of hosts.
type Hosts interface {
	// Beat takes in a host's call; next is the address for its later ones. Ok is false where it can't be acknowledged.
	Beat(ctx context.Context, in *message.Instance) (next string, ok bool)
	// Remove takes in that a host ends.
	Remove(ctx context.Context, id string) (ok bool)
}

// Register takes orders and gives the state.
type Register interface {
	Submit(ctx context.Context, order []byte) (*coordpb.Reply, error)
	// ReadAfter returns the state; a caller that has the newest one, by its sequence, is told only that.
	ReadAfter(ctx context.Context, known uint64) (*coordpb.Reply, error)
}

// Logger writes one line for on-call staff.
type Logger interface {
	Info(event string, fields ...any)
	Warn(event string, fields ...any)
}

// Options are what an API is made with.
type Options struct {
	Hosts    Hosts
	Register Register
	// Known is the newest configuration that this router has, with the sequence of its state in the register; 0 for none. It may be nil.
	Known func() (sequence uint64, document []byte)
	Pins  Pins
	Log   Logger
}

// api is the handler of all calls.
type api struct{ Options }

// New returns the handler of the control plane's calls.
func New(o Options) http.Handler {
	a := &api{o}
	m := mux.NewRouter()
	m.HandleFunc("/instances/{id}", a.beat).Methods(http.MethodPut)
	m.HandleFunc("/instances/{id}", a.remove).Methods(http.MethodDelete)
	m.HandleFunc("/configuration", a.read).Methods(http.MethodGet)
	m.HandleFunc("/configuration", a.order(message.Order_PUT)).Methods(http.MethodPut)
	m.HandleFunc("/configuration", a.order(message.Order_PATCH)).Methods(http.MethodPatch)
	a.handlePins(m)
	return m
}

// problem is the body of an answer that is no success.
type problem struct {
	Error string `json:"error"`
}

func answer(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(text)
}

func refuse(w http.ResponseWriter, status int, format string, args ...any) {
	answer(w, status, problem{fmt.Sprintf(format, args...)})
}

// registration is a host's call.
type registration struct {
	Service         string  `json:"service"`
	Address         string  `json:"address"`
	Zone            string  `json:"zone"`
	Version         string  `json:"version"`
	Slots           float64 `json:"slots"`
	State           string  `json:"state"`
	ColdRemainingMs float64 `json:"coldRemainingMs"`
	Sequence        float64 `json:"sequence"`
	Stage           string  `json:"stage"`
	Models          []struct {
		Name    string  `json:"name"`
		Version float64 `json:"version"`
	} `json:"models"`
}

// instance checks a call and gives what it tells.
func (r *registration) instance(id string) (*message.Instance, error) {
	in := &message.Instance{Id: id, Service: r.Service, Address: r.Address, Zone: r.Zone, Software: r.Version, Slots: uint32(max(r.Slots, 0)),
		Sequence: uint64(max(r.Sequence, 0)), ColdRemainingMs: uint32(max(r.ColdRemainingMs, 0)), Stage: r.Stage}
	switch {
	case r.Service == "":
		return nil, errors.New("service is missing")
	case r.Address == "":
		return nil, errors.New("address is missing")
	}
	switch r.State {
	case "ready":
		in.State = message.Instance_READY
	case "draining":
		in.State = message.Instance_DRAINING
	default:
		return nil, fmt.Errorf("state is %q; it must be ready or draining", r.State)
	}
	for _, m := range r.Models {
		in.Models = append(in.Models, &message.Model{Name: m.Name, Version: int64(m.Version)})
	}
	return in, nil
}

// registered is the answer to a host's call.
type registered struct {
	HeartbeatAddress string `json:"heartbeatAddress,omitempty"`
}

func (a *api) beat(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostInstanceBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, "the body can not be read: %v", err)
		return
	}
	call := &registration{}
	if err := json.Unmarshal(text, call); err != nil {
		refuse(w, http.StatusBadRequest, "the body is not a registration: %v", err)
		return
	}
	in, err := call.instance(mux.Vars(r)["id"])
	if err != nil {
		refuse(w, http.StatusBadRequest, "%v", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), hostAnswerIn)
	defer cancel()
	next, ok := a.Hosts.Beat(ctx, in)
	if !ok {
		refuse(w, http.StatusServiceUnavailable, "no other router has it yet")
		return
	}
	answer(w, http.StatusOK, registered{next})
}

func (a *api) remove(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), hostAnswerIn)
	defer cancel()
	if !a.Hosts.Remove(ctx, mux.Vars(r)["id"]) {
		refuse(w, http.StatusServiceUnavailable, "no other router has it yet")
		return
	}
	answer(w, http.StatusOK, struct{}{})
}

// readState reads the register's state after a known one, and answers where it can't.
func (a *api) readState(w http.ResponseWriter, r *http.Request, known uint64) (reply *coordpb.Reply, ok bool) {
	ctx, cancel := context.WithTimeout(r.Context(), operatorAnswerIn)
	defer cancel()
	reply, err := a.Register.ReadAfter(ctx, known)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "%v", err)
		return nil, false
	}
	return reply, true
}

// stored reads all of the register's state, and answers where it can't.
func (a *api) stored(w http.ResponseWriter, r *http.Request) (stored *message.Stored, ok bool) {
	reply, ok := a.readState(w, r, 0)
	if !ok {
		return nil, false
	}
	return unpack(w, reply)
}

// unpack is the state of a reply; it answers where that can't be read.
func unpack(w http.ResponseWriter, reply *coordpb.Reply) (stored *message.Stored, ok bool) {
	stored = &message.Stored{}
	if err := proto.Unmarshal(reply.Reply, stored); err != nil {
		refuse(w, http.StatusInternalServerError, "%v", err)
		return nil, false
	}
	return stored, true
}

// known is the newest configuration that this router has, with the sequence of its state; 0 for none.
func (a *api) known() (sequence uint64, document []byte) {
	if a.Known == nil {
		return 0, nil
	}
	return a.Known()
}

// read answers with the newest configuration. Where this router has it, the register only has to say so: a large one would take longer from
// there than the caller waits.
func (a *api) read(w http.ResponseWriter, r *http.Request) {
	sequence, document := a.known()
	reply, ok := a.readState(w, r, sequence)
	if !ok {
		return
	}
	if !reply.Unchanged {
		stored, ok := unpack(w, reply)
		if !ok {
			return
		}
		document = stored.Document
	}
	if len(document) == 0 {
		refuse(w, http.StatusNotFound, "no configuration was put yet")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(document)
}

// order takes an operator's change.
func (a *api) order(kind message.Order_Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostOrderBody))
		var long *http.MaxBytesError
		if errors.As(err, &long) {
			refuse(w, http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", mostOrderBody)
			return
		}
		if err != nil {
			refuse(w, http.StatusBadRequest, "the body can not be read: %v", err)
			return
		}
		base, err := readBase(r)
		if err != nil {
			refuse(w, http.StatusBadRequest, "%v", err)
			return
		}
		order := &message.Order{Kind: kind, IfMatch: base, Body: text}
		if err := check(order); err != nil {
			refuse(w, http.StatusBadRequest, "%v", err)
			return
		}
		a.submit(w, r, order)
	}
}

// check finds what makes an order invalid whatever is in force: such a one was never taken.
// readBase reads the version, or the revision of the pins, on which an order builds.
func readBase(r *http.Request) (int64, error) {
	text := r.Header.Get("If-Match")
	base, err := strconv.ParseInt(strings.Trim(text, `" `), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("If-Match is %q; it must be the version that the change builds on, 0 for the first", text)
	}
	return base, nil
}

func check(order *message.Order) error {
	if order.Kind == message.Order_PATCH {
		_, err := configuration.ParsePatch(order.Body)
		return err
	}
	_, err := configuration.Next(nil, order)
	return err
}

func (a *api) submit(w http.ResponseWriter, r *http.Request, order *message.Order) {
	if outcome, ok := a.decide(w, r, order); ok {
		answer(w, int(outcome.Status), orderOutcome{outcome.Version, outcome.Text})
	}
}

// decide has the register decide on an order, and answers where it does not.
func (a *api) decide(w http.ResponseWriter, r *http.Request, order *message.Order) (outcome *message.OrderReply, ok bool) {
	text, err := proto.Marshal(order)
	if err != nil {
		refuse(w, http.StatusInternalServerError, "%v", err)
		return nil, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), operatorAnswerIn)
	defer cancel()
	reply, err := a.Register.Submit(ctx, text)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, "%v", err)
		return nil, false
	}
	outcome = &message.OrderReply{}
	if err := proto.Unmarshal(reply.Reply, outcome); err != nil {
		refuse(w, http.StatusInternalServerError, "%v", err)
		return nil, false
	}
	return outcome, true
}

// orderOutcome is the answer to an order.
type orderOutcome struct {
	Version int64  `json:"version"`
	Text    string `json:"text,omitempty"`
}
