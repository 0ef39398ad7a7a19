// Package outlier detects servers that several routers saw fail, so that all routers avoid such a
// server for a while. The package reads no clock and does no I/O: the caller passes the failures that
// it saw itself or that other routers reported, and the time, which must not go back.
//
// A failure that one router (a witness) saw does not eject a server, because the router's own network
// path to the server may be at fault. If two witnesses see a failure within a short time, the server
// is ejected. The ejection time doubles with each ejection that follows soon after the previous one.
// When it is over, the server is used again until two witnesses see the next failures.
package outlier

import (
	"cmp"
	"slices"
	"time"
)

const (
	// witnessWindow is the longest time between two failures, seen by different witnesses, that eject
	// a server.
	witnessWindow = 2 * time.Second
	// minEjectionTime and maxEjectionTime bound how long a server is ejected.
	minEjectionTime = time.Second
	maxEjectionTime = 4 * time.Second
	// recurrenceWindow is how long after the end of an ejection a new ejection is assumed to have the
	// same cause.
	recurrenceWindow = 4 * time.Second
	// maxEjectedDivisor limits how many servers are left out at once: one in maxEjectedDivisor.
	maxEjectedDivisor = 3
)

// LocalWitness is the witness number of the local router. No other router has this number.
const LocalWitness = -1

// State holds the failures and the ejection of one server. A server with the zero value is not
// ejected.
type State struct {
	hasWitness, everEjected bool
	lastWitness             int           // witness of the last failure
	lastFailureAt           time.Duration // time of the last failure
	ejectedUntil            time.Duration // end of the last ejection, 0 for none
	ejectionTime            time.Duration // length of the last ejection
}

// RecordFailure records that a witness saw the server fail. It ejects the server if another witness
// saw the previous failure within witnessWindow.
func (s *State) RecordFailure(witness int, now time.Duration) {
	if s.Ejected(now) {
		return // the failed attempt was already in flight when the server was ejected
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

// Ejected reports whether the server is ejected at the time now.
func (s *State) Ejected(now time.Duration) bool { return s.everEjected && now < s.ejectedUntil }

// WithoutEjected returns all servers except ejected ones. It leaves out at most one server in
// maxEjectedDivisor, because the remaining servers could not carry the load of more, and would be
// ejected in turn. If more servers are ejected, it leaves out those with the longest ejection time,
// because these failed repeatedly. Function stateOf returns the state of a server.
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
