package shadow

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// world is a random caller of a Decider that checks its invariants by counters of its own.
type world struct {
	t        *rapid.T
	d, twin  *Decider
	c        Config
	now      time.Duration
	next     uint64
	bytes    map[uint64]int64 // copies not yet closed
	out      []uint64
	lives    []uint64 // live answers not yet ended
	sent     []sending
	seats    map[string]int
	closed   map[uint64]bool // that had their Drop or Record
	started  map[uint64]bool
	ending   map[uint64]bool
	hotAt    time.Duration // a signal was last at its bound
	sampleAt time.Duration
	over     bool
}

// sending is an attempt that reaches its host at some time between at and reached.
type sending struct {
	copy    uint64
	at      time.Duration
	reached time.Duration // 0: not yet
}

// attemptReached ends a copy's sendings.
func (w *world) attemptReached(id uint64) {
	for i := range w.sent {
		if s := &w.sent[i]; s.copy == id && s.reached == 0 {
			s.reached = w.now
		}
	}
}

// checkRate checks that a host that gets each earlier sending as late as possible, and this one at
// once, gets no more than the cap in a second.
func (w *world) checkRate(id uint64) {
	recent := 0
	for _, s := range w.sent {
		if s.reached == 0 || w.now-s.reached < time.Second {
			recent++
		}
	}
	if recent >= int(w.c.Caps.PerSecond) {
		w.t.Fatalf("%d copies may reach a host in a second", recent+1)
	}
	w.sent = append(w.sent, sending{copy: id, at: w.now})
}

func (w *world) step(events ...Event) {
	for _, e := range events {
		switch e := e.(type) {
		case AttemptReached:
			w.attemptReached(e.Copy)
		case Sample:
			w.sampleAt = w.now
			p := w.c.Pressure
			if float64(e.Queued) >= p.Queued || e.BodyFraction >= p.BodyFraction || e.SocketFraction >= p.SocketFraction || e.Delay >= p.Delay || float64(e.Rejections) >= p.Rejections {
				w.hotAt = w.now
			}
		case Close:
			w.over = true
		case AttemptEnded:
			w.seats[e.Host]--
		case CopyEnded:
			w.attemptReached(e.Copy)
			w.out = slices.DeleteFunc(w.out, func(id uint64) bool { return id == e.Copy })
		case LiveEnded:
			w.lives = slices.DeleteFunc(w.lives, func(id uint64) bool { return id == e.Copy })
		case Reconfigure:
			w.c = e.Config
		}
	}
	actions := w.d.Step(w.now, events)
	if diff := cmp.Diff(actions, w.twin.Step(w.now, events)); diff != "" {
		w.t.Fatalf("the same events gave other actions: %s", diff)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			w.startedOne(a.Copy)
		case Drop:
			if w.started[a.Copy] {
				w.t.Fatalf("%d was dropped after its start", a.Copy)
			}
			w.closeOne(a.Copy)
		case Cancel:
			if !slices.Contains(w.out, a.Copy) || w.ending[a.Copy] {
				w.t.Fatalf("%d was ended twice, or is not out", a.Copy)
			}
			w.ending[a.Copy] = true
		case Record:
			if !w.started[a.Copy] || slices.Contains(w.out, a.Copy) {
				w.t.Fatalf("%d was recorded while out or never started", a.Copy)
			}
			if a.LiveEnded == slices.Contains(w.lives, a.Copy) {
				w.t.Fatalf("%d: live answer ended: %v", a.Copy, a.LiveEnded)
			}
			w.closeOne(a.Copy)
		case AttemptGranted:
			if a.OK {
				w.checkRate(a.Copy)
				if w.seats[a.Host]++; w.seats[a.Host] > w.c.Caps.InFlightPerHost {
					w.t.Fatalf("%d seats at %s", w.seats[a.Host], a.Host)
				}
				if w.hotAt > 0 && w.now-w.hotAt < w.c.Pressure.CalmPeriod {
					w.t.Fatal("an attempt under pressure")
				}
			}
		}
	}
	held := int64(0)
	for _, n := range w.bytes {
		held += n
	}
	if c := w.d.Counts(); c.Bytes != held || c.Waiting+c.InFlight+c.Pairing != len(w.bytes) ||
		c.Offered != c.Started+sum(c.Dropped)+uint64(c.Waiting) || c.Started != c.Recorded+uint64(c.InFlight+c.Pairing) ||
		c.Recorded != c.Compared+sum(c.Incomparable) || c.Waiting > w.c.Caps.Waiting+1 {
		w.t.Fatalf("%d bytes of %d copies, but %+v", held, len(w.bytes), c)
	}
	if len(w.d.gaps) > maxGaps || len(w.d.rateSlots) > 1000 {
		w.t.Fatal("the state grows")
	}
}

func sum(m map[Cause]uint64) (n uint64) {
	for _, v := range m {
		n += v
	}
	return n
}

