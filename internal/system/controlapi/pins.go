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
	// maxPinBytes is the maximum length of the body of an order that changes a pin.
	maxPinBytes = 16 << 10
	// pinWaitTimeout is how long a call waits for a change of the pins to come into force on all
	// routers. After that the call is answered with 202, and the caller may send the same order
	// again after pinRetryAfter.
	pinWaitTimeout = 8 * time.Second
	pinRetryAfter  = "0.1" // seconds
)

// Pins reports when changes of the version pins are in force.
type Pins interface {
	// Fenced reports whether an isolated router stops honouring API keys and pins. If it does not,
	// a change of the pins can't be known to be in force on every router.
	Fenced() bool
	// InForce waits until no router applies pins older than a revision. The revision was committed
	// before the given time. Ok is false if ctx ends first.
	InForce(ctx context.Context, revision int64, committed time.Time) (ok bool)
	// Ready returns how many ready hosts have a version of a model, and how many have other versions
	// of it, as far as this router knows.
	Ready(model string, version int64) (with, without int)
}

// PinOrder is the body of a call that sets or lifts a pin.
type PinOrder struct {
	Tenant  string `json:"tenant,omitempty"` // empty for all tenants
	Route   string `json:"route,omitempty"`  // empty for all routes
	Model   string `json:"model,omitempty"`
	Version int64  `json:"version,omitempty"`
	By      string `json:"by"`
	Why     string `json:"why"`
}

// PinOutcome is the answer to a call that sets or lifts a pin.
type PinOutcome struct {
	Revision int64 `json:"revision"` // revision of the pins that contains the order
	// InForce reports whether the order is in force on every router. If it is false in a 202 answer,
	// the order was accepted, and the caller should send it again.
	InForce bool   `json:"inForce"`
	Text    string `json:"text,omitempty"`
}

// rejectedPin is the body of the answer to an order on a pin that the register has rejected.
type rejectedPin struct {
	errorBody
	PinOutcome
}

// Pin is a version pin that is or was in force.
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
	Hosts    *PinHosts `json:"hosts,omitempty"` // only for a pin in force
}

// PinHosts counts the ready hosts of a pin's model, as far as the answering router knows them.
type PinHosts struct {
	Ready         int `json:"ready"`  // hosts with the pin's version
	OtherVersions int `json:"others"` // hosts with other versions of the model
}

// PinList is the body of the answer to GET /pins.
type PinList struct {
	Revision int64 `json:"revision"`
	Pins     []Pin `json:"pins"`
}

// PinChange records that a pin was set or lifted, by whom and why.
type PinChange struct {
	Revision int64     `json:"revision"`
	Lifted   bool      `json:"lifted"`
	Pin      Pin       `json:"pin"`
	By       string    `json:"by"`
	Why      string    `json:"why"`
	At       time.Time `json:"at"`
}

// PinHistory is the body of the answer to GET /pins/history. The oldest change is first.
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

// listPins handles GET /pins. It answers with the pins in force and counts of their hosts.
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

// pinHistory handles GET /pins/history. It answers with the changes of pins that the register keeps.
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

// changePin handles PUT and DELETE /pins/{name}. It answers 200 only once the order is in force on
// every router.
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

// readPinOrder reads the order of a call. It validates everything that can be validated without the
// configuration.
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

// answerPinOrder answers an order after the register's decision. If the register has accepted the
// order, answerPinOrder waits until it is in force on every router, for at most pinWaitTimeout. The
// register decided before the time committed.
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
