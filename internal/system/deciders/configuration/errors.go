package configuration

import (
	"errors"
)

// SyntaxError is returned for a configuration or patch that can't be parsed. The control API
// answers 400.
type SyntaxError struct {
	Field  string // at fault
	Reason string
}

// Error implements error.
func (e *SyntaxError) Error() string { return e.Field + ": " + e.Reason }

// InvalidError is returned for a configuration that can be parsed and breaks a rule. The control
// API answers 400.
type InvalidError struct {
	Item   string // kind and name, such as route "a"
	Field  string
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string { return e.Item + ": " + e.Field + ": " + e.Reason }

// ErrNoConfiguration is returned for a patch while no configuration is in force.
var ErrNoConfiguration = errors.New("no configuration is in force yet")
