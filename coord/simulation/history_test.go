package simulation

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
)

// Histories known to be wrong are found, and those with an unknown outcome are judged for both of its cases.
func TestChecker(t *testing.T) {
	const unknown = "o" // the order that made version 1, where its answer never came
	order := func(on int, began, ended time.Duration, a callOutcome) *call {
		return &call{command: &Command{Name: unknown, Base: on, Next: on + 1}, startedAt: began, endedAt: ended, done: ended > 0, verdict: a.verdict, version: a.version}
	}
	read := func(began, ended time.Duration, version int) *call {
		return &call{startedAt: began, endedAt: ended, done: true, verdict: Accepted, version: version}
	}
	taken := func(version int) callOutcome { return callOutcome{Accepted, version} }
	refused := func(version int) callOutcome { return callOutcome{Rejected, version} }
	for _, c := range []struct {
		name  string
		calls []*call
		right bool
	}{
		{"one after the other", []*call{order(0, 1, 2, taken(1)), read(3, 4, 1), order(1, 5, 6, taken(2))}, true},
		{"a stale read", []*call{order(0, 1, 2, taken(1)), read(3, 4, 0)}, false},
		{"a read beside an order", []*call{order(0, 1, 4, taken(1)), read(2, 3, 1), read(2, 3, 0)}, true},
		{"two orders on one version", []*call{order(0, 1, 2, taken(1)), order(0, 1, 2, taken(1))}, false},
		{"one of two is refused", []*call{order(0, 1, 2, taken(1)), order(0, 1, 3, refused(1))}, true},
		{"refused on the version in force", []*call{order(0, 1, 2, refused(0))}, false},
		{"lost", []*call{order(0, 1, 2, taken(1)), order(0, 3, 4, taken(1))}, false},
		{"unknown, and taken late", []*call{order(0, 1, 0, callOutcome{}), read(2, 3, 0), read(4, 5, 1)}, true},
		{"unknown, and gone again", []*call{order(0, 1, 0, callOutcome{}), read(2, 3, 1), read(4, 5, 0)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := &History{calls: c.calls, committedVersions: map[string]int{unknown: 1}}
			is.Equal(h.linearizable() == porcupine.Ok, c.right)
		})
	}
}
