package shadow

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// A hundred random lives of a decider are too few to meet each cap; a thousand take a second.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		f.Value.Set("1000")
	}
	os.Exit(m.Run())
}

func config() Config {
	return Config{
		Caps:     Caps{PerSecond: 1000, Out: 4, PerHost: 2, Bytes: 1000, Waiting: 3, Wait: time.Second, Longest: 10 * time.Second},
		Pressure: Pressure{Queued: 8, Bodies: 0.5, Sockets: 0.7, Late: 10 * ms, Refusals: 2, Hard: 2, Grace: 500 * ms, Calm: 2 * time.Second},
		Health:   Health{Failures: 3, First: time.Second, Most: 8 * time.Second},
	}
}

// The stories below are tables of a time, what happens then, and what is to be done.
type moment struct {
	at     time.Duration
	events []Event
	want   []Action
}

func play(t *testing.T, c Config, story []moment) *Decider {
	t.Helper()
	d := New(c, 1)
	for i, m := range story {
		got := d.Step(m.at, m.events)
		if diff := cmp.Diff(m.want, got); diff != "" {
			t.Fatalf("moment %d, at %v: %s", i, m.at, diff)
		}
	}
	return d
}

// ready is a fleet that serves and a live path at ease.
func ready(more ...Event) []Event { return append([]Event{Sample{}, Hosts{2}}, more...) }

func TestAnswersPairUp(t *testing.T) {
	play(t, config(), []moment{
		{ms, ready(Offer{1, 7, 10}, Offer{2, 7, 10}, Offer{3, 7, 10}, Offer{4, 7, 10}),
			[]Action{Start{1, false}, Start{2, false}, Start{3, false}, Start{4, false}}},
		{2 * ms, []Event{Ended{1, ""}}, nil},
		{3 * ms, []Event{LiveEnded{1, true}}, []Action{Record{1, "", true}}},
		{4 * ms, []Event{LiveEnded{2, true}, Ended{2, Broken}}, []Action{Record{2, Broken, true}}},
		// Nothing is left to compare with: the copy is given up at once, and what it came to is
		// beside the point.
		{5 * ms, []Event{LiveEnded{3, false}}, []Action{End{3, NoLive}}},
		{6 * ms, []Event{Ended{3, ""}}, []Action{Record{3, NoLive, true}}},
		{7 * ms, []Event{Ended{4, ""}, LiveEnded{4, false}}, []Action{Record{4, NoLive, true}}},
		// The host's mistakes change nothing.
		{8 * ms, []Event{Ended{4, ""}, LiveEnded{9, true}, AttemptEnded{"h"}}, nil},
	})
}

func TestCapsHoldCopiesBack(t *testing.T) {
	c := config()
	c.Caps.Out, c.Caps.Waiting, c.Caps.Bytes = 1, 2, 100
	d := play(t, c, []moment{
		{ms, ready(Offer{1, 1, 30}, Offer{2, 2, 30}, Offer{3, 3, 50}), []Action{Start{1, false}, Drop{3, OverBytes}}},
		{2 * ms, []Event{Offer{4, 4, 10}, Offer{5, 5, 10}}, []Action{Drop{5, OverQueue}}},
		{3 * ms, []Event{AttemptRequest{1, "a"}, Ended{1, ""}, LiveEnded{1, true}},
			[]Action{AttemptGranted{1, "a", true}, Record{1, "", true}, Start{2, false}}},
		{500 * ms, []Event{Sample{}}, nil},
		{1000 * ms, []Event{Sample{}}, nil},
		{1003 * ms, nil, []Action{Drop{4, OverOut}}},
		// The next turn of a conversation that has lost one is marked.
		{1010 * ms, []Event{Ended{2, ""}, LiveEnded{2, true}, Offer{6, 4, 10}}, []Action{Record{2, "", true}, Start{6, true}}},
	})
	got := d.Counts()
	if got.Bytes != 10 || got.Offered != 6 || got.Started != 3 || got.Compared != 2 {
		t.Errorf("%+v", got)
	}
}

