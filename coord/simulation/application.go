package simulation

import (
	"reachspread/coord/chain"
)

// Application is the replicated state machine of a run: one with versions, each of which builds
// on the one before.
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

// Command makes version Next of version Base.
type Command struct {
	Name string // unique
	Base int
	Next int
}

// Verdict is what became of a command.
type Verdict int

// The verdicts.
const (
	Unknown  Verdict = iota // it may have been accepted, or may be later
	Accepted                // it was committed
	Rejected                // it wasn't accepted, and never will be
)

// Outcome is a reply to a command.
type Outcome struct {
	Verdict Verdict
	Version int // that is in force, if Rejected
}
