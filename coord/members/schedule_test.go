package members

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxStepsPerSecond is how often a Decider may ask to be stepped by its timer in one second of
// virtual time, in a fleet where few members change.
const maxStepsPerSecond = 100

// pacedFleet is a set of Deciders in virtual time. Each Decider is stepped exactly at the time that
// it requests. Links between Deciders may fail in one direction.
type pacedFleet struct {
	t            *rapid.T
	now          time.Duration
	deciders     []*Decider
	running      []bool
	stalledUntil []time.Duration // a Decider is not stepped before this time
	broken       map[[2]int]bool // failed links, by sender and receiver
	steps        []int           // steps by the timer in the current second
}

// newPacedFleet starts the given number of members at time 0. If duplicateName is set, the last
// member has the name of the first member, and the other members reject it.
func newPacedFleet(t *rapid.T, members int, duplicateName bool) *pacedFleet {
	f := &pacedFleet{t: t, broken: map[[2]int]bool{}, stalledUntil: make([]time.Duration, members), steps: make([]int, members), running: make([]bool, members)}
	for i := range members {
		c := config(i+1, 1, 2)
		c.RandomSeed = rapid.Uint64().Draw(t, "seed")
		if duplicateName && i == members-1 {
			c.Name = f.deciders[0].config.Name
		}
		d, err := New(c, 0)
		if err != nil {
			t.Fatal(err)
		}
		f.deciders = append(f.deciders, d)
		f.running[i] = true
	}
	return f
}

// step passes an event to a Decider and immediately delivers the datagrams that it sends.
func (f *pacedFleet) step(i int, e Event) {
	d := f.deciders[i]
	for _, a := range slices.Clone(d.Step(f.now, e)) {
		s, ok := a.(Send)
		if !ok {
			continue
		}
		to := slices.IndexFunc(f.deciders, func(x *Decider) bool { return x.self.Addr == s.To })
		if to >= 0 && f.isRunning(to) && !f.broken[[2]int{i, to}] {
			f.step(to, Received{d.self.Addr, slices.Clone(s.Data)})
		}
	}
}

// isRunning reports whether a member has neither crashed nor stalled.
func (f *pacedFleet) isRunning(i int) bool { return f.running[i] && f.now >= f.stalledUntil[i] }

// run advances the time by span. It steps each Decider at the time that Next returns, and checks
// that Next returns a later time after the step.
func (f *pacedFleet) run(span time.Duration) {
	end := f.now + span
	for f.now < end {
		i := f.nextDue()
		if i < 0 || f.dueAt(i) > end {
			break
		}
		f.advanceClock(f.dueAt(i))
		f.step(i, Tick{})
		if next := f.deciders[i].Next(); next <= f.now {
			f.t.Fatalf("member %d (state %v, shutting down %v) was stepped at %v, but Next() = %v is not later", i, f.deciders[i].State(), f.deciders[i].shuttingDown, f.now, next)
		}
		if f.steps[i]++; f.steps[i] > maxStepsPerSecond {
			f.t.Fatalf("member %d (state %v, shutting down %v) was stepped %d times by its timer in a second, which is more than maxStepsPerSecond", i, f.deciders[i].State(), f.deciders[i].shuttingDown, f.steps[i])
		}
	}
	f.advanceClock(end)
}

// advanceClock sets the clock and resets the step counts at the start of each second.
func (f *pacedFleet) advanceClock(now time.Duration) {
	if now/time.Second != f.now/time.Second {
		clear(f.steps)
	}
	f.now = max(f.now, now)
}

// dueAt returns the time at which a Decider is stepped next.
func (f *pacedFleet) dueAt(i int) time.Duration {
	return max(f.deciders[i].Next(), f.stalledUntil[i], f.now)
}

// nextDue returns the index of the running Decider that is stepped next, or -1 if none is running.
func (f *pacedFleet) nextDue() int {
	first := -1
	for i := range f.deciders {
		if f.running[i] && (first < 0 || f.dueAt(i) < f.dueAt(first)) {
			first = i
		}
	}
	return first
}

// In every state and after any events, a Decider that was stepped at the time of Next returns a
// later time from Next.
//
// This test guards against a busy loop. During planned restarts, a router that had received SIGTERM
// did not forward the rest of a response for 4.5 s, until it was killed. Its Decider was shutting
// down, but Next still returned the past times of probes and suspicions, which the Decider no
// longer ran. The router's loop therefore spun from SIGTERM until the process ended, and used a
// share of a core that the streams needed. The simulation in virtual time had hidden the fault,
// because it delayed a step by a microsecond if Next returned no later time.
func TestNextIsLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(1, 5).Draw(t, "members")
		f := newPacedFleet(t, members, members > 1 && rapid.Bool().Draw(t, "duplicate name"))
		anyMember := func() int { return rapid.IntRange(0, members-1).Draw(t, "member") }
		t.Repeat(map[string]func(*rapid.T){
			"time passes": func(t *rapid.T) {
				f.run(rapid.SampledFrom([]time.Duration{ms, 30 * ms, 300 * ms, 1500 * ms, 5 * time.Second}).Draw(t, "time"))
			},
			"one member shuts down": func(t *rapid.T) {
				if i := anyMember(); f.isRunning(i) {
					f.step(i, Leave{Replaced: rapid.Bool().Draw(t, "replaced")})
				}
			},
			"one member crashes": func(t *rapid.T) {
				f.running[anyMember()] = false
				f.run(rapid.SampledFrom([]time.Duration{0, 3 * time.Second, 4 * time.Second, 5 * time.Second}).Draw(t, "time until the crash is detected"))
			},
			"one member stalls": func(t *rapid.T) {
				f.stalledUntil[anyMember()] = f.now + rapid.SampledFrom([]time.Duration{20 * ms, 300 * ms, 4 * time.Second}).Draw(t, "time")
			},
			"a link fails in one direction": func(t *rapid.T) { f.broken[[2]int{anyMember(), anyMember()}] = true },
			"all links recover":             func(*rapid.T) { clear(f.broken) },
			"one member gets other seeds": func(*rapid.T) {
				if i := anyMember(); f.isRunning(i) {
					f.step(i, SetSeeds{Addrs: []netip.AddrPort{addr(1 + anyMember())}})
				}
			},
			"foreign bytes arrive": func(t *rapid.T) {
				if i := anyMember(); f.isRunning(i) {
					f.step(i, Received{addr(9), rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes")})
				}
			},
		})
		f.run(10 * time.Second)
	})
}
