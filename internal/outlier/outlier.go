// Package outlier judges from what several callers saw of one server whether all of them had better avoid it for a while. It is pure: its
// user brings the sightings of failures, its own and those that others tell, and says what time it is, which must not go back.
//
// One witness is not enough, as its own path to the server may be at fault. What two saw within a short time counts, for a time that doubles
// with each suspicion that follows soon after the one before. Then the server is taken back, and the next two failures end that again.
package outlier

import (
	"cmp"
	"slices"
	"time"
)

const (
	// together is the longest time between the sightings of two witnesses that count together.
	together = 2 * time.Second
	// first and most bound how long a server is avoided.
	first = time.Second
	most  = 4 * time.Second
	// soon is how long after a suspicion another one is taken to have the same cause.
	soon = 4 * time.Second
	// mostSuspected is the part of all servers that may be avoided at once: one in so many.
	mostSuspected = 3
)

// Own is the witness that a caller is to itself. Others have other numbers.
const Own = -1

// Server is what is suspected of one server. Its zero value is trusted.
type Server struct {
	seen, began bool
	witness     int           // who saw it fail last
	at          time.Duration // when
	until       time.Duration // it is avoided
	span        time.Duration // for which it was, the last time
}

// Failed takes in that a witness saw the server fail.
func (s *Server) Failed(witness int, now time.Duration) {
	if s.At(now) {
		return // of tries that were under way
	}
	second := s.seen && s.witness != witness && now-s.at <= together
	s.seen, s.witness, s.at = true, witness, now
	if !second {
		return
	}
	if again := s.began && now-s.until <= soon; again {
		s.span = min(2*s.span, most)
	} else {
		s.span = first
	}
	s.began, s.until, s.seen = true, now+s.span, false
}

// At tells whether the server is to be avoided.
func (s *Server) At(now time.Duration) bool { return s.began && now < s.until }

// Trusted returns the servers that are not to be avoided. Where many are suspected only a part is avoided, those first that were for long, as
// they failed again and again: the others could not bear the load of all, and would be late and suspected in turn.
func Trusted[S any](all []S, of func(S) *Server, now time.Duration) []S {
	avoided := slices.DeleteFunc(slices.Clone(all), func(s S) bool { return !of(s).At(now) })
	if len(avoided) == 0 {
		return all
	}
	slices.SortStableFunc(avoided, func(a, b S) int { return cmp.Compare(of(b).span, of(a).span) })
	avoided = avoided[:min(len(avoided), len(all)/mostSuspected)]
	return slices.DeleteFunc(slices.Clone(all), func(s S) bool {
		return slices.ContainsFunc(avoided, func(o S) bool { return of(o) == of(s) })
	})
}
