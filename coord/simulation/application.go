package simulation

import (
	"reachspread/coord/chain"
)

// Application is the replicated state machine of a run. Its state has a version, and each version
// builds on the previous one.
type Application interface {
	// New returns a machine in its initial state.
	New() chain.Machine
	// Version returns the version of a machine's state, 0 for the initial one.
	Version(m chain.Machine) int
	// Encode returns the text of a command.
	Encode(c Command) []byte
	// NameOf returns the name of the command that led to a change.
	NameOf(change []byte) string
	// Outcome parses the reply to a command.
	Outcome(reply []byte) (Outcome, error)
}

// Command changes version Base of the state into version Next.
type Command struct {
	Name string // unique
	Base int
	Next int
}

// Verdict is the result of a command.
type Verdict int

// The verdicts.
const (
	Unknown  Verdict = iota // the command may have been accepted, or may still be accepted later
	Accepted                // the command was committed
	Rejected                // the command wasn't accepted, and never will be
)

// Outcome is a reply to a command.
type Outcome struct {
	Verdict Verdict
	Version int // if Rejected, the version in force
}