// Only so many reach hosts in any second, however long they are on their way; a further try is one
// more, and under one a second counts as well.
func TestRate(t *testing.T) {
	c := config()
	c.Caps.PerSecond, c.Caps.Out, c.Caps.Wait = 2, 100, 5*time.Second
	play(t, c, []moment{
		{700 * ms, ready(Offer{1, 1, 1}, AttemptRequest{1, "a"}), []Action{Start{1, false}, AttemptGranted{1, "a", true}}},
		{900 * ms, []Event{AttemptReached{1}}, nil},
		{950 * ms, []Event{Offer{2, 2, 1}, Offer{3, 3, 1}, AttemptRequest{2, "a"}}, []Action{Start{2, false}, AttemptGranted{2, "a", true}}},
		{960 * ms, []Event{AttemptReached{2}, AttemptEnded{"a"}, AttemptRequest{2, "a"}}, []Action{AttemptGranted{2, "a", false}}}, // a further try has no turn
		{1400 * ms, []Event{Sample{}}, nil},
		{1899 * ms, []Event{Sample{}}, nil},
		{1900 * ms, []Event{AttemptRequest{2, "a"}}, []Action{AttemptGranted{2, "a", true}}},
		{2000 * ms, []Event{Sample{}, Offer{4, 4, 1}}, []Action{Start{3, false}}},
		{2400 * ms, []Event{Sample{}}, nil}, // neither of the two is heard yet
		{2500 * ms, []Event{Ended{2, ""}}, nil},
		{3499 * ms, []Event{Sample{}}, nil},
		{3500 * ms, nil, []Action{Start{4, false}}},
	})
	c.Caps.PerSecond = 0.5
	play(t, c, []moment{
		{ms, ready(Offer{1, 1, 1}, Offer{2, 2, 1}, AttemptRequest{1, "a"}, AttemptReached{1}), []Action{Start{1, false}, AttemptGranted{1, "a", true}}},
		{2000 * ms, []Event{Sample{}}, nil},
		{2001 * ms, nil, []Action{Start{2, false}}},
	})
}

// A copy that started under a higher rate has its turn, and still waits for it where the rate was
// lowered meanwhile (rapid found it: 2 copies might reach a host in a second that allowed one).
func TestLoweredRateHoldsTurnsBack(t *testing.T) {
	c := config()
	c.Caps.PerSecond = 2
	lower := c
	lower.Caps.PerSecond = 1
	play(t, c, []moment{
		{ms, ready(Offer{1, 7, 10}, Offer{2, 7, 10}), []Action{Start{1, false}, Start{2, false}}},
		{2 * ms, []Event{Retune{lower}}, nil},
		{3 * ms, []Event{AttemptRequest{1, "h"}}, []Action{AttemptGranted{1, "h", true}}},
		{4 * ms, []Event{AttemptReached{1}, AttemptEnded{"h"}}, nil},
		{5 * ms, []Event{AttemptRequest{2, "h"}}, []Action{AttemptGranted{2, "h", false}}},
		{4*ms + time.Second, []Event{AttemptRequest{2, "h"}}, []Action{AttemptGranted{2, "h", true}}},
	})
}

func TestSeatsAtOneHost(t *testing.T) {
	d := play(t, config(), []moment{
		{ms, ready(Offer{1, 1, 1}, Offer{2, 2, 1}, Offer{3, 3, 1}), []Action{Start{1, false}, Start{2, false}, Start{3, false}}},
		{2 * ms, []Event{AttemptRequest{1, "a"}, AttemptRequest{2, "a"}, AttemptRequest{3, "a"}, AttemptRequest{3, "b"}},
			[]Action{AttemptGranted{1, "a", true}, AttemptGranted{2, "a", true}, AttemptGranted{3, "a", false}, AttemptGranted{3, "b", true}}},
		{3 * ms, []Event{AttemptEnded{"a"}, AttemptRequest{3, "a"}, AttemptRequest{9, "b"}}, []Action{AttemptGranted{3, "a", true}, AttemptGranted{9, "b", false}}},
		// A copy that found no room because of our own cap says nothing about the pool.
		{4 * ms, []Event{Ended{3, Refused}, LiveEnded{3, true}}, []Action{Record{3, Refused, true}}},
	})
	if d.failures != 0 {
		t.Errorf("%d failures", d.failures)
	}
}

