package shadow

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// world is a random caller of a Decider that checks its invariants by counters of its own.
type invariantChecker struct {
	t            *rapid.T
	d, duplicate *Decider
	config       Config
	now          time.Duration
	next         uint64
	bytes        map[uint64]int64 // copies not yet closed
	inFlight     []uint64
	openLive     []uint64 // live answers not yet ended
	attempts     []attempt
	hostAttempts map[string]int
	closed       map[uint64]bool // that had their Drop or Record
	started      map[uint64]bool
	canceled     map[uint64]bool
	lastPressure time.Duration // a signal was last at its bound
	sampleAt     time.Duration
	closing      bool
}

// sending is an attempt that reaches its host at some time between at and reached.
type attempt struct {
	copy      uint64
	sentAt    time.Duration
	reachedAt time.Duration // 0: not yet
}

// attemptReached ends a copy's sendings.
func (w *invariantChecker) attemptReached(id uint64) {
	for i := range w.attempts {
		if s := &w.attempts[i]; s.copy == id && s.reachedAt == 0 {
			s.reachedAt = w.now
		}
	}
}

// checkRate checks that a host that gets each earlier sending as late as possible, and this one at
// once, gets no more than the cap in a second.
func (w *invariantChecker) checkRate(id uint64) {
	recent := 0
	for _, s := range w.attempts {
		if s.reachedAt == 0 || w.now-s.reachedAt < time.Second {
			recent++
		}
	}
	if recent >= int(w.config.Caps.PerSecond) {
		w.t.Fatalf("%d copies may reach a host in a second", recent+1)
	}
	w.attempts = append(w.attempts, attempt{copy: id, sentAt: w.now})
}

