package simulation

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
)

// The linearizability check rejects histories that are known to be wrong. A command with an unknown
// outcome may have been accepted or lost.
func TestCheckerRejectsWrongHistories(t *testing.T) {
	const unknown = "o" // the name of all commands; it counts as committed with version 1
	command := func(base int, began, ended time.Duration, a callOutcome) *call {
		return &call{command: &Command{Name: unknown, Base: base, Next: base + 1}, startedAt: began, endedAt: ended, done: ended > 0, verdict: a.verdict, version: a.version}
	}
	read := func(began, ended time.Duration, version int) *call {
		return &call{startedAt: began, endedAt: ended, done: true, verdict: Accepted, version: version}
	}
	accepted := func(version int) callOutcome { return callOutcome{Accepted, version} }
	rejected := func(version int) callOutcome { return callOutcome{Rejected, version} }
	for _, c := range []struct {
		name         string
		calls        []*call
		linearizable bool
	}{
		{"sequential calls", []*call{command(0, 1, 2, accepted(1)), read(3, 4, 1), command(1, 5, 6, accepted(2))}, true},
		{"a stale read", []*call{command(0, 1, 2, accepted(1)), read(3, 4, 0)}, false},
		{"a read concurrent with a command", []*call{command(0, 1, 4, accepted(1)), read(2, 3, 1), read(2, 3, 0)}, true},
		{"two commands on one version", []*call{command(0, 1, 2, accepted(1)), command(0, 1, 2, accepted(1))}, false},
		{"one of two is rejected", []*call{command(0, 1, 2, accepted(1)), command(0, 1, 3, rejected(1))}, true},
		{"rejected on the version in force", []*call{command(0, 1, 2, rejected(0))}, false},
		{"lost", []*call{command(0, 1, 2, accepted(1)), command(0, 3, 4, accepted(1))}, false},
		{"unknown, and accepted late", []*call{command(0, 1, 0, callOutcome{}), read(2, 3, 0), read(4, 5, 1)}, true},
		{"unknown, and lost again", []*call{command(0, 1, 0, callOutcome{}), read(2, 3, 1), read(4, 5, 0)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &History{calls: c.calls, committedVersions: map[string]int{unknown: 1}}
			is.Equal(h.linearizable() == porcupine.Ok, c.linearizable)
		})
	}
}