// Waiting copies go first, then none starts, then those that run end; calm returns only after a
// while without any signal above half its bound, and later if it was too soon.
func TestPressure(t *testing.T) {
	c := config()
	c.Caps.Out = 1
	hot, warm, cool := Sample{Queued: 8}, Sample{Queued: 5}, Sample{Queued: 4}
	d := play(t, c, []moment{
		{ms, ready(Offer{1, 1, 1}, Offer{2, 2, 1}), []Action{Start{1, false}}},
		{100 * ms, []Event{hot}, []Action{Drop{2, Pressed}}},
		{200 * ms, []Event{warm, Offer{3, 3, 1}}, []Action{Drop{3, Pressed}}},
		{600 * ms, []Event{warm}, []Action{End{1, Pressed}}},
		{601 * ms, []Event{Ended{1, Broken}, LiveEnded{1, true}}, []Action{Record{1, Pressed, true}}},
		{1000 * ms, []Event{cool}, nil},
		{1400 * ms, []Event{cool}, nil},
		{1800 * ms, []Event{cool}, nil},
		{2200 * ms, []Event{cool}, nil},
		{2599 * ms, []Event{cool, Offer{4, 4, 1}}, []Action{Drop{4, Pressed}}},
		{2600 * ms, []Event{cool}, nil},
		{2601 * ms, []Event{cool, Offer{5, 5, 1}}, []Action{Start{5, false}}},
		// Twice the bound ends what runs at once.
		{2700 * ms, []Event{Sample{Late: 20 * ms}}, []Action{End{5, Pressed}}},
		{2800 * ms, []Event{Ended{5, Broken}, LiveEnded{5, true}}, []Action{Record{5, Pressed, true}}},
	})
	for at := 3000 * ms; at < 6700*ms; at += 100 * ms { // twice as long as the first time
		if got := d.Step(at, []Event{cool}); d.level == Calm || got != nil {
			t.Fatalf("calm again at %v", at)
		}
	}
	if d.Step(6700*ms, []Event{cool}); d.level != Calm {
		t.Error("no calm after twice the time")
	}
	if d.failures != 0 || !maps.Equal(d.Counts().Pressed, map[string]uint64{"held": 1, "late": 1}) {
		t.Errorf("%d failures, pressed by %v", d.failures, d.Counts().Pressed)
	}
	// While copies run, their further attempts are denied, and they with them.
	d.Step(6800*ms, []Event{Offer{6, 6, 1}})
	if got := d.Step(6900*ms, []Event{hot, AttemptRequest{6, "a"}}); !cmp.Equal(got, []Action{End{6, Pressed}, AttemptGranted{6, "a", false}}) {
		t.Error(got)
	}
}

// Without word of the live path nothing starts: whoever should tell may be stuck.
func TestNoSample(t *testing.T) {
	d := play(t, config(), []moment{
		{ms, []Event{Hosts{1}, Offer{1, 1, 1}}, nil},
		{2 * ms, []Event{Sample{}}, []Action{Start{1, false}}},
		{600 * ms, []Event{Offer{2, 2, 1}}, []Action{Drop{2, Pressed}}},
	})
	if d.Counts().Pressed["no sample"] != 1 {
		t.Error(d.Counts().Pressed)
	}
}

// A pool that fails is left alone but for one trial copy at a time, further and further apart.
func TestPoolDownAndBack(t *testing.T) {
	c := config()
	c.Pressure.Calm = ms
	d := New(c, 1)
	at, id := ms, uint64(0)
	try := func(after time.Duration, how Cause) []Action {
		for end := at + after; at < end; {
			at = min(at+400*ms, end)
			d.Step(at, ready())
		}
		id++
		got := d.Step(at, ready(Offer{id, id, 1}))
		if len(got) > 0 && got[0] == (Start{id, slices.Contains([]uint64{}, id)}) {
			got = append(got, d.Step(at, []Event{Offer{id + 1000, id, 1}, Ended{id, how}, LiveEnded{id, true}, LiveEnded{id + 1000, false}})...)
		}
		return got
	}
	kinds := func(actions []Action) (s string) {
		for _, a := range actions {
			s += fmt.Sprintf("%T ", a)[len("shadow."):]
		}
		return s
	}
	for range 2 {
		if got := kinds(try(0, Failed)); got != "Start Start Record End " {
			t.Fatal(got)
		}
	}
	d.Step(at, []Event{Ended{1001, Failed}, Ended{1002, Failed}}) // given up by us: says nothing
	if got := kinds(try(0, Broken)); got != "Start Start Down Record End " {
		t.Fatal(got)
	}
	d.Step(at, []Event{Ended{1003, Failed}})
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		if got := kinds(try(wait-ms, Failed)); got != "Drop " {
			t.Fatalf("before %v: %s", wait, got)
		}
		// The second offer finds the trial out. Its end, a failure, makes the next wait longer.
		if got := kinds(try(wait/5+2*ms, Failed)); got != "Start Drop Record " {
			t.Fatalf("after %v: %s", wait, got)
		}
	}
	if got := kinds(try(10*time.Second, "")); got != "Start Drop Back Record " {
		t.Fatal(got)
	}
	if d.Counts().Down {
		t.Error("still down")
	}
	d.Step(at, []Event{Hosts{0}})
	if got := d.Step(at, []Event{Offer{9999, 1, 1}}); !cmp.Equal(got, []Action{Drop{9999, NoHosts}}) {
		t.Error(got)
	}
}

