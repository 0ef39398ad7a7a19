package outlier

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const sec = time.Second

// sighting is one failure that a witness saw.
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
		{name: "nothing seen", at: sec},
		{name: "one witness", failures: []failure{{0, 1}}, at: 0},
		{name: "one witness, over and over", failures: []failure{{0, 1}, {sec / 10, 1}, {sec / 5, 1}}, at: sec / 5},
		{name: "two witnesses", failures: []failure{{0, 1}, {sec / 10, 2}}, at: sec / 2, ejected: true},
		{name: "oneself and another", failures: []failure{{0, LocalWitness}, {sec / 10, 2}}, at: sec / 2, ejected: true},
		{name: "two witnesses long apart", failures: []failure{{0, 1}, {3 * sec, 2}}, at: 3 * sec},
		{name: "taken back", failures: []failure{{0, 1}, {0, 2}}, at: sec},
		{name: "seen again soon: for longer", failures: []failure{{0, 1}, {0, 2}, {2 * sec, 1}, {2 * sec, 3}}, at: 7 * sec / 2, ejected: true},
		{name: "seen again much later: as at first", failures: []failure{{0, 1}, {0, 2}, {20 * sec, 1}, {20 * sec, 3}}, at: 43 * sec / 2},
		{name: "tries that were under way add nothing", failures: []failure{{0, 1}, {0, 2}, {sec / 2, 3}, {sec / 2, 4}}, at: 11 * sec / 10},
		{name: "of a suspicion that is over nothing is left", failures: []failure{{0, 1}, {0, 2}, {11 * sec / 10, 5}}, at: 11 * sec / 10},
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

// However often it is seen to fail, a server is taken back at least once in the longest span.
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
		times []int // that each server was suspected, the last time just now
		want  []int // that are trusted
	}{
		{"nobody is suspected", []int{0, 0, 0}, []int{0, 1, 2}},
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
