package simulation

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"reachspread/coord/chain"
)

// Application is what is replicated: a machine with versions, each of which names the one before.
type Application interface {
	// New is a machine in its first state.
	New() chain.Machine
	// Version is that of a machine's state, 0 for none.
	Version(m chain.Machine) int
	// Order is the text of an order that makes one version of another.
	Encode(o Command) []byte
	// NameOf is the name of the order that a change was made of.
	NameOf(change []byte) string
	// Outcome reads the reply to an order.
	Outcome(reply []byte) (Outcome, error)
}

// Order makes a version of the one that it names.
type Command struct {
	Name string // no other order has it
	Base int
	Next int
}

// Verdict is what became of an order.
type Verdict int

// The verdicts.
const (
	Unknown Verdict = iota // it may have been taken, or may be later
	Accepted
	Rejected // it was not taken, and never will be
)

// Outcome is what a reply tells of an order.
type Outcome struct {
	Verdict Verdict
	Version int // Refused: the version that is in force
}

// mark names a state by all the changes that led to it.
type stateID uint64

// state is what the world knows of a state that a process had.
type stateRecord struct {
	version int
	command string // the order that made it
	parent  stateID
}

// tracked is a machine that names its states, and tells the world of them.
type trackedMachine struct {
	chain.Machine
	world *World
	at    stateID
}

func newTrackedMachine(w *World) *trackedMachine {
	return &trackedMachine{Machine: w.Application.New(), world: w}
}

// Apply implements chain.Machine.
func (t *trackedMachine) Apply(change []byte) {
	t.Machine.Apply(change)
	before := t.at
	t.at = stateID(xxhash.Sum64(append(binary.BigEndian.AppendUint64(nil, uint64(before)), change...)))
	t.world.History.states[t.at] = stateRecord{t.version(), t.world.Application.NameOf(change), before}
}

// Value implements chain.Machine.
func (t *trackedMachine) Value() any { return t.at }

// Snapshot implements chain.Machine.
func (t *trackedMachine) Snapshot() []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(t.at)), t.Machine.Snapshot()...)
}

// Restore implements chain.Machine.
func (t *trackedMachine) Restore(text []byte) error {
	at, rest, err := splitSnapshot(text)
	if err != nil {
		return err
	}
	if err := t.Machine.Restore(rest); err != nil {
		return err
	}
	t.at = at
	return nil
}

func splitSnapshot(text []byte) (at stateID, rest []byte, err error) {
	if len(text) < 8 {
		return 0, nil, fmt.Errorf("simulation: a snapshot of %d bytes", len(text))
	}
	return stateID(binary.BigEndian.Uint64(text)), text[8:], nil
}

func (t *trackedMachine) version() int { return t.world.Application.Version(t.Machine) }
