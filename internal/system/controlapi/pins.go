package controlapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
)

const (
	mostPinBody = 16 << 10
	// pinAnswerIn is how long a call waits until a change of the pins is in force everywhere. Then it is answered with 202, and the same order
	// may be sent again.
	pinAnswerIn = 8 * time.Second
)

// Pins tells when changes of the pins are in force.
type Pins interface {
	// Fenced tells whether a router that is cut off stops to honour keys, so that a change can be in force everywhere.
	Fenced() bool
	// InForce waits until no router serves by pins before a revision, which was committed before a time; ok is false where ctx ended first.
	InForce(ctx context.Context, revision int64, committed time.Time) (ok bool)
	// Ready is how many hosts that are ready have a version of a model, and how many have only others of it, as this router knows.
	Ready(model string, version int64) (with, without int)
}

// PinOrder is the body of a call that sets or lifts a pin.
type PinOrder struct {
	Tenant  string `json:"tenant,omitempty"`
	Route   string `json:"route,omitempty"`
	Model   string `json:"model,omitempty"`
	Version int64  `json:"version,omitempty"`
	By      string `json:"by"`
	Why     string `json:"why"`
}

// PinOutcome is the answer to a call that sets or lifts a pin.
type PinOutcome struct {
	Revision int64  `json:"revision"` // of the pins, in force or to be
	InForce  bool   `json:"inForce"`  // on every router; where not, the order was taken and is to be sent again
	Text     string `json:"text,omitempty"`
}

// Pin is a pin in force.
type Pin struct {
	Name     string    `json:"name"`
	Tenant   string    `json:"tenant,omitempty"`
	Route    string    `json:"route,omitempty"`
	Model    string    `json:"model"`
	Version  int64     `json:"version"`
	By       string    `json:"by"`
	Why      string    `json:"why"`
	SetAt    time.Time `json:"setAt"`
	Revision int64     `json:"revision"`
	Hosts    *PinHosts `json:"hosts,omitempty"` // of a pin in force
}

// PinHosts is how the hosts of a pin's model stand, as the router knows that tells it.
type PinHosts struct {
	Ready  int `json:"ready"`  // that have the version
	Others int `json:"others"` // that have only other versions of the model
}

// PinList is the answer to GET /pins.
type PinList struct {
	Revision int64 `json:"revision"`
	Pins     []Pin `json:"pins"`
}

// PinChange is a pin that was set or lifted.
type PinChange struct {
	Revision int64     `json:"revision"`
	Lifted   bool      `json:"lifted"`
	Pin      Pin       `json:"pin"`
	By       string    `json:"by"`
	Why      string    `json:"why"`
	At       time.Time `json:"at"`
}

// PinHistory is the answer to GET /pins/history, the oldest change first.
type PinHistory struct {
	Changes []PinChange `json:"changes"`
}

func readPin(p *message.Pin) Pin {
	return Pin{Name: p.Name, Tenant: p.Tenant, Route: p.Route, Model: p.Model, Version: p.Version, By: p.By, Why: p.Why,
		SetAt: time.UnixMilli(p.SetAtMs).UTC(), Revision: p.Revision}
}

// handlePins adds the calls on pins.
func (a *api) handlePins(m *mux.Router) {
	m.HandleFunc("/pins", a.listPins).Methods(http.MethodGet)
	m.HandleFunc("/pins/history", a.pinHistory).Methods(http.MethodGet)
	m.HandleFunc("/pins/{name}", a.orderPin(message.Order_PIN_SET)).Methods(http.MethodPut)
	m.HandleFunc("/pins/{name}", a.orderPin(message.Order_PIN_LIFT)).Methods(http.MethodDelete)
}

func (a *api) listPins(w http.ResponseWriter, r *http.Request) {
	stored, ok := a.stored(w, r)
	if !ok {
		return
	}
	list := PinList{Revision: stored.Pins.GetRevision(), Pins: []Pin{}}
	for _, p := range stored.Pins.GetPins() {
		pin := readPin(p)
		pin.Hosts = &PinHosts{}
		pin.Hosts.Ready, pin.Hosts.Others = a.Pins.Ready(p.Model, p.Version)
		list.Pins = append(list.Pins, pin)
	}
	answer(w, http.StatusOK, list)
}

func (a *api) pinHistory(w http.ResponseWriter, r *http.Request) {
	stored, ok := a.stored(w, r)
	if !ok {
		return
	}
	history := PinHistory{Changes: []PinChange{}}
	for _, c := range stored.PinHistory {
		history.Changes = append(history.Changes, PinChange{Revision: c.Revision, Lifted: c.Lifted, Pin: readPin(c.Pin), By: c.By, Why: c.Why, At: time.UnixMilli(c.AtMs).UTC()})
	}
	answer(w, http.StatusOK, history)
}

// orderPin takes an order to set or lift a pin. It is acknowledged with 200 once it is in force on every router.
func (a *api) orderPin(kind message.Order_Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		order, err := readPinOrder(w, r, kind)
		if err != nil {
			refuse(w, http.StatusBadRequest, "%v", err)
			return
		}
		if !a.Pins.Fenced() {
			refuse(w, http.StatusConflict, "pins can not be held to on a router that is cut off: bounds.revocationClosed is not set")
			return
		}
		outcome, ok := a.decide(w, r, order)
		if !ok {
			return
		}
		a.answerPin(w, r, outcome, time.Now())
	}
}

// readPinOrder reads a call, and checks all that can be without the configuration.
func readPinOrder(w http.ResponseWriter, r *http.Request, kind message.Order_Kind) (*message.Order, error) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostPinBody))
	if err != nil {
		return nil, fmt.Errorf("the body can not be read: %w", err)
	}
	in := &PinOrder{}
	if err := json.Unmarshal(text, in); err != nil {
		return nil, fmt.Errorf("the body is not a pin: %w", err)
	}
	base, err := readBase(r)
	if err != nil {
		return nil, err
	}
	pin := &message.Pin{Name: mux.Vars(r)["name"], Tenant: in.Tenant, Route: in.Route, Model: in.Model, Version: in.Version, By: in.By, Why: in.Why}
	check := pins.Check
	if kind == message.Order_PIN_LIFT {
		check = pins.CheckLift
	}
	if err := check(pin); err != nil {
		return nil, err
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(pin)
	if err != nil {
		return nil, err
	}
	return &message.Order{Kind: kind, IfMatch: base, Body: body, AtMs: time.Now().UnixMilli()}, nil
}

// answerPin answers an order that the register has decided on, once it is in force. The register had committed it by a time.
func (a *api) answerPin(w http.ResponseWriter, r *http.Request, outcome *message.OrderReply, committed time.Time) {
	out := PinOutcome{Revision: outcome.Version, Text: outcome.Text}
	if outcome.Status != http.StatusOK {
		answer(w, int(outcome.Status), struct {
			problem
			PinOutcome
		}{problem{outcome.Text}, out})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), pinAnswerIn)
	defer cancel()
	if out.InForce = a.Pins.InForce(ctx, outcome.Version, committed); !out.InForce {
		w.Header().Set("Retry-After", "0.1")
		answer(w, http.StatusAccepted, out)
		return
	}
	a.Log.Info("pins in force", "revision", out.Revision, "after", time.Since(committed))
	answer(w, http.StatusOK, out)
}
