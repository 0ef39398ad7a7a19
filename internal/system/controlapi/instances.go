package controlapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/gorilla/mux"

	"reachspread/internal/system/message"
)

// maxInstanceBytes is the maximum length of the body of a host's call.
const maxInstanceBytes = 64 << 10

// registration is the body of a host's call. Fractions of numbers are dropped, and the numbers of
// the host itself count as 0 if they are negative.
type registration struct {
	Service              string            `json:"service"`
	Address              string            `json:"address"`
	Zone                 string            `json:"zone"`
	Version              string            `json:"version"` // version of the host's software
	Slots                float64           `json:"slots"`
	State                string            `json:"state"` // ready or draining
	SlowStartRemainingMs float64           `json:"coldRemainingMs"`
	Sequence             float64           `json:"sequence"` // orders the calls of a host
	Stage                string            `json:"stage"`    // stage of serving, passed to Hosts unchanged
	Models               []registeredModel `json:"models"`
}

// registeredModel is a model that a host has loaded.
type registeredModel struct {
	Name    string  `json:"name"`
	Version float64 `json:"version"`
}

// registrationAnswer is the body of the answer to a host's call.
type registrationAnswer struct {
	HeartbeatAddress string `json:"heartbeatAddress,omitempty"` // address for the host's later calls
}

// The states that a host may report.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

// instance validates a registration and converts it. The error is a *FieldError.
func (r *registration) instance(id string) (*message.Instance, error) {
	if r.Service == "" {
		return nil, &FieldError{"service", "is missing"}
	}
	if r.Address == "" {
		return nil, &FieldError{"address", "is missing"}
	}
	state, err := r.instanceState()
	if err != nil {
		return nil, err
	}
	in := &message.Instance{
		Id:              id,
		Service:         r.Service,
		Address:         r.Address,
		Zone:            r.Zone,
		Software:        r.Version,
		Slots:           uint32(max(r.Slots, 0)),
		Sequence:        uint64(max(r.Sequence, 0)),
		ColdRemainingMs: uint32(max(r.SlowStartRemainingMs, 0)),
		Stage:           r.Stage,
		State:           state,
	}
	for _, m := range r.Models {
		in.Models = append(in.Models, &message.Model{Name: m.Name, Version: int64(m.Version)})
	}
	return in, nil
}

func (r *registration) instanceState() (message.Instance_State, error) {
	switch r.State {
	case stateReady:
		return message.Instance_READY, nil
	case stateDraining:
		return message.Instance_DRAINING, nil
	}
	return 0, &FieldError{"state", fmt.Sprintf("is %q; it must be %s or %s", r.State, stateReady, stateDraining)}
}

// heartbeat handles PUT /instances/{id}, with which a host registers and renews its registration.
func (a *api) heartbeat(w http.ResponseWriter, r *http.Request) {
	in, err := readInstance(w, r)
	if err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), hostCallTimeout)
	defer cancel()
	next, ok := a.Hosts.Heartbeat(ctx, in)
	if !ok {
		writeNotReplicated(w)
		return
	}
	writeJSON(w, http.StatusOK, registrationAnswer{next})
}

func readInstance(w http.ResponseWriter, r *http.Request) (*message.Instance, error) {
	body, err := readBody(w, r, maxInstanceBytes)
	if err != nil {
		return nil, err
	}
	call := &registration{}
	if err := json.Unmarshal(body, call); err != nil {
		return nil, fmt.Errorf("the body is not a registration: %w", err)
	}
	return call.instance(mux.Vars(r)["id"])
}

// remove handles DELETE /instances/{id}, with which a host reports that it shuts down.
func (a *api) remove(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), hostCallTimeout)
	defer cancel()
	if !a.Hosts.Remove(ctx, mux.Vars(r)["id"]) {
		writeNotReplicated(w)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

// writeNotReplicated answers a host's call that was not replicated to another router in time and so
// can't be acknowledged.
func writeNotReplicated(w http.ResponseWriter) {
	writeError(w, http.StatusServiceUnavailable, "no other router has it yet")
}
