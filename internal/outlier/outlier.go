// Package outlier detects servers that several routers saw fail, so that all of them avoid it for a
// while. It is pure: its user brings the failures, its own and those that others report, and the
// time, which must not go back.
//
// One witness is not enough, as its own path to the server may be at fault. If two see a failure
// within a short time, the server is ejected for a time that doubles with each ejection soon after
// the one before. After it the server is used again, until the next two failures.
package outlier

import (
	"cmp"
	"slices"
	"time"
)

const (
	// witnessWindow is the longest time between the failures of two witnesses that eject a server.
	witnessWindow = 2 * time.Second
	// minEjectionTime and maxEjectionTime bound how long a server is ejected.
	minEjectionTime = time.Second
	maxEjectionTime = 4 * time.Second
	// recurrenceWindow is how long after an ejection another one is taken to have the same cause.
	recurrenceWindow = 4 * time.Second
	// maxEjectedDivisor bounds the servers that are ejected at once: one in so many.
	maxEjectedDivisor = 3
)

// LocalWitness is the number of the local router as a witness. Others have other numbers.
const LocalWitness = -1

// State is the state of one server. Its zero value is not ejected.
type State struct {
	hasWitness, everEjected bool
	lastWitness             int           // that saw it fail last
	lastFailureAt           time.Duration // when
	ejectedUntil            time.Duration // 0 for never
	ejectionTime            time.Duration // the last one
}

// RecordFailure records that a witness saw the server fail.
func (s *State) RecordFailure(witness int, now time.Duration) {
	if s.Ejected(now) {
		return // of an attempt that was in flight
	}
	confirmed := s.hasWitness && s.lastWitness != witness && now-s.lastFailureAt <= witnessWindow
	s.hasWitness, s.lastWitness, s.lastFailureAt = true, witness, now
	if !confirmed {
		return
	}
	recurring := s.everEjected && now-s.ejectedUntil <= recurrenceWindow
	if recurring {
		s.ejectionTime = min(2*s.ejectionTime, maxEjectionTime)
	} else {
		s.ejectionTime = minEjectionTime
	}
	s.everEjected, s.ejectedUntil, s.hasWitness = true, now+s.ejectionTime, false
}

// Ejected reports whether the server is ejected at a time.
func (s *State) Ejected(now time.Duration) bool { return s.everEjected && now < s.ejectedUntil }

// WithoutEjected returns the servers that are not ejected. Of many that are, only some are left
// out, those with the longest ejection first, as they failed again and again: the others could not
// bear the load of all, and would be ejected in turn.
func WithoutEjected[S any](all []S, stateOf func(S) *State, now time.Duration) []S {
	ejected := slices.DeleteFunc(slices.Clone(all), func(s S) bool { return !stateOf(s).Ejected(now) })
	if len(ejected) == 0 {
		return all
	}
	slices.SortStableFunc(ejected, func(a, b S) int { return cmp.Compare(stateOf(b).ejectionTime, stateOf(a).ejectionTime) })
	ejected = ejected[:min(len(ejected), len(all)/maxEjectedDivisor)]
	return slices.DeleteFunc(slices.Clone(all), func(s S) bool {
		return slices.ContainsFunc(ejected, func(o S) bool { return stateOf(o) == stateOf(s) })
	})
}