func (w *world) startedOne(id uint64) {
	if w.out = append(w.out, id); len(w.out) > w.c.Caps.InFlight {
		w.t.Fatalf("%d copies out", len(w.out))
	}
	switch {
	case w.over:
		w.t.Fatal("a start after the close")
	case w.now-w.sampleAt > minSampleTTL || w.sampleAt == 0:
		w.t.Fatal("a start without a sample")
	case w.hotAt > 0 && w.now-w.hotAt < w.c.Pressure.CalmPeriod:
		w.t.Fatal("a start under pressure")
	case w.started[id]:
		w.t.Fatalf("%d started twice", id)
	}
	w.started[id] = true
}

func (w *world) closeOne(id uint64) {
	if w.closed[id] {
		w.t.Fatalf("%d was closed twice", id)
	}
	w.closed[id] = true
	delete(w.bytes, id)
}

func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config()
		c.Caps.PerSecond = float64(rapid.IntRange(1, 20).Draw(t, "rate"))
		c.Caps.InFlight = rapid.IntRange(1, 6).Draw(t, "out")
		c.Caps.Waiting = rapid.IntRange(1, 4).Draw(t, "waiting")
		c.Caps.InFlightPerHost = rapid.IntRange(1, 3).Draw(t, "perHost")
		w := &world{t: t, d: New(c, 5), twin: New(c, 5), c: c, bytes: map[uint64]int64{}, seats: map[string]int{},
			closed: map[uint64]bool{}, started: map[uint64]bool{}, ending: map[uint64]bool{}}
		hosts := []string{"a", "b"}
		granted := func() (held []string) {
			for _, h := range hosts {
				if w.seats[h] > 0 {
					held = append(held, h)
				}
			}
			return held
		}
		pick := func(ids []uint64) uint64 { return rapid.SampledFrom(ids).Draw(t, "copy") }
		t.Repeat(map[string]func(*rapid.T){
			"time": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms
				w.step(Sample{})
			},
			"silence": func(t *rapid.T) {
				w.now += time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * ms
				w.step()
			},
			"sample": func(t *rapid.T) {
				w.now += ms
				w.step(Sample{Queued: rapid.IntRange(0, 20).Draw(t, "held"), BodyFraction: rapid.Float64Range(0, 0.7).Draw(t, "bodies"),
					Delay: time.Duration(rapid.IntRange(0, 12).Draw(t, "late")) * ms})
			},
			"hosts": func(t *rapid.T) { w.step(HostsChanged{rapid.IntRange(0, 2).Draw(t, "hosts")}) },
			"offers": func(t *rapid.T) {
				var events []Event
				w.now += rapid.SampledFrom([]time.Duration{0, 0, 0, 0, 600 * ms}).Draw(t, "after")
				for range rapid.IntRange(1, 8).Draw(t, "offers") {
					if w.over {
						return
					}
					w.next++
					n := rapid.IntRange(0, 500).Draw(t, "bytes")
					held := int64(n)
					for _, b := range w.bytes {
						held += b
					}
					w.bytes[w.next], w.lives = int64(n), append(w.lives, w.next)
					events = append(events, Offer{w.next, w.next % 5, n})
					w.step(events...) // one at a time, so that the cap can be checked against what is held
					events = nil
					if held > w.c.Caps.Bytes && !w.closed[w.next] {
						w.t.Fatalf("%d bytes held", held)
					}
				}
			},
			"seat": func(t *rapid.T) {
				if len(w.out) == 0 {
					t.Skip()
				}
				w.step(AttemptRequest{pick(w.out), rapid.SampledFrom(hosts).Draw(t, "host")})
			},
			"heard": func(t *rapid.T) {
				if len(w.out) == 0 {
					t.Skip()
				}
				w.step(AttemptReached{pick(w.out)})
			},
			"left": func(t *rapid.T) {
				if len(granted()) == 0 {
					t.Skip()
				}
				w.step(AttemptEnded{rapid.SampledFrom(granted()).Draw(t, "host")})
			},
			"ended": func(t *rapid.T) {
				if len(w.out) == 0 {
					t.Skip()
				}
				w.step(CopyEnded{pick(w.out), rapid.SampledFrom([]Cause{"", "", "", Failed, Refused, StreamFailed, InvalidRequest}).Draw(t, "how")})
			},
			"live": func(t *rapid.T) {
				if len(w.lives) == 0 {
					t.Skip()
				}
				w.step(LiveEnded{pick(w.lives), rapid.Bool().Draw(t, "whole")})
			},
			"retune": func(t *rapid.T) {
				c := w.c
				c.Caps.InFlight, c.Caps.InFlightPerHost = rapid.IntRange(1, 6).Draw(t, "out"), rapid.IntRange(1, 3).Draw(t, "perHost")
				c.Caps.PerSecond = float64(rapid.IntRange(1, 20).Draw(t, "rate"))
				w.step(Reconfigure{c})
			},
			"close": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					t.Skip()
				}
				w.step(Close{})
			},
		})
		// After Close, each copy in flight ends in one Record once its CopyEnded has come.
		w.step(Close{})
		for len(w.out) > 0 {
			w.step(CopyEnded{w.out[0], StreamFailed})
		}
		if len(w.bytes) > 0 || len(w.d.copies) > 0 || len(w.d.queue)+len(w.d.inFlight)+len(w.d.pairing) > 0 {
			t.Fatalf("%d copies are left", len(w.bytes))
		}
	})
}