func TestLongestAndClose(t *testing.T) {
	c := config()
	c.Caps.Out = 2
	d := play(t, c, []moment{
		{ms, ready(Offer{1, 1, 1}, Offer{2, 2, 1}, Offer{3, 3, 1}), []Action{Start{1, false}, Start{2, false}}},
		{2 * ms, []Event{Ended{2, ""}, Offer{4, 4, 1}}, []Action{Start{3, false}}},
	})
	for at := 400 * ms; at < 10*time.Second; at += 400 * ms {
		d.Step(at, []Event{Sample{}})
	}
	got := d.Step(10*time.Second+ms, []Event{Sample{}})
	if diff := cmp.Diff([]Action{End{1, TooLong}}, got); diff != "" {
		t.Error(diff)
	}
	// With the end of the program nobody waits for anything: records without a live answer close at
	// once.
	got = d.Step(10*time.Second+2*ms, []Event{Offer{5, 5, 1}, Close{}, Offer{6, 6, 1}})
	if diff := cmp.Diff([]Action{Drop{6, Closing}, Drop{5, Closing}, End{3, Closing}, Record{2, Closing, false}}, got); diff != "" {
		t.Error(diff)
	}
	got = d.Step(10*time.Second+3*ms, []Event{Ended{1, Broken}, Ended{3, Broken}})
	if diff := cmp.Diff([]Action{Record{1, TooLong, false}, Record{3, Closing, false}}, got); diff != "" {
		t.Error(diff)
	}
}

// world plays the host of a Decider at random and checks its promises. What it expects is counted
// by itself.
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

// sending is an attempt that reaches its host at some time from at to heard.
type sending struct {
	copy  uint64
	at    time.Duration
	heard time.Duration // 0: not yet
}

// hear ends a copy's sendings.
func (w *world) hear(id uint64) {
	for i := range w.sent {
		if s := &w.sent[i]; s.copy == id && s.heard == 0 {
			s.heard = w.now
		}
	}
}

