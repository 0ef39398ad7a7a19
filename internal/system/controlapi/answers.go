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

// FieldError reports a field or a header of a call that has an invalid value.
type FieldError struct {
	Field  string // name of the field in the body, or of the header
	Reason string // what is wrong with the value, and which values are allowed
}

// Error implements error. The text is one line.
func (e *FieldError) Error() string { return e.Field + " " + e.Reason }

// writeJSON answers with a status and a body, which it encodes as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		status, text = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(text)
}

// writeError answers with an error status and a line that states the reason.
func writeError(w http.ResponseWriter, status int, format string, args ...any) {
	writeJSON(w, status, errorBody{fmt.Sprintf(format, args...)})
}

// readBody reads the body of a call. If it is longer than maxBytes, the error wraps an
// *http.MaxBytesError.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	if err != nil {
		return nil, fmt.Errorf("the body can not be read: %w", err)
	}
	return body, nil
}
