package pins

import "fmt"

// FieldError is returned for a pin with an invalid field. The control API answers 400.
type FieldError struct{ Field, Reason string }

// Error implements error.
func (e *FieldError) Error() string { return "pin: " + e.Field + ": " + e.Reason }

// OverlapError is returned for a pin whose scope overlaps with that of another pin in force. The
// control API answers 409.
type OverlapError struct{ New, Other string }

// Error implements error.
func (e *OverlapError) Error() string {
	return fmt.Sprintf("pin %s overlaps with pin %s, which is in force: lift that one first, or narrow the scope", e.New, e.Other)
}

// UnknownError is returned for the name of a pin that is not in force. The control API answers 404.
type UnknownError struct{ Name string }

// Error implements error.
func (e *UnknownError) Error() string { return "no pin " + e.Name + " is in force" }
