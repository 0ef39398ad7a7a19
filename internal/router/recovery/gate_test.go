package recovery

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachspread/balance"
)

func twoClasses() balance.Config {
	return balance.Config{SlowStartMinCapacity: 0.3, SlowStartWindow: 8 * s, MaxRetryAfter: s, Classes: []balance.Class{
		{Name: "fill", LatencyTarget: 400 * ms, Deadline: 1200 * ms, Value: 5},
		{Name: "chat", LatencyTarget: 1200 * ms, Deadline: 6 * s, Value: 2},
	}}
}

// listed has hosts that all started at one time, 0 for long ago.
func listed(n int, startedAt time.Duration) balance.Members {
	m := balance.Members{Version: 1, Complete: true}
	for i := range n {
		m.Members = append(m.Members, balance.Member{Replica: fmt.Sprint("h", i), State: balance.Serving, StartedAt: startedAt})
	}
	return m
}

// arrivals plays arrivals of both classes, 20 a second of each, for a while; answer says how a
// "fill" is answered. It returns how many of each class passed, and came.
func arrivals(g *Gate, from, length time.Duration, answer func(now time.Duration, id string) []balance.Event) (passed, arrived map[string]int) {
	passed, arrived = map[string]int{}, map[string]int{}
	n := 0
	for now := from; now < from+length; now += 50 * ms {
		var events []balance.Event
		for _, c := range g.classes {
			n++
			id := fmt.Sprint(c.class.Name, from, n)
			events = append(events, balance.Arrival{ID: id, Class: c.class.Name, PromptTokens: 1000, TimeLeft: c.class.Deadline})
			arrived[c.class.Name]++
			if answer != nil && c.class.Name == "fill" {
				events = append(events, answer(now, id)...)
			}
		}
		pass, _ := g.Step(now, events)
		for _, e := range pass {
			if a, ok := e.(balance.Arrival); ok {
				passed[a.Class]++
			}
		}
	}
	return passed, arrived
}

// Warm hosts: nothing is rejected. Hosts that are warming up: nothing of the highest value, and of
// the next as much as it leaves of what hosts can do; more with time, all once they are warm.
func TestGateAdmitsByValueWhileHostsWarmUp(t *testing.T) {
	const start = 1000 * s
	answerAtOnce := func(_ time.Duration, id string) []balance.Event { return []balance.Event{balance.FirstToken{ID: id}} }
	g := NewGate(twoClasses(), nil, 1)
	g.Step(start, []balance.Event{listed(6, 0)})
	if passed, arrived := arrivals(g, start, 5*s, answerAtOnce); passed["fill"] != arrived["fill"] || passed["chat"] != arrived["chat"] {
		t.Errorf("warm: %v of %v", passed, arrived)
	}
	restartedAt := start + 10*s
	g.Step(restartedAt, []balance.Event{listed(6, restartedAt)})
	var chatFractions []float64
	for i := range 4 {
		passed, arrived := arrivals(g, restartedAt+time.Duration(i)*2*s, 2*s, answerAtOnce)
		if passed["fill"] != arrived["fill"] {
			t.Errorf("cold: %v of %v", passed, arrived)
		}
		chatFractions = append(chatFractions, float64(passed["chat"])/float64(arrived["chat"]))
	}
	if chatFractions[0] > 0.1 || chatFractions[3] < 0.5 {
		t.Errorf("chat: %.2f", chatFractions)
	}
	if passed, arrived := arrivals(g, restartedAt+8*s, s, answerAtOnce); passed["chat"] != arrived["chat"] {
		t.Errorf("warm again: %v of %v", passed, arrived)
	}
	if g.Rejected == 0 {
		t.Error("nothing is counted")
	}

	// A release makes a tenth of the hosts cold: nearly all goes on, though the highest worth is
	// late.
	g = NewGate(twoClasses(), nil, 1)
	release := listed(10, 0)
	release.Members[3].StartedAt = restartedAt
	g.Step(restartedAt, []balance.Event{release})
	if passed, arrived := arrivals(g, restartedAt, 4*s, nil); float64(passed["chat"]) < 0.8*float64(arrived["chat"]) {
		t.Errorf("a tenth is cold: %v of %v", passed, arrived)
	}

	// The highest worth is late: less of the other goes on than where it is in time.
	chatFraction := func(answer func(time.Duration, string) []balance.Event) float64 {
		c := twoClasses()
		c.Classes[0].LatencyTargetPer1000Tokens = 0
		g := NewGate(c, map[string]float64{"fill": 1000, "chat": 50000}, 1)
		g.Step(restartedAt, []balance.Event{listed(6, restartedAt)})
		passed, arrived := arrivals(g, restartedAt+4*s, 3*s, answer)
		return float64(passed["chat"]) / float64(arrived["chat"])
	}
	if a, b := chatFraction(answerAtOnce), chatFraction(nil); a < 2*b || a == 0 {
		t.Errorf("chat with the others in time %.2f, with them late %.2f", a, b)
	}
}

// Classes of one value are alike, and half the hosts warm is a fraction like another.
func TestClassesOfOneValueAreAlike(t *testing.T) {
	c := twoClasses()
	c.Classes[1].Value = 5
	g := NewGate(c, nil, 1)
	g.Step(s, []balance.Event{listed(6, s)})
	if passed, arrived := arrivals(g, s, 4*s, nil); passed["chat"] != arrived["chat"] || passed["fill"] != arrived["fill"] {
		t.Errorf("one worth: %v of %v", passed, arrived)
	}
	m := listed(6, 100*s)
	for i := range 3 {
		m.Members[i].StartedAt = 0
	}
	m.Members[5].State = balance.Draining
	g.Step(100*s, []balance.Event{m})
	if x := g.WarmFraction(100 * s); x < (3+2*0.3)/5-1e-9 || x > (3+2*0.3)/5+1e-9 {
		t.Errorf("share %v", x)
	}
}

