package pins

import "fmt"

// FieldError reports an invalid field of a pin. The control API answers with status 400.
type FieldError struct{ Field, Reason string }

// Error implements error.
func (e *FieldError) Error() string { return "pin: " + e.Field + ": " + e.Reason }

// OverlapError reports that the scope of a new pin overlaps with the scope of another pin in force.
// The control API answers with status 409.
type OverlapError struct{ New, Other string }

// Error implements error.
func (e *OverlapError) Error() string {
	return fmt.Sprintf("pin %s overlaps with pin %s, which is in force: lift that one first, or narrow the scope", e.New, e.Other)
}

// UnknownError reports that no pin with the given name is in force. The control API answers with
// status 404.
type UnknownError struct{ Name string }

// Error implements error.
func (e *UnknownError) Error() string { return "no pin " + e.Name + " is in force" }