// send checks that a host that gets each sending as late as it may, and this one at once, does not
// get too many in a second.
func (w *world) send(id uint64) {
	recent := 0
	for _, s := range w.sent {
		if s.heard == 0 || w.now-s.heard < time.Second {
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
			w.hear(e.Copy)
		case Sample:
			w.sampleAt = w.now
			p := w.c.Pressure
			if float64(e.Queued) >= p.Queued || e.Bodies >= p.Bodies || e.Sockets >= p.Sockets || e.Late >= p.Late || float64(e.Refusals) >= p.Refusals {
				w.hotAt = w.now
			}
		case Close:
			w.over = true
		case AttemptEnded:
			w.seats[e.Host]--
		case Ended:
			w.hear(e.Copy)
			w.out = slices.DeleteFunc(w.out, func(id uint64) bool { return id == e.Copy })
		case LiveEnded:
			w.lives = slices.DeleteFunc(w.lives, func(id uint64) bool { return id == e.Copy })
		case Retune:
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
		case End:
			if !slices.Contains(w.out, a.Copy) || w.ending[a.Copy] {
				w.t.Fatalf("%d was ended twice, or is not out", a.Copy)
			}
			w.ending[a.Copy] = true
		case Record:
			if !w.started[a.Copy] || slices.Contains(w.out, a.Copy) {
				w.t.Fatalf("%d was recorded while out or never started", a.Copy)
			}
			if a.Live == slices.Contains(w.lives, a.Copy) {
				w.t.Fatalf("%d: live answer ended: %v", a.Copy, a.Live)
			}
			w.closeOne(a.Copy)
		case AttemptGranted:
			if a.OK {
				w.send(a.Copy)
				if w.seats[a.Host]++; w.seats[a.Host] > w.c.Caps.PerHost {
					w.t.Fatalf("%d seats at %s", w.seats[a.Host], a.Host)
				}
				if w.hotAt > 0 && w.now-w.hotAt < w.c.Pressure.Calm {
					w.t.Fatal("an attempt under pressure")
				}
			}
		}
	}
	held := int64(0)
	for _, n := range w.bytes {
		held += n
	}
	if c := w.d.Counts(); c.Bytes != held || c.Waiting+c.Out+c.Pairing != len(w.bytes) ||
		c.Offered != c.Started+sum(c.Dropped)+uint64(c.Waiting) || c.Started != c.Recorded+uint64(c.Out+c.Pairing) ||
		c.Recorded != c.Compared+sum(c.Incomparable) || c.Waiting > w.c.Caps.Waiting+1 {
		w.t.Fatalf("%d bytes of %d copies, but %+v", held, len(w.bytes), c)
	}
	if len(w.d.gaps) > maxGaps || len(w.d.turns) > 1000 {
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
	if w.out = append(w.out, id); len(w.out) > w.c.Caps.Out {
		w.t.Fatalf("%d copies out", len(w.out))
	}
	switch {
	case w.over:
		w.t.Fatal("a start after the close")
	case w.now-w.sampleAt > staleAfter || w.sampleAt == 0:
		w.t.Fatal("a start without a sample")
	case w.hotAt > 0 && w.now-w.hotAt < w.c.Pressure.Calm:
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

func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := config()
		c.Caps.PerSecond = float64(rapid.IntRange(1, 20).Draw(t, "rate"))
		c.Caps.Out = rapid.IntRange(1, 6).Draw(t, "out")
		c.Caps.Waiting = rapid.IntRange(1, 4).Draw(t, "waiting")
		c.Caps.PerHost = rapid.IntRange(1, 3).Draw(t, "perHost")
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
				w.step(Sample{Queued: rapid.IntRange(0, 20).Draw(t, "held"), Bodies: rapid.Float64Range(0, 0.7).Draw(t, "bodies"),
					Late: time.Duration(rapid.IntRange(0, 12).Draw(t, "late")) * ms})
			},
			"hosts": func(t *rapid.T) { w.step(Hosts{rapid.IntRange(0, 2).Draw(t, "hosts")}) },
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
				w.step(Ended{pick(w.out), rapid.SampledFrom([]Cause{"", "", "", Failed, Refused, Broken, Unfit}).Draw(t, "how")})
			},
			"live": func(t *rapid.T) {
				if len(w.lives) == 0 {
					t.Skip()
				}
				w.step(LiveEnded{pick(w.lives), rapid.Bool().Draw(t, "whole")})
			},
			"retune": func(t *rapid.T) {
				c := w.c
				c.Caps.Out, c.Caps.PerHost = rapid.IntRange(1, 6).Draw(t, "out"), rapid.IntRange(1, 3).Draw(t, "perHost")
				c.Caps.PerSecond = float64(rapid.IntRange(1, 20).Draw(t, "rate"))
				w.step(Retune{c})
			},
			"close": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rarely") > 0 {
					t.Skip()
				}
				w.step(Close{})
			},
		})
		// In the end everything closes: the copies, once the host has ended them, in one Record
		// each.
		w.step(Close{})
		for len(w.out) > 0 {
			w.step(Ended{w.out[0], Broken})
		}
		if len(w.bytes) > 0 || len(w.d.copies) > 0 || len(w.d.queue)+len(w.d.outs)+len(w.d.pairs) > 0 {
			t.Fatalf("%d copies are left", len(w.bytes))
		}
	})
}

