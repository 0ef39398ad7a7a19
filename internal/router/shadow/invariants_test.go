package shadow

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// invariantChecker calls a Decider with random events and checks its guarantees with counters of its
// own.
type invariantChecker struct {
	t            *rapid.T
	d, duplicate *Decider
	config       Config
	now          time.Duration
	next         uint64           // ID of the last offered copy
	bytes        map[uint64]int64 // body sizes of the copies that have no Drop or Record yet
	inFlight     []uint64
	openLive     []uint64 // copies whose live answer has not ended
	attempts     []attempt
	hostAttempts map[string]int
	closed       map[uint64]bool // copies that had their Drop or Record
	started      map[uint64]bool
	canceled     map[uint64]bool
	lastPressure time.Duration // when a signal last reached its threshold
	sampleAt     time.Duration // time of the last sample; 0 if there was none
	closing      bool
}

// attempt is a granted attempt, which reaches its host at some time between sentAt and reachedAt.
type attempt struct {
	copy      uint64
	sentAt    time.Duration
	reachedAt time.Duration // 0 until AttemptReached or CopyEnded
}

// attemptReached sets reachedAt of the copy's attempts that have not reached their host yet.
func (w *invariantChecker) attemptReached(id uint64) {
	for i := range w.attempts {
		if s := &w.attempts[i]; s.copy == id && s.reachedAt == 0 {
			s.reachedAt = w.now
		}
	}
}

// checkRate checks that no host gets more attempts in a second than the cap allows, even if it gets
// each earlier attempt as late as possible and the new one at once.
func (w *invariantChecker) checkRate(id uint64) {
	recent := 0
	for _, s := range w.attempts {
		if s.reachedAt == 0 || w.now-s.reachedAt < time.Second {
			recent++
		}
	}
	if recent >= int(w.config.Caps.PerSecond) {
		w.t.Fatalf("%d copies may reach a host in a second, more than the cap", recent+1)
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
		w.t.Fatalf("two Deciders returned different actions for the same events: %s", diff)
	}
	for _, action := range actions {
		switch a := action.(type) {
		case Start:
			w.startedOne(a.Copy)
		case Drop:
			if w.started[a.Copy] {
				w.t.Fatalf("copy %d was dropped after its start", a.Copy)
			}
			w.closeOne(a.Copy)
		case Cancel:
			if !slices.Contains(w.inFlight, a.Copy) || w.canceled[a.Copy] {
				w.t.Fatalf("copy %d was canceled twice, or canceled while not in flight", a.Copy)
			}
			w.canceled[a.Copy] = true
		case Record:
			if !w.started[a.Copy] || slices.Contains(w.inFlight, a.Copy) {
				w.t.Fatalf("copy %d was recorded while in flight, or was never started", a.Copy)
			}
			if a.LiveEnded == slices.Contains(w.openLive, a.Copy) {
				w.t.Fatalf("the Record of copy %d has a wrong LiveEnded, %v", a.Copy, a.LiveEnded)
			}
			w.closeOne(a.Copy)
		case AttemptGranted:
			if a.OK {
				w.checkRate(a.Copy)
				if w.hostAttempts[a.Host]++; w.hostAttempts[a.Host] > w.config.Caps.InFlightPerHost {
					w.t.Fatalf("%d attempts are in flight to host %s, more than its cap", w.hostAttempts[a.Host], a.Host)
				}
				if w.lastPressure > 0 && w.now-w.lastPressure < w.config.Pressure.CalmPeriod {
					w.t.Fatal("an attempt was granted under pressure")
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
		w.t.Fatalf("the counts do not match %d bytes of %d copies: %+v", bytes, len(w.bytes), c)
	}
	if len(w.d.gaps) > maxGaps || len(w.d.rateSlots) > 1000 {
		w.t.Fatal("more than maxGaps gaps or more than 1000 rate slots are stored")
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
		w.t.Fatalf("%d copies are in flight, more than the cap", len(w.inFlight))
	}
	switch {
	case w.closing:
		w.t.Fatal("a copy started after Close")
	case w.now-w.sampleAt > minSampleTTL || w.sampleAt == 0:
		w.t.Fatal("a copy started without a recent sample")
	case w.lastPressure > 0 && w.now-w.lastPressure < w.config.Pressure.CalmPeriod:
		w.t.Fatal("a copy started under pressure")
	case w.started[id]:
		w.t.Fatalf("copy %d started twice", id)
	}
	w.started[id] = true
}

func (w *invariantChecker) closeOne(id uint64) {
	if w.closed[id] {
		w.t.Fatalf("copy %d had a second Drop or Record", id)
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
			"time without sample": func(t *rapid.T) {
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
					w.step(events...) // one offer at a time, so that the cap can be checked against the bytes of each copy
					events = nil
					if held > w.config.Caps.Bytes && !w.closed[w.next] {
						w.t.Fatalf("a copy was queued although all bodies have %d bytes, more than the cap", held)
					}
				}
			},
			"attempt request": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					t.Skip()
				}
				w.step(AttemptRequest{pick(w.inFlight), rapid.SampledFrom(hosts).Draw(t, "host")})
			},
			"attempt reached": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					t.Skip()
				}
				w.step(AttemptReached{pick(w.inFlight)})
			},
			"attempt ended": func(t *rapid.T) {
				if len(granted()) == 0 {
					t.Skip()
				}
				w.step(AttemptEnded{rapid.SampledFrom(granted()).Draw(t, "host")})
			},
			"copy ended": func(t *rapid.T) {
				if len(w.inFlight) == 0 {
					t.Skip()
				}
				w.step(CopyEnded{pick(w.inFlight), rapid.SampledFrom([]Cause{"", "", "", Failed, Refused, StreamFailed, InvalidRequest}).Draw(t, "cause")})
			},
			"live ended": func(t *rapid.T) {
				if len(w.openLive) == 0 {
					t.Skip()
				}
				w.step(LiveEnded{pick(w.openLive), rapid.Bool().Draw(t, "complete")})
			},
			"reconfigure": func(t *rapid.T) {
				c := w.config
				c.Caps.InFlight, c.Caps.InFlightPerHost = rapid.IntRange(1, 6).Draw(t, "out"), rapid.IntRange(1, 3).Draw(t, "perHost")
				c.Caps.PerSecond = float64(rapid.IntRange(1, 20).Draw(t, "rate"))
				w.step(Reconfigure{c})
			},
			"close": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "one in ten closes") > 0 {
					t.Skip()
				}
				w.step(Close{})
			},
		})
		// After Close, each copy in flight ends in one Record as soon as its CopyEnded is reported.
		w.step(Close{})
		for len(w.inFlight) > 0 {
			w.step(CopyEnded{w.inFlight[0], StreamFailed})
		}
		if len(w.bytes) > 0 || len(w.d.copies) > 0 || len(w.d.queue)+len(w.d.inFlight)+len(w.d.pairing) > 0 {
			t.Fatalf("after Close, %d copies had no Drop or Record, or the Decider still has copies", len(w.bytes))
		}
	})
}
