package controlapi

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"reachspread/internal/system/deciders/configuration"
	"reachspread/internal/system/message"
)

// maxConfigurationBytes is the maximum length of the body of an order that changes the
// configuration.
const maxConfigurationBytes = 16 << 20

// baseHeader is the header with the version that an order builds on.
const baseHeader = "If-Match"

// orderOutcome is the body of the answer to an order on which the register has decided.
type orderOutcome struct {
	Version int64  `json:"version"` // version that is in force after the decision
	Text    string `json:"text,omitempty"`
}

// readConfiguration handles GET /configuration. It answers with the newest configuration. If this
// router has the newest one, the register only confirms that and does not send it, because the
// transfer of a large configuration would take longer than the caller waits.
func (a *api) readConfiguration(w http.ResponseWriter, r *http.Request) {
	sequence, document := a.knownConfiguration()
	reply, ok := a.readRegister(w, r, sequence)
	if !ok {
		return
	}
	if !reply.Unchanged {
		stored, ok := decodeStored(w, reply)
		if !ok {
			return
		}
		document = stored.Document
	}
	if len(document) == 0 {
		writeError(w, http.StatusNotFound, "no configuration was put yet")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(document)
}

// knownConfiguration returns the newest configuration that this router has, with the sequence
// number of its state in the register. The number is 0 if the router has none.
func (a *api) knownConfiguration() (sequence uint64, document []byte) {
	if a.Known == nil {
		return 0, nil
	}
	return a.Known()
}

// changeConfiguration handles PUT and PATCH /configuration. It submits the order to the register,
// which decides on it.
func (a *api) changeConfiguration(kind message.Order_Kind) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(w, r, maxConfigurationBytes)
		var tooLong *http.MaxBytesError
		if errors.As(err, &tooLong) {
			writeError(w, http.StatusRequestEntityTooLarge, "the body is longer than %d bytes", maxConfigurationBytes)
			return
		}
		if err != nil {
			writeError(w, http.StatusBadRequest, "%v", err)
			return
		}
		base, err := readBase(r)
		if err != nil {
			writeError(w, http.StatusBadRequest, "%v", err)
			return
		}
		order := &message.Order{Kind: kind, IfMatch: base, Body: body}
		if err := checkOrder(order); err != nil {
			writeError(w, http.StatusBadRequest, "%v", err)
			return
		}
		a.answerOrder(w, r, order)
	}
}

// readBase reads the version of the configuration, or the revision of the pins, that an order
// builds on. The error is a *FieldError.
func readBase(r *http.Request) (int64, error) {
	text := r.Header.Get(baseHeader)
	base, err := strconv.ParseInt(strings.Trim(text, `" `), 10, 64)
	if err != nil {
		reason := fmt.Sprintf("is %q; it must be the version that the change builds on, 0 for the first", text)
		return 0, &FieldError{baseHeader, reason}
	}
	return base, nil
}

// checkOrder returns an error if an order is invalid whichever configuration is in force. The
// register can't have accepted such an order, so it is rejected without asking the register.
func checkOrder(order *message.Order) error {
	if order.Kind == message.Order_PATCH {
		_, err := configuration.ParsePatch(order.Body)
		return err
	}
	_, err := configuration.Next(nil, order)
	return err
}

// answerOrder submits an order to the register, and answers with the register's decision.
func (a *api) answerOrder(w http.ResponseWriter, r *http.Request, order *message.Order) {
	if outcome, ok := a.submitOrder(w, r, order); ok {
		writeJSON(w, int(outcome.Status), orderOutcome{outcome.Version, outcome.Text})
	}
}
