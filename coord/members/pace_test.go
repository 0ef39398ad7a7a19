package members

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// mostStepsASecond bounds the steps of a decider by its own timer in a second of virtual time, while few members change.
const mostStepsASecond = 100

// pacedFleet is deciders in virtual time, each stepped when it asks to be, on links that may be cut one way.
type pacedFleet struct {
	t     *rapid.T
	now   time.Duration
	all   []*Decider
	lives []bool
	still []time.Duration // each stands still until then
	cut   map[[2]int]bool
	steps []int // by the timer, in the present second
}

// newPacedFleet has members begin at once. The last one may have the name of the first, so that it is refused.
func newPacedFleet(t *rapid.T, members int, twin bool) *pacedFleet {
	f := &pacedFleet{t: t, cut: map[[2]int]bool{}, still: make([]time.Duration, members), steps: make([]int, members), lives: make([]bool, members)}
	for i := range members {
		c := config(i+1, 1, 2)
		c.Seed = rapid.Uint64().Draw(t, "seed")
		if twin && i == members-1 {
			c.Name = f.all[0].c.Name
		}
		d, err := New(c, 0)
		if err != nil {
			t.Fatal(err)
		}
		f.all = append(f.all, d)
		f.lives[i] = true
	}
	return f
}

// step has a decider take an event, and brings what it sends to those that it reaches.
func (f *pacedFleet) step(i int, e Event) {
	d := f.all[i]
	for _, a := range slices.Clone(d.Step(f.now, e)) {
		s, ok := a.(Send)
		if !ok {
			continue
		}
		to := slices.IndexFunc(f.all, func(x *Decider) bool { return x.self.Addr == s.To })
		if to >= 0 && f.runs(to) && !f.cut[[2]int{i, to}] {
			f.step(to, Received{d.self.Addr, slices.Clone(s.Data)})
		}
	}
}

func (f *pacedFleet) runs(i int) bool { return f.lives[i] && f.now >= f.still[i] }

// run lets time pass: each decider is stepped when it asks to be, and has to name a later time then.
func (f *pacedFleet) run(span time.Duration) {
	end := f.now + span
	for f.now < end {
		i := f.first()
		if i < 0 || f.due(i) > end {
			break
		}
		f.pass(f.due(i))
		f.step(i, Passed{})
		if next := f.all[i].Next(); next <= f.now {
			f.t.Fatalf("member %d, %v, leaving %v: stepped at %v, it asks for %v", i, f.all[i].State(), f.all[i].leaving, f.now, next)
		}
		if f.steps[i]++; f.steps[i] > mostStepsASecond {
			f.t.Fatalf("member %d, %v, leaving %v: %d steps by its timer in a second", i, f.all[i].State(), f.all[i].leaving, f.steps[i])
		}
	}
	f.pass(end)
}

// pass sets the clock, and begins to count anew with each second.
func (f *pacedFleet) pass(now time.Duration) {
	if now/time.Second != f.now/time.Second {
		clear(f.steps)
	}
	f.now = max(f.now, now)
}

// due is when a decider is stepped next.
func (f *pacedFleet) due(i int) time.Duration { return max(f.all[i].Next(), f.still[i], f.now) }

// first is the decider that is stepped next, below 0 for none.
func (f *pacedFleet) first() int {
	first := -1
	for i := range f.all {
		if f.lives[i] && (first < 0 || f.due(i) < f.due(first)) {
			first = i
		}
	}
	return first
}

// LOST on a day of planned work alone: a router that was told to end did not pass the rest of an answer on for 4.5 s, until it was killed.
// A decider whose times for probes, suspicions and questions had passed while it was leaving still named them, nobody took them up any more,
// and its loop turned without pause from SIGTERM to the end, on a share of a core that the streams needed too. Virtual time hid it: a step that
// named no later time was put off by a microsecond there.
//
// Whatever happens, in each of its states, a decider that was stepped at the time that it named names a later one.
func TestNextIsLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 5).Draw(t, "members")
		f := newPacedFleet(t, members, members > 1 && rapid.Bool().Draw(t, "twin"))
		one := func() int { return rapid.IntRange(0, members-1).Draw(t, "who") }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				f.run(rapid.SampledFrom([]time.Duration{ms, 30 * ms, 300 * ms, 1500 * ms, 5 * time.Second}).Draw(t, "time"))
			},
			"one is told to end": func(t *rapid.T) {
				if i := one(); f.runs(i) {
					f.step(i, Leave{Replaced: rapid.Bool().Draw(t, "replaced")})
				}
			},
			"one crashes": func(t *rapid.T) {
				f.lives[one()] = false
				f.run(rapid.SampledFrom([]time.Duration{0, 3 * time.Second, 4 * time.Second, 5 * time.Second}).Draw(t, "until it is missed"))
			},
			"one stands still": func(t *rapid.T) {
				f.still[one()] = f.now + rapid.SampledFrom([]time.Duration{20 * ms, 300 * ms, 4 * time.Second}).Draw(t, "time")
			},
			"a link is cut one way": func(t *rapid.T) { f.cut[[2]int{one(), one()}] = true },
			"all links are whole":   func(*rapid.T) { clear(f.cut) },
			"one gets other seeds": func(*rapid.T) {
				if i := one(); f.runs(i) {
					f.step(i, Seeds{All: []netip.AddrPort{addr(1 + one())}})
				}
			},
			"foreign bytes come": func(t *rapid.T) {
				if i := one(); f.runs(i) {
					f.step(i, Received{addr(9), rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes")})
				}
			},
		})
		f.run(10 * time.Second)
	})
}
