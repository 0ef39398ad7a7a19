package suspicion

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const sec = time.Second

// sighting is one failure that a witness saw.
type sighting struct {
	at      time.Duration
	witness int
}

func TestWitnesses(t *testing.T) {
	for _, c := range []struct {
		name    string
		seen    []sighting
		at      time.Duration
		avoided bool
	}{
		{name: "nothing seen", at: sec},
		{name: "one witness", seen: []sighting{{0, 1}}, at: 0},
		{name: "one witness, over and over", seen: []sighting{{0, 1}, {sec / 10, 1}, {sec / 5, 1}}, at: sec / 5},
		{name: "two witnesses", seen: []sighting{{0, 1}, {sec / 10, 2}}, at: sec / 2, avoided: true},
		{name: "oneself and another", seen: []sighting{{0, Own}, {sec / 10, 2}}, at: sec / 2, avoided: true},
		{name: "two witnesses long apart", seen: []sighting{{0, 1}, {3 * sec, 2}}, at: 3 * sec},
		{name: "taken back", seen: []sighting{{0, 1}, {0, 2}}, at: sec},
		{name: "seen again soon: for longer", seen: []sighting{{0, 1}, {0, 2}, {2 * sec, 1}, {2 * sec, 3}}, at: 7 * sec / 2, avoided: true},
		{name: "seen again much later: as at first", seen: []sighting{{0, 1}, {0, 2}, {20 * sec, 1}, {20 * sec, 3}}, at: 43 * sec / 2},
		{name: "tries that were under way add nothing", seen: []sighting{{0, 1}, {0, 2}, {sec / 2, 3}, {sec / 2, 4}}, at: 11 * sec / 10},
		{name: "of a suspicion that is over nothing is left", seen: []sighting{{0, 1}, {0, 2}, {11 * sec / 10, 5}}, at: 11 * sec / 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var s Server
			for _, one := range c.seen {
				s.Failed(one.witness, one.at)
			}
			is.Equal(s.At(c.at), c.avoided)
		})
	}
}

// However often it is seen to fail, a server is taken back at least once in the longest span.
func TestTakenBackForEver(t *testing.T) {
	is := is.New(t)
	var s Server
	avoided := time.Duration(0)
	for now := time.Duration(0); now < 100*sec; now += 10 * time.Millisecond {
		s.Failed(int(now/(10*time.Millisecond))%7, now)
		if !s.At(now) {
			avoided = 0
			continue
		}
		avoided += 10 * time.Millisecond
		is.True(avoided <= most)
	}
}

func TestOverdue(t *testing.T) {
	for _, c := range []struct {
		silent, expected float64
		want             bool
	}{
		{0.5, 0.01, false},
		{0.7, 0.01, true},
		{0.7, 0.5, false},
		{3, 0.5, true},
	} {
		is := is.New(t)
		var s Silence
		is.Equal(s.Overdue(c.silent, c.expected), c.want)
		is.Equal(s.Overdue(c.silent, c.expected), false) // once
	}
}

func TestTrusted(t *testing.T) {
	is := is.New(t)
	above := func(least int) func(int) bool { return func(x int) bool { return x > least } }
	is.Equal(Trusted([]int{1, 2, 3, 4}, above(3)), []int{1, 2, 3})
	is.Equal(Trusted([]int{1, 2, 3, 4}, above(2)), []int{1, 2})
	is.Equal(Trusted([]int{1, 2, 3, 4}, above(1)), []int{1, 2, 3, 4}) // most are suspected
	is.Equal(len(Trusted(nil, above(1))), 0)
}