func (w *invariantChecker) step(events ...Event) {
	for _, e := range events {
		switch e := e.(type) {
		case AttemptReached:
			w.attemptReached(e.Copy)
		case Sample:
			w.sampleAt = w.now
			p := w.config.Pressure
			if float64(e.Queued) >= p.Queued || e.BodyFraction >= p.BodyFraction || e.SocketFraction >= p.SocketFraction || e.Delay >= p.Delay || float64(e.Rejections) >= p.Rejections {
				w.lastPressure = w.now
			}
		case Close:
			w.closing = true
		case AttemptEnded:
			w.hostAttempts[e.Host]--
		case CopyEnded:
			w.attemptReached(e.Copy)
			w.inFlight = slices.DeleteFunc(w.inFlight, func(id uint64) bool { return id == e.Copy })
		case LiveEnded:
			w.openLive = slices.DeleteFunc(w.openLive, func(id uint64) bool { return id == e.Copy })
		case Reconfigure:
			w.config = e.Config
		}
	}
	actions := w.d.Step(w.now, events)
	if diff := cmp.Diff(actions, w.duplicate.Step(w.now, events)); diff != "" {
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
			if !slices.Contains(w.inFlight, a.Copy) || w.canceled[a.Copy] {
				w.t.Fatalf("%d was ended twice, or is not out", a.Copy)
			}
			w.canceled[a.Copy] = true
		case Record:
			if !w.started[a.Copy] || slices.Contains(w.inFlight, a.Copy) {
				w.t.Fatalf("%d was recorded while out or never started", a.Copy)
			}
			if a.LiveEnded == slices.Contains(w.openLive, a.Copy) {
				w.t.Fatalf("%d: live answer ended: %v", a.Copy, a.LiveEnded)
			}
			w.closeOne(a.Copy)
		case AttemptGranted:
			if a.OK {
				w.checkRate(a.Copy)
				if w.hostAttempts[a.Host]++; w.hostAttempts[a.Host] > w.config.Caps.InFlightPerHost {
					w.t.Fatalf("%d seats at %s", w.hostAttempts[a.Host], a.Host)
				}
				if w.lastPressure > 0 && w.now-w.lastPressure < w.config.Pressure.CalmPeriod {
					w.t.Fatal("an attempt under pressure")
				}
			}
		}
	}
	bytes := int64(0)
	for _, n := range w.bytes {
		bytes += n
	}
	if c := w.d.Counts(); c.Bytes != bytes || c.Waiting+c.InFlight+c.Pairing != len(w.bytes) ||
		c.Offered != c.Started+sum(c.Dropped)+uint64(c.Waiting) || c.Started != c.Recorded+uint64(c.InFlight+c.Pairing) ||
		c.Recorded != c.Compared+sum(c.Incomparable) || c.Waiting > w.config.Caps.Waiting+1 {
		w.t.Fatalf("%d bytes of %d copies, but %+v", bytes, len(w.bytes), c)
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

func (w *invariantChecker) startedOne(id uint64) {
	if w.inFlight = append(w.inFlight, id); len(w.inFlight) > w.config.Caps.InFlight {
		w.t.Fatalf("%d copies out", len(w.inFlight))
	}
	switch {
	case w.closing:
		w.t.Fatal("a start after the close")
	case w.now-w.sampleAt > minSampleTTL || w.sampleAt == 0:
		w.t.Fatal("a start without a sample")
	case w.lastPressure > 0 && w.now-w.lastPressure < w.config.Pressure.CalmPeriod:
		w.t.Fatal("a start under pressure")
	case w.started[id]:
		w.t.Fatalf("%d started twice", id)
	}
	w.started[id] = true
}

func (w *invariantChecker) closeOne(id uint64) {
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
		w := &invariantChecker{t: t, d: New(c, 5), duplicate: New(c, 5), config: c, bytes: map[uint64]int64{}, hostAttempts: map[string]int{},
			closed: map[uint64]bool{}, started: map[uint64]bool{}, canceled: map[uint64]bool{}}
		hosts := []string{"a", "b"}
		granted := func() (held []string) {
			for _, h := range hosts {
				if w.hostAttempts[h] > 0 {
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
					if w.closing {
						return
					}
					w.next++
					n := rapid.IntRange(0, 500).Draw(t, "bytes")
					held := int64(n)
					for _, b := range w.bytes {
						held += b
					}
					w.bytes[w.next], w.openLive = int64(n), append(w.openLive, w.next)
					events = append(events, Offer{w.next, w.next % 5, n})
					w.step(events...) // one at a time, so that the cap can be checked against what is held
					events = nil
					if held > w.config.Caps.Bytes && !w.closed[w.next] {
						w.t.Fatalf("%d bytes held", held)
					}
				}
			},
			"seat": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					t.Skip()
				}
				w.step(AttemptRequest{pick(w.inFlight), rapid.SampledFrom(hosts).Draw(t, "host")})
			},
			"heard": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					t.Skip()
				}
				w.step(AttemptReached{pick(w.inFlight)})
			},
			"left": func(t *rapid.T) {
				if len(granted()) == 0 {
					t.Skip()
				}
				w.step(AttemptEnded{rapid.SampledFrom(granted()).Draw(t, "host")})
			},
			"ended": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					t.Skip()
				}
				w.step(CopyEnded{pick(w.inFlight), rapid.SampledFrom([]Cause{"", "", "", Failed, Refused, StreamFailed, InvalidRequest}).Draw(t, "how")})
			},
			"live": func(t *rapid.T) {
				if len(w.openLive) == 0 {
					t.Skip()
				}
				w.step(LiveEnded{pick(w.openLive), rapid.Bool().Draw(t, "whole")})
			},
			"retune": func(t *rapid.T) {
				c := w.config
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
		for len(w.inFlight) > 0 {
			w.step(CopyEnded{w.inFlight[0], StreamFailed})
		}
		if len(w.bytes) > 0 || len(w.d.copies) > 0 || len(w.d.queue)+len(w.d.inFlight)+len(w.d.pairing) > 0 {
			t.Fatalf("%d copies are left", len(w.bytes))
		}
	})
}
