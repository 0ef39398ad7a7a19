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

// listed returns a list of n hosts that all started at startedAt; 0 means long ago.
func listed(n int, startedAt time.Duration) balance.Members {
	m := balance.Members{Version: 1, Complete: true}
	for i := range n {
		m.Members = append(m.Members, balance.Member{Replica: fmt.Sprint("h", i), State: balance.Serving, StartedAt: startedAt})
	}
	return m
}

// arrivals passes 20 arrivals a second of each class to a Gate for the given length of time. The
// function answer returns the events that answer a request of class "fill"; nil means no answers. The
// results count by class how many requests passed the Gate and how many arrived.
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

// While hosts are warm, a Gate rejects nothing. While they are warming up, it admits all requests of
// the highest value, and requests of the next class as far as the remaining capacity allows. It
// admits more of them with time, and all once the hosts are warm.
func TestGateAdmitsByValueWhileHostsWarmUp(t *testing.T) {
	const start = 1000 * s
	answerAtOnce := func(_ time.Duration, id string) []balance.Event { return []balance.Event{balance.FirstToken{ID: id}} }
	g := NewGate(twoClasses(), nil, 1)
	g.Step(start, []balance.Event{listed(6, 0)})
	if passed, arrived := arrivals(g, start, 5*s, answerAtOnce); passed["fill"] != arrived["fill"] || passed["chat"] != arrived["chat"] {
		t.Errorf("warm hosts: %v of %v arrivals pass; want all", passed, arrived)
	}
	restartedAt := start + 10*s
	g.Step(restartedAt, []balance.Event{listed(6, restartedAt)})
	var chatFractions []float64
	for i := range 4 {
		passed, arrived := arrivals(g, restartedAt+time.Duration(i)*2*s, 2*s, answerAtOnce)
		if passed["fill"] != arrived["fill"] {
			t.Errorf("hosts warming up: %v of %v arrivals pass; want all of the class fill", passed, arrived)
		}
		chatFractions = append(chatFractions, float64(passed["chat"])/float64(arrived["chat"]))
	}
	if chatFractions[0] > 0.1 || chatFractions[3] < 0.5 {
		t.Errorf("the fractions of the class chat that pass while hosts warm up are %.2f; want at most 0.1 first and at least 0.5 last", chatFractions)
	}
	if passed, arrived := arrivals(g, restartedAt+8*s, s, answerAtOnce); passed["chat"] != arrived["chat"] {
		t.Errorf("hosts warm again: %v of %v arrivals pass; want all of the class chat", passed, arrived)
	}
	if g.Rejected == 0 {
		t.Error("the Gate counts no rejected requests")
	}

	// A release restarts a tenth of the hosts. Nearly all requests must pass although those of the
	// highest value get no answers.
	g = NewGate(twoClasses(), nil, 1)
	release := listed(10, 0)
	release.Members[3].StartedAt = restartedAt
	g.Step(restartedAt, []balance.Event{release})
	if passed, arrived := arrivals(g, restartedAt, 4*s, nil); float64(passed["chat"]) < 0.8*float64(arrived["chat"]) {
		t.Errorf("a tenth of the hosts is cold: %v of %v arrivals pass; want 0.8 of the class chat or more", passed, arrived)
	}

	// Fewer requests of the other class pass if requests of the highest value are late.
	chatFraction := func(answer func(time.Duration, string) []balance.Event) float64 {
		c := twoClasses()
		c.Classes[0].LatencyTargetPer1000Tokens = 0
		g := NewGate(c, map[string]float64{"fill": 1000, "chat": 50000}, 1)
		g.Step(restartedAt, []balance.Event{listed(6, restartedAt)})
		passed, arrived := arrivals(g, restartedAt+4*s, 3*s, answer)
		return float64(passed["chat"]) / float64(arrived["chat"])
	}
	if a, b := chatFraction(answerAtOnce), chatFraction(nil); a < 2*b || a == 0 {
		t.Errorf("%.2f of the class chat pass with the class fill in time, %.2f with it late; want some, and at least twice as many in time", a, b)
	}
}

// A Gate treats classes with equal values alike. The warm fraction is the mean over the hosts that
// serve, whether they are warm or cold.
func TestClassesOfOneValueAreAlike(t *testing.T) {
	c := twoClasses()
	c.Classes[1].Value = 5
	g := NewGate(c, nil, 1)
	g.Step(s, []balance.Event{listed(6, s)})
	if passed, arrived := arrivals(g, s, 4*s, nil); passed["chat"] != arrived["chat"] || passed["fill"] != arrived["fill"] {
		t.Errorf("classes with equal values: %v of %v arrivals pass; want all", passed, arrived)
	}
	m := listed(6, 100*s)
	for i := range 3 {
		m.Members[i].StartedAt = 0
	}
	m.Members[5].State = balance.Draining
	g.Step(100*s, []balance.Event{m})
	if x := g.WarmFraction(100 * s); x < (3+2*0.3)/5-1e-9 || x > (3+2*0.3)/5+1e-9 {
		t.Errorf("the warm fraction of three warm and two cold hosts is %v; want 0.72", x)
	}
}

