package controlapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
)

const (
	// maxPinBytes bounds the body of an order that changes a pin.
	maxPinBytes = 16 << 10
	// pinWaitTimeout is how long a call waits until a change of the pins is in force everywhere.
	// Then it is answered with 202, and the same order may be sent again after pinRetryAfter.
	pinWaitTimeout = 8 * time.Second
	pinRetryAfter  = "0.1" // seconds
)

// Pins reports when changes of the version pins are in force.
type Pins interface {
	// Fenced reports whether an isolated router stops honouring keys. Otherwise a change can't be
	// in force everywhere.
	Fenced() bool
	// InForce waits until no router serves by pins from before a revision, which was committed
	// before a time; ok is false where ctx ended first.
	InForce(ctx context.Context, revision int64, committed time.Time) (ok bool)
	// Ready counts the hosts that are ready, by what this router knows: those with a version of a
	// model, and those with other versions of it only.
	Ready(model string, version int64) (with, without int)
}

// PinOrder is the body of a call that sets or lifts a pin.
type PinOrder struct {
	Tenant  string `json:"tenant,omitempty"` // empty for all
	Route   string `json:"route,omitempty"`  // empty for all
	Model   string `json:"model,omitempty"`
	Version int64  `json:"version,omitempty"`
	By      string `json:"by"`
	Why     string `json:"why"`
}

// PinOutcome is the answer to a call that sets or lifts a pin.
type PinOutcome struct {
	Revision int64 `json:"revision"` // of the pins, with the order in it
	// InForce says that every router serves by the order. Without it the order was accepted and is
	// to be sent again.
	InForce bool   `json:"inForce"`
	Text    string `json:"text,omitempty"`
}

// rejectedPin is the answer to an order of a pin that the register has rejected.
type rejectedPin struct {
	errorBody
	PinOutcome
}

// Pin is a pin in force, or one that was.
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

// PinHosts counts the ready hosts of a pin's model, by what the router knows that answers.
type PinHosts struct {
	Ready         int `json:"ready"`  // with the version
	OtherVersions int `json:"others"` // with other versions of the model only
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

func pinOf(p *message.Pin) Pin {
	return Pin{
		Name:     p.Name,
		Tenant:   p.Tenant,
		Route:    p.Route,
		Model:    p.Model,
		Version:  p.Version,
		By:       p.By,
		Why:      p.Why,
		SetAt:    time.UnixMilli(p.SetAtMs).UTC(),
		Revision: p.Revision,
	}
}

// listPins handles GET /pins.
func (a *api) listPins(w http.ResponseWriter, r *http.Request) {
	stored, ok := a.readStored(w, r)
	if !ok {
		return
	}
	list := PinList{Revision: stored.Pins.GetRevision(), Pins: []Pin{}}
	for _, p := range stored.Pins.GetPins() {
		pin := pinOf(p)
		pin.Hosts = &PinHosts{}
		pin.Hosts.Ready, pin.Hosts.OtherVersions = a.Pins.Ready(p.Model, p.Version)
		list.Pins = append(list.Pins, pin)
	}
	writeJSON(w, http.StatusOK, list)
}

// pinHistory handles GET /pins/history.
func (a *api) pinHistory(w http.ResponseWriter, r *http.Request) {
	stored, ok := a.readStored(w, r)
	if !ok {
		return
	}
	history := PinHistory{Changes: []PinChange{}}
	for _, c := range stored.PinHistory {
		history.Changes = append(history.Changes, PinChange{
			Revision: c.Revision,
			Lifted:   c.Lifted,
			Pin:      pinOf(c.Pin),
			By:       c.By,
			Why:      c.Why,
			At:       time.UnixMilli(c.AtMs).UTC(),
		})
	}
	writeJSON(w, http.StatusOK, history)
}

// changePin handles PUT and DELETE /pins/{name}. The order is acknowledged with 200 once it is in
// force on every router.
func (a *api) changePin(kind message.Order_Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		order, err := readPinOrder(w, r, kind)
		if err != nil {
			writeError(w, http.StatusBadRequest, "%v", err)
			return
		}
		if !a.Pins.Fenced() {
			writeError(w, http.StatusConflict, "an isolated router would not hold to pins: bounds.revocationClosed is not set")
			return
		}
		outcome, ok := a.submitOrder(w, r, order)
		if !ok {
			return
		}
		a.answerPinOrder(w, r, outcome, time.Now())
	}
}

// readPinOrder reads a call and checks all that can be checked without the configuration.
func readPinOrder(w http.ResponseWriter, r *http.Request, kind message.Order_Kind) (*message.Order, error) {
	text, err := readBody(w, r, maxPinBytes)
	if err != nil {
		return nil, err
	}
	call := &PinOrder{}
	if err := json.Unmarshal(text, call); err != nil {
		return nil, fmt.Errorf("the body is not a pin: %w", err)
	}
	base, err := readBase(r)
	if err != nil {
		return nil, err
	}
	pin := call.pin(mux.Vars(r)["name"])
	if err := checkPin(kind, pin); err != nil {
		return nil, err
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(pin)
	if err != nil {
		return nil, err
	}
	return &message.Order{Kind: kind, IfMatch: base, Body: body, AtMs: time.Now().UnixMilli()}, nil
}

func (o *PinOrder) pin(name string) *message.Pin {
	return &message.Pin{
		Name:    name,
		Tenant:  o.Tenant,
		Route:   o.Route,
		Model:   o.Model,
		Version: o.Version,
		By:      o.By,
		Why:     o.Why,
	}
}

func checkPin(kind message.Order_Kind, pin *message.Pin) error {
	if kind == message.Order_PIN_LIFT {
		return pins.CheckLift(pin)
	}
	return pins.Check(pin)
}

// answerPinOrder answers an order that the register has decided on by a time, once it is in force.
func (a *api) answerPinOrder(w http.ResponseWriter, r *http.Request, outcome *message.OrderReply, committed time.Time) {
	out := PinOutcome{Revision: outcome.Version, Text: outcome.Text}
	if outcome.Status != http.StatusOK {
		writeJSON(w, int(outcome.Status), rejectedPin{errorBody{outcome.Text}, out})
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), pinWaitTimeout)
	defer cancel()
	if out.InForce = a.Pins.InForce(ctx, outcome.Version, committed); !out.InForce {
		w.Header().Set("Retry-After", pinRetryAfter)
		writeJSON(w, http.StatusAccepted, out)
		return
	}
	a.Log.Info("pins in force", "revision", out.Revision, "after", time.Since(committed))
	writeJSON(w, http.StatusOK, out)
}
