package outlier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const sec = time.Second

// failure is one failure of the server that a witness saw.
type failure struct {
	at      time.Duration
	witness int
}

func TestTwoWitnessesEjectAServer(t *testing.T) {
	for _, c := range []struct {
		name     string
		failures []failure
		at       time.Duration
		ejected  bool
	}{
		{name: "no failure", at: sec},
		{name: "one witness", failures: []failure{{0, 1}}, at: 0},
		{name: "one witness, three times", failures: []failure{{0, 1}, {sec / 10, 1}, {sec / 5, 1}}, at: sec / 5},
		{name: "two witnesses", failures: []failure{{0, 1}, {sec / 10, 2}}, at: sec / 2, ejected: true},
		{name: "the local router and another witness", failures: []failure{{0, LocalWitness}, {sec / 10, 2}}, at: sec / 2, ejected: true},
		{name: "two witnesses outside the witness window", failures: []failure{{0, 1}, {3 * sec, 2}}, at: 3 * sec},
		{name: "the ejection is over", failures: []failure{{0, 1}, {0, 2}}, at: sec},
		{name: "ejected again soon: for longer", failures: []failure{{0, 1}, {0, 2}, {2 * sec, 1}, {2 * sec, 3}}, at: 7 * sec / 2, ejected: true},
		{name: "ejected again much later: for the minimum time", failures: []failure{{0, 1}, {0, 2}, {20 * sec, 1}, {20 * sec, 3}}, at: 43 * sec / 2},
		{name: "failures during an ejection are ignored", failures: []failure{{0, 1}, {0, 2}, {sec / 2, 3}, {sec / 2, 4}}, at: 11 * sec / 10},
		{name: "failures before an ejection do not count after it", failures: []failure{{0, 1}, {0, 2}, {11 * sec / 10, 5}}, at: 11 * sec / 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s State
			for _, f := range c.failures {
				s.RecordFailure(f.witness, f.at)
			}
			is.Equal(s.Ejected(c.at), c.ejected)
		})
	}
}

// However often a server fails, no ejection lasts longer than maxEjectionTime.
func TestEjectionIsBounded(t *testing.T) {
	is := is.New(t)
	var s State
	ejectedFor := time.Duration(0)
	for now := time.Duration(0); now < 100*sec; now += 10 * time.Millisecond {
		s.RecordFailure(int(now/(10*time.Millisecond))%7, now)
		if !s.Ejected(now) {
			ejectedFor = 0
			continue
		}
		ejectedFor += 10 * time.Millisecond
		is.True(ejectedFor <= maxEjectionTime)
	}
}

func TestOnlySomeOfManyAreLeftOut(t *testing.T) {
	eject := func(s *State, times int) {
		for i := range times {
			at := time.Duration(i) * maxEjectionTime
			s.RecordFailure(1, at)
			s.RecordFailure(2, at)
		}
	}
	for _, c := range []struct {
		name  string
		times []int // how often each server was ejected; every server with a number above 0 is ejected now
		want  []int // servers that are not left out
	}{
		{"none is ejected", []int{0, 0, 0}, []int{0, 1, 2}},
		{"one of three", []int{0, 1, 0}, []int{0, 2}},
		{"one of two", []int{1, 0}, []int{0, 1}},
		{"two of three: the one that failed more often", []int{1, 2, 0}, []int{0, 2}},
		{"all of six", []int{1, 2, 1, 1, 3, 1}, []int{0, 2, 3, 5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const now = 3 * maxEjectionTime
			servers := make([]State, len(c.times))
			all := make([]int, len(c.times))
			for i, times := range c.times {
				all[i] = i
				eject(&servers[i], times)
				if times > 0 {
					servers[i].ejectedUntil = now + sec
				}
			}
			is.Equal(WithoutEjected(all, func(i int) *State { return &servers[i] }, now), c.want)
		})
	}
}