// A Gate rejects a retry whose latency target has passed. It recognizes a first attempt by its time
// left, which is about the most that any request of the class has had.
func TestStaleRetriesAreRejected(t *testing.T) {
	g := NewGate(twoClasses(), nil, 1)
	g.Step(s, []balance.Event{listed(6, s)})
	for _, x := range []struct {
		left   time.Duration
		passes bool
	}{{1200 * ms, true}, {1100 * ms, true}, {790 * ms, false}, {300 * ms, false}, {1190 * ms, true}} {
		pass, out := g.Step(s, []balance.Event{balance.Arrival{ID: fmt.Sprint(x.left), Class: "fill", TimeLeft: x.left}})
		if (len(pass) == 1) != x.passes || len(pass)+len(out) != 1 {
			t.Errorf("an arrival with %v left: %d events pass and %d are rejected", x.left, len(pass), len(out))
		}
	}
	g = NewGate(twoClasses(), nil, 1) // clients allow only half of the deadline for an attempt
	g.Step(s, []balance.Event{listed(6, s)})
	for i, left := range []time.Duration{600 * ms, 600 * ms, 590 * ms, 500 * ms} {
		pass, _ := g.Step(s, []balance.Event{balance.Arrival{ID: fmt.Sprint(i), Class: "fill", TimeLeft: left}})
		if (len(pass) == 1) != (i < 3) {
			t.Errorf("an arrival with %v of 600ms left: %d events pass", left, len(pass))
		}
	}
}

// For any events, each arrival either passes or is rejected once, and all other events pass. No
// request here is stale, so the Gate rejects only requests of the lower value. The number of pending
// requests stays within maxPending.
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
				t.Fatalf("%d of %d events pass and %d are rejected; the sum is wrong", len(pass), len(events), len(out))
			}
			for _, a := range out {
				r := a.(balance.Reject)
				if class := arrivals[r.ID]; class != "chat" || r.RetryAfter < 0 || r.RetryAfter > c.MaxRetryAfter {
					t.Fatalf("a request of class %q is rejected with RetryAfter %v; only class chat may be, with 0 to MaxRetryAfter", class, r.RetryAfter)
				}
				delete(arrivals, r.ID)
			}
			if len(g.pending) > maxPending {
				t.Fatalf("%d requests are pending, more than maxPending", len(g.pending))
			}
		}
	})
}

// A Baseline averages learned values and demand, continues from the values of another process, and
// drops classes that no longer exist.
func TestBaselineAveragesAndDropsClasses(t *testing.T) {
	var baseline Baseline
	if _, ok := baseline.Learned(); ok {
		t.Error("an empty Baseline returns learned values")
	}
	baseline.Update(0, balance.Learned{}, nil)
	for i := range 30 {
		baseline.Update(time.Duration(i)*s, balance.Learned{CompletedWork: float64(1 + i%2), MeanWork: 1, DecodeTimes: map[string]float64{"a": 2}, PrefillByKind: map[string]balance.PrefillLine{"k": {XX: 1, XY: 1}},
			Replicas: []balance.LearnedReplica{{Replica: "h", StartedAt: s, ConcurrencyLimit: float64(i), LatencyRatio: 1}}}, map[string]float64{"a": float64(2 * (i % 2)), "b": 1})
	}
	l, _ := baseline.Learned()
	if d := baseline.Demand(); l.CompletedWork < 1.4 || l.CompletedWork > 1.6 || d["a"] < 0.9 || d["a"] > 1.1 {
		t.Errorf("learned values %+v and demand %v are not averaged", l, baseline.Demand())
	}
	if len(l.PrefillByKind) != 1 || len(l.Replicas) != 1 || l.Replicas[0].ConcurrencyLimit != 29 || l.DecodeTimes["a"] != 2 {
		t.Errorf("kinds, hosts or classes are not those of the last update: %+v", l)
	}
	var next Baseline
	next.Restore(l, baseline.Demand())
	next.Update(0, balance.Learned{CompletedWork: 100, MeanWork: 1}, map[string]float64{"a": 1})
	if x, _ := next.Learned(); x.CompletedWork > 6 || len(next.Demand()) != 1 {
		t.Errorf("after Restore and Update: learned values %+v and demand %v; want CompletedWork of at most 6 and one class", x, next.Demand())
	}
}
