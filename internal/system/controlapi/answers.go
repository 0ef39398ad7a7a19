package controlapi

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// errorBody is the body of an answer that is not a success.
type errorBody struct {
	Error string `json:"error"`
}

// FieldError is a field of a call that can't be used.
type FieldError struct {
	Field  string // as it is written in the body, or the header's name
	Reason string // what is wrong, and what it must be
}

// Error implements error, in one line.
func (e *FieldError) Error() string { return e.Field + " " + e.Reason }

// writeJSON answers with a status and a body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(text)
}

// writeError answers with a status that is not a success, and a line that says why.
func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, errorBody{fmt.Sprintf(format, args...)})
}

// readBody reads a body of at most maxBytes. A longer one is an *http.MaxBytesError.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return nil, fmt.Errorf("the body can not be read: %w", err)
	}
	return body, nil
}