// An attempt whose latency target has passed takes nobody's place; one whose time has an unknown
// beginning is taken for a first.
func TestStaleRetriesAreRejected(t *testing.T) {
	g := NewGate(twoClasses(), nil, 1)
	g.Step(s, []balance.Event{listed(6, s)})
	for _, x := range []struct {
		left   time.Duration
		passes bool
	}{{1200 * ms, true}, {1100 * ms, true}, {790 * ms, false}, {300 * ms, false}, {1190 * ms, true}} {
		pass, out := g.Step(s, []balance.Event{balance.Arrival{ID: fmt.Sprint(x.left), Class: "fill", TimeLeft: x.left}})
		if (len(pass) == 1) != x.passes || len(pass)+len(out) != 1 {
			t.Errorf("with %v left: %d go on, %d are answered", x.left, len(pass), len(out))
		}
	}
	g = NewGate(twoClasses(), nil, 1) // tries wait for half of the deadline at most
	g.Step(s, []balance.Event{listed(6, s)})
	for i, left := range []time.Duration{600 * ms, 600 * ms, 590 * ms, 500 * ms} {
		pass, _ := g.Step(s, []balance.Event{balance.Arrival{ID: fmt.Sprint(i), Class: "fill", TimeLeft: left}})
		if (len(pass) == 1) != (i < 3) {
			t.Errorf("with %v of 600ms left: %d go on", left, len(pass))
		}
	}
}

// Whatever comes: an arrival passes or is rejected, each once; what is no arrival passes; nothing
// of the highest value is rejected that is not stale; what is pending is bounded.
func TestGatePassesOrRejectsEachArrivalOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := twoClasses()
		g := NewGate(c, map[string]float64{"fill": rapid.Float64Range(0, 1e6).Draw(t, "usual"), "gone": 3}, rapid.Uint64().Draw(t, "seed"))
		now, n, version := s, 0, int64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * ms
			var events []balance.Event
			arrivals := map[string]string{}
			for range rapid.IntRange(0, 20).Draw(t, "events") {
				switch rapid.IntRange(0, 4).Draw(t, "event") {
				case 0:
					version += int64(rapid.IntRange(-1, 1).Draw(t, "version"))
					m := listed(rapid.IntRange(0, 4).Draw(t, "hosts"), now-time.Duration(rapid.IntRange(0, 12000).Draw(t, "age"))*ms)
					m.Version, m.Complete = version, rapid.Bool().Draw(t, "whole")
					events = append(events, m)
				case 1:
					events = append(events, balance.FirstToken{ID: fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id"))})
				case 2:
					events = append(events, balance.ConfigChange{Config: c})
				default:
					n++
					class := rapid.SampledFrom([]string{"fill", "chat", "none"}).Draw(t, "class")
					arrivals[fmt.Sprint(n)] = class
					events = append(events, balance.Arrival{ID: fmt.Sprint(n), Class: class, PromptTokens: rapid.Float64Range(0, 1e5).Draw(t, "prompt"), TimeLeft: 1200 * ms})
				}
			}
			pass, out := g.Step(now, events)
			if len(pass)+len(out) != len(events) {
				t.Fatalf("%d of %d go on, %d are answered", len(pass), len(events), len(out))
			}
			for _, a := range out {
				r := a.(balance.Reject)
				if class := arrivals[r.ID]; class != "chat" || r.RetryAfter < 0 || r.RetryAfter > c.MaxRetryAfter {
					t.Fatalf("%q is refused for %v", class, r.RetryAfter)
				}
				delete(arrivals, r.ID)
			}
			if len(g.pending) > maxPending {
				t.Fatalf("%d open", len(g.pending))
			}
		}
	})
}

// What is learned is averaged, goes on from another process, and drops classes that are gone.
func TestBaselineAveragesAndDropsClasses(t *testing.T) {
	var baseline Baseline
	if _, ok := baseline.Learned(); ok {
		t.Error("something is there at the start")
	}
	baseline.Update(0, balance.Learned{}, nil)
	for i := range 30 {
		baseline.Update(time.Duration(i)*s, balance.Learned{CompletedWork: float64(1 + i%2), MeanWork: 1, DecodeTimes: map[string]float64{"a": 2}, PrefillByKind: map[string]balance.PrefillLine{"k": {XX: 1, XY: 1}},
			Replicas: []balance.LearnedReplica{{Replica: "h", StartedAt: s, ConcurrencyLimit: float64(i), LatencyRatio: 1}}}, map[string]float64{"a": float64(2 * (i % 2)), "b": 1})
	}
	l, _ := baseline.Learned()
	if d := baseline.Demand(); l.CompletedWork < 1.4 || l.CompletedWork > 1.6 || d["a"] < 0.9 || d["a"] > 1.1 {
		t.Errorf("%+v, %v", l, baseline.Demand())
	}
	if len(l.PrefillByKind) != 1 || len(l.Replicas) != 1 || l.Replicas[0].ConcurrencyLimit != 29 || l.DecodeTimes["a"] != 2 {
		t.Errorf("of kinds, hosts and classes the last word counts: %+v", l)
	}
	var next Baseline
	next.Restore(l, baseline.Demand())
	next.Update(0, balance.Learned{CompletedWork: 100, MeanWork: 1}, map[string]float64{"a": 1})
	if x, _ := next.Learned(); x.CompletedWork > 6 || len(next.Demand()) != 1 {
		t.Errorf("%+v, %v", x, next.Demand())
	}
}
