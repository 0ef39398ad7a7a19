package simulation

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"reachspread/coord/chain"
)

// stateID identifies a state by a hash of all the changes that led to it.
type stateID uint64

// stateRecord describes a state that a process had.
type stateRecord struct {
	version int
	command string // the name of the command that led to this state
	parent  stateID
}

// trackedMachine wraps a machine of the Application. It assigns an ID to each state and records the
// state in the History.
type trackedMachine struct {
	chain.Machine
	world *World
	at    stateID
}

// newTrackedMachine returns a machine in its initial state.
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

// splitSnapshot splits the snapshot of a trackedMachine into its state's id and the
// application's snapshot.
func splitSnapshot(text []byte) (at stateID, rest []byte, err error) {
	if len(text) < 8 {
		return 0, nil, fmt.Errorf("simulation: a snapshot has %d bytes; it needs at least 8", len(text))
	}
	return stateID(binary.BigEndian.Uint64(text)), text[8:], nil
}

func (t *trackedMachine) version() int { return t.world.Application.Version(t.Machine) }