// A conversation is chosen whole or not at all, a larger share keeps what a smaller one chose, and
// it is about the share that was asked for.
func TestShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		small := rapid.Float64Range(0, 1).Draw(t, "small")
		large := rapid.Float64Range(small, 1).Draw(t, "large")
		a, b := NewSelector([]Choice{{Pool: "x", Share: small}}), NewSelector([]Choice{{Pool: "x", Share: large}})
		got := 0
		for i := range 2000 {
			session := Session(fmt.Sprint("session", i), "")
			chosen := a.Choose("chat", nil, session).Has(0)
			if chosen && !b.Choose("other", nil, session).Has(0) {
				t.Fatal("a larger share lost a conversation")
			}
			if chosen {
				got++
			}
		}
		if off := float64(got)/2000 - small; off < -0.06 || off > 0.06 {
			t.Fatalf("%d of 2000 with a share of %v", got, small)
		}
	})
	s := NewSelector([]Choice{{Pool: "a", Share: 1, Classes: []string{"chat"}}, {Pool: "b", Share: 1, Tenants: []string{"t"}}, {Pool: "c"}})
	for _, tt := range []struct {
		class, tenant string
		want          Pools
	}{{"chat", "", 1}, {"chat", "t", 3}, {"other", "t", 2}, {"other", "u", 0}} {
		if got := s.Choose(tt.class, []byte(tt.tenant), 1); got != tt.want {
			t.Errorf("%+v: got %b", tt, got)
		}
	}
	if s.Idle() || !NewSelector([]Choice{{Pool: "c"}}).Idle() {
		t.Error("idle")
	}
}

func TestCompare(t *testing.T) {
	for _, tt := range []struct {
		name         string
		live, copied Answer
		want         Comparison
	}{
		{"equal", Answer{Text: "Order 7, done.", Finish: "stop", Tokens: 9, CachedTokens: 5}, Answer{Text: "Order 7, done.", Finish: "stop", Tokens: 8, CachedTokens: -1},
			Comparison{Text: Equal, Similarity: 1, Finish: true, Tokens: -1}},
		{"space and case", Answer{Text: "Order 7, Done."}, Answer{Text: " order 7,\ndone.", Finish: "length"}, Comparison{Text: Spacing, Similarity: 1}},
		{"one word of four", Answer{Text: "a b c d"}, Answer{Text: "a b x d"}, Comparison{Text: Differs, Similarity: 0.75, Finish: true}},
		{"one more word", Answer{Text: "a b c"}, Answer{Text: "a b b c"}, Comparison{Text: Differs, Similarity: 0.75, Finish: true}},
		{"nothing in common", Answer{Text: "a b"}, Answer{Text: "c d"}, Comparison{Text: Differs, Finish: true}},
		{"one is empty", Answer{Text: ""}, Answer{Text: "c d"}, Comparison{Text: Differs, Finish: true}},
		{"no spaces", Answer{Text: "港口订单已经完成请核对客户记录然后继续下一步"}, Answer{Text: "港口订单已经完成请核对客户记录然后继续下一页"},
			Comparison{Text: Differs, Similarity: 1 - 1.0/6, Finish: true}},
		{"cut, the same", Answer{Text: "a", Truncated: true, Bytes: 9, Digest: "d"}, Answer{Text: "a", Truncated: true, Bytes: 9, Digest: "d"},
			Comparison{Text: Equal, Similarity: 1, Finish: true}},
		{"cut, not the same", Answer{Text: "a b", Truncated: true, Bytes: 9, Digest: "d"}, Answer{Text: "a c", Bytes: 9, Digest: "e"},
			Comparison{Text: NotRetained, Similarity: 0.5, Partial: true, Finish: true}},
	} {
		got := Compare(tt.live, tt.copied)
		if diff := cmp.Diff(tt.want, got); diff != "" {
			t.Errorf("%s: %s", tt.name, diff)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		a, b := Answer{Text: rapid.String().Draw(t, "a")}, Answer{Text: rapid.String().Draw(t, "b")}
		x, y := Compare(a, b), Compare(b, a)
		if x != y || !(x.Similarity >= 0 && x.Similarity <= 1) || Compare(a, a).Text != Equal {
			t.Fatalf("%+v and %+v", x, y)
		}
	})
}

func BenchmarkChooseNone(b *testing.B) {
	s := NewSelector([]Choice{{Pool: "a", Share: 0.1, Classes: []string{"other"}}, {Pool: "b", Share: 0.001}})
	b.ReportAllocs()
	for b.Loop() {
		if s.Choose("chat", nil, Session("7f3a9c21e0b4d655", "")) != 0 {
			b.Fatal("chosen")
		}
	}
}

func BenchmarkCompare(b *testing.B) {
	text := func(odd string) (s string) {
		for i := range 200 {
			s += fmt.Sprint("word", i, odd, " ")
		}
		return s
	}
	live, copied := Answer{Text: text("")}, Answer{Text: text("x")}
	b.ReportAllocs()
	for b.Loop() {
		Compare(live, copied)
	}
}
