package configuration

import (
	"errors"
	"fmt"
	"net/http"
	"slices"

	"google.golang.org/protobuf/proto"

	"reachspread/internal/system/deciders/pins"
	"reachspread/internal/system/message"
)

// isPinOrder reports whether an order changes the pins instead of the configuration.
func isPinOrder(o *message.Order) bool {
	return o.Kind == message.Order_PIN_SET || o.Kind == message.Order_PIN_LIFT
}

// decidePin implements Decide for an order that changes the pins.
func (s *Store) decidePin(order *message.Order) (change, reply []byte) {
	current := s.state.Pins()
	if order.IfMatch != current.Revision {
		text := fmt.Sprintf("revision %d of the pins is in force, not %d", current.Revision, order.IfMatch)
		return nil, s.pinReply(rejectionStatus(order.IfMatch, current.Revision), text)
	}
	next, _, err := s.nextPins(order)
	if err != nil {
		return nil, s.pinReply(pinErrorStatus(err), err.Error())
	}
	d := digest(order)
	change, err = proto.Marshal(&message.Change{Order: order, Digest: d[:]})
	if err != nil {
		return nil, s.pinReply(http.StatusInternalServerError, err.Error())
	}
	return change, marshalReply(&message.OrderReply{Status: http.StatusOK, Version: next.Revision})
}

func (s *Store) pinReply(status int, text string) []byte {
	return marshalReply(&message.OrderReply{Status: int32(status), Text: text, Version: s.state.Pins().Revision})
}

// pinErrorStatus returns the HTTP status for an order that is rejected because of an error of
// nextPins.
func pinErrorStatus(err error) int {
	var overlap *pins.OverlapError
	var unknown *pins.UnknownError
	switch {
	case errors.As(err, &overlap):
		return http.StatusConflict
	case errors.As(err, &unknown):
		return http.StatusNotFound
	}
	return http.StatusBadRequest
}

// nextPins returns the pins after an order and the entry for the pin history.
func (s *Store) nextPins(order *message.Order) (*pins.Set, *message.PinChange, error) {
	pin := &message.Pin{}
	if err := proto.Unmarshal(order.Body, pin); err != nil {
		return nil, nil, &pins.FieldError{Field: "body", Reason: err.Error()}
	}
	current := s.state.Pins()
	entry := &message.PinChange{By: pin.By, Why: pin.Why, AtMs: order.AtMs}
	if order.Kind == message.Order_PIN_LIFT {
		if err := pins.CheckLift(pin); err != nil {
			return nil, nil, err
		}
		next, err := current.Remove(pin.Name)
		if err != nil {
			return nil, nil, err
		}
		entry.Lifted, entry.Pin, entry.Revision = true, current.ByName(pin.Name), next.Revision
		return next, entry, nil
	}
	if err := s.checkScope(pin); err != nil {
		return nil, nil, err
	}
	pin.SetAtMs = order.AtMs
	next, err := current.Add(pin)
	if err != nil {
		return nil, nil, err
	}
	entry.Pin, entry.Revision = next.ByName(pin.Name), next.Revision
	return next, entry, nil
}

// checkScope validates that all routers can enforce a pin. The requests in its scope must need API
// keys, because an isolated router stops accepting API keys and therefore serves no such request by
// outdated pins.
func (s *Store) checkScope(pin *message.Pin) error {
	if s.state == nil || !s.state.Typed.RequiresAPIKeys() {
		return &pins.FieldError{Field: "tenant", Reason: "the configuration has no tenants; only requests with keys can be pinned"}
	}
	if pin.Tenant != "" && s.state.Typed.TenantNamed(pin.Tenant) == nil {
		return &pins.FieldError{Field: "tenant", Reason: fmt.Sprintf("%q is not in the configuration", pin.Tenant)}
	}
	if pin.Route == "" {
		return nil
	}
	route := s.state.Typed.RouteNamed(pin.Route)
	switch {
	case route == nil:
		return &pins.FieldError{Field: "route", Reason: fmt.Sprintf("%q is not in the configuration", pin.Route)}
	case route.Public:
		return &pins.FieldError{Field: "route", Reason: fmt.Sprintf("%q is public; only requests with keys can be pinned", pin.Route)}
	}
	return nil
}

// applyPin implements Apply for an order that changes the pins. It reports whether it applied the
// order.
func (s *Store) applyPin(order *message.Order) (ok bool) {
	next, entry, err := s.nextPins(order)
	if err != nil {
		return false // Decide has checked the order; a failure here occurs on all members alike
	}
	s.state = s.state.WithPins(next)
	s.pinHistory = append(s.pinHistory, entry)
	if excess := len(s.pinHistory) - pins.MaxChanges; excess > 0 {
		s.pinHistory = slices.Delete(s.pinHistory, 0, excess)
	}
	return true
}
