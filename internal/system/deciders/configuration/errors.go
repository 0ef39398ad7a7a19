package configuration

import (
	"errors"
)

// SyntaxError reports that a configuration or patch can't be parsed. The control API answers with
// status 400.
type SyntaxError struct {
	Field  string // the field at fault, or the name of the text that can't be parsed
	Reason string
}

// Error implements error.
func (e *SyntaxError) Error() string { return e.Field + ": " + e.Reason }

// InvalidError reports that a configuration can be parsed but breaks a rule. The control API
// answers with status 400.
type InvalidError struct {
	Item   string // kind and name of the item at fault, such as route "a"
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Item + ": " + e.Field + ": " + e.Reason }

// ErrNoConfiguration reports that a patch can't be applied because no configuration is in force.
var ErrNoConfiguration = errors.New("no configuration is in force yet")
