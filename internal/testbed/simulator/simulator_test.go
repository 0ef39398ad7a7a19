package simulator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"reachspread/balance"
	"reachspread/internal/testbed/hostmodel"
)

const ms = time.Millisecond

// small returns the Spec of a fleet with 6 hosts in two zones and 2 routers, at about two thirds of
// the load that the fleet can serve.
func small(seed uint64) Spec {
	host := hostmodel.Config{Slots: 32, Queue: 32, Memory: 120000, Chunk: 2048, Block: 16, Base: 12 * ms, PerSeq: 200 * time.Microsecond,
		ContextPerK: 50 * time.Microsecond, PairsPerM: ms, ReadPerS: 20000, CachesAnswers: true, MaxConnections: 200, HandshakeWork: ms, TableCost: 0.1,
		ReportInterval: 100 * ms, ReportNoise: 0.05, ProbeWork: 100 * time.Microsecond, MaxProbesPerSecond: 20,
		SlowStart: hostmodel.SlowStart{InitialCapacity: 0.3, Duration: 8 * time.Second, MaxLoadFactor: 2.5, Window: 3 * time.Second, PerPromptToken: 50 * time.Microsecond, PerAnswerToken: 600 * time.Microsecond}}
	chat := func(name string, rate, value float64, aim, deadline time.Duration) Class {
		return Class{Class: balance.Class{Name: name, LatencyTarget: aim, LatencyTargetPer1000Tokens: 40 * ms, TokenLatencyTarget: 60 * ms, Deadline: deadline, Value: value, Streamed: true},
			Rate: rate, Turns: 3, Think: 3 * time.Second, New: Length{200, 0.8}, Out: Length{80, 0.6}, MaxOut: 400, MaxContext: 16000,
			Prefixes: 20, Zipf: 1, PrefixLen: Length{800, 0.5}}
	}
	return Spec{Seed: seed, Length: 20 * time.Second, Tick: 5 * ms, Routers: 2,
		Groups:  []Group{{Count: 3, Kind: "new", Zone: "a", Host: host}, {Count: 3, Kind: "new", Zone: "b", Host: host}},
		Classes: []Class{chat("chat", 12, 1, 1200*ms, 6*time.Second), chat("fill", 12, 3, 500*ms, 2*time.Second)},
		Balance: balance.Config{MayProbe: true, MaxAttempts: 4, SlowStartMinCapacity: 0.3, SlowStartWindow: 8 * time.Second, OverloadFactor: 2.5,
			OverloadWindow: 3 * time.Second, CrossZonePenalty: 0.02, MaxRetryAfter: time.Second},
		Net:     Network{Same: 300 * time.Microsecond, Cross: 2 * ms, Jitter: 0.2, Connect: 50 * ms, Idle: 15 * time.Second},
		List:    List{Delay: 50 * ms, Spread: 200 * ms},
		Front:   Front{Notice: 2 * time.Second},
		Retries: Retries{Max: 2, After: 200 * ms, Heed: true},
	}
}

// run runs a simulation and returns its result, also as text.
func run(t testing.TB, s Spec) (*Result, string) {
	t.Helper()
	w, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	r, err := w.Run(50e6)
	if err != nil {
		var v *Violation
		if errors.As(err, &v) {
			t.Fatal(v.Report())
		}
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := json.NewEncoder(&text).Encode(r); err != nil {
		t.Fatal(err)
	}
	for _, c := range r.Classes {
		fmt.Fprintln(&text, c.Name, c.First.ValueAtQuantile(50), c.First.ValueAtQuantile(99), c.First.Max())
	}
	return r, text.String()
}

// Without disruptions nearly all requests are served, each request has exactly one outcome, and the
// counts by class and by second agree.
func TestQuietWorldServesAll(t *testing.T) {
	r, _ := run(t, small(1))
	var asked, seconds uint64
	for _, c := range r.Classes {
		if sum := c.Good + c.Late + c.Slow + c.Refused + c.Failed + c.BrokenOff + c.Lost; sum != c.Asked || c.Asked < 100 {
			t.Errorf("%s: %d requests, %d outcomes", c.Name, c.Asked, sum)
		}
		asked += c.Asked
	}
	for _, s := range r.Seconds {
		seconds += s.Good + s.Other
	}
	if seconds != asked || r.G() < 0.9 || r.CachedTokens == 0 || r.Attempts < asked || r.MostOpen == 0 {
		t.Errorf("G %.3f, %d requests, %d outcomes by second, %+v", r.G(), asked, seconds, r)
	}
}

// The same Spec gives byte-identical results in consecutive and in concurrent runs, and another seed
// gives different results.
func TestSameSpecGivesSameResult(t *testing.T) {
	s := small(7)
	s.Disruptions = []Disruption{{Kind: SlowHosts, At: 3 * time.Second, Length: 5 * time.Second, Fraction: 0.3, Size: 4},
		{Kind: RouterCrash, At: 6 * time.Second, Length: 3 * time.Second, Fraction: 0.5}, {Kind: HostsDie, At: 9 * time.Second, Length: time.Second, Fraction: 0.2}}
	_, want := run(t, s)
	var texts [4]string
	var all sync.WaitGroup
	for i := range texts {
		all.Go(func() { _, texts[i] = run(t, s) })
	}
	all.Wait()
	for _, got := range texts {
		if got != want {
			t.Fatalf("got\n%s\nwant\n%s", got, want)
		}
	}
	s.Seed++
	if _, other := run(t, s); other == want {
		t.Error("another seed gives the same result")
	}
}

// The requests of the clients do not depend on how routers handle them.
func TestLoadIsDrawnAhead(t *testing.T) {
	s := small(3)
	want, _ := run(t, s)
	s.New = func(balance.Config, uint64) (Decider, error) { return refuser{}, nil }
	got, _ := run(t, s)
	for i := range want.Classes {
		if got.Classes[i].Asked != want.Classes[i].Asked || got.Classes[i].Refused != got.Classes[i].Asked {
			t.Errorf("%s: %d requests and %d refused with a decider that refuses all; %d requests with the real one", got.Classes[i].Name, got.Classes[i].Asked, got.Classes[i].Refused, want.Classes[i].Asked)
		}
	}
	if got.G() != 0 || got.Retries == 0 {
		t.Errorf("G %v, %d retries", got.G(), got.Retries)
	}
}

// Plan returns exactly the requests that clients make in the simulation of the same Spec.
func TestPlanHasTheRequestsOfTheWorld(t *testing.T) {
	s := small(3)
	s.Disruptions = []Disruption{{Kind: Burst, At: 5 * time.Second, Length: 5 * time.Second, Size: 3}, {Kind: HostsDie, At: 5 * time.Second, Fraction: 1, Length: time.Second}}
	plan, err := Plan(s)
	if err != nil {
		t.Fatal(err)
	}
	r, _ := run(t, s)
	var asked [2]uint64
	for i, p := range plan {
		asked[p.Class]++
		if i > 0 && p.At < plan[i-1].At || p.At >= s.Length || p.Prompt < p.Shared || p.Out < 1 || p.Out > p.MaxOut {
			t.Fatalf("%+v", p)
		}
	}
	for i, c := range r.Classes {
		if asked[i] != c.Asked {
			t.Errorf("%s: %d requests planned, %d made in the simulation", c.Name, asked[i], c.Asked)
		}
	}
}

// A connection that is established at the very time at which a step of the host ends does not make
// the host lose the results of the step.
func TestTiesLoseNothing(t *testing.T) {
	w, err := New(small(1))
	if err != nil {
		t.Fatal(err)
	}
	h, r := w.hosts[0], w.routers[0]
	f := &request{session: &session{load: w.classes[0], name: "s"}, promptTokens: 10, answerTokens: 5}
	send := func(id string) *attempt {
		a := &attempt{client: &clientAttempt{request: f, id: id, router: r, routerGeneration: r.generation}, connecting: true, conn: &connection{}}
		a.client.inFlight = a
		w.attemptReaches(a)
		return a
	}
	first := send("a")
	w.now = h.nextStep
	if send("b"); !first.firstSent || first.tokens != 1 {
		t.Errorf("the first attempt has %d tokens, want 1, and its first token must be sent", first.tokens)
	}
}

// refuser is a Decider that rejects every request.
type refuser struct{}

func (refuser) Step(_ time.Duration, events []balance.Event) (out []balance.Action) {
	for _, e := range events {
		if a, ok := e.(balance.Arrival); ok {
			out = append(out, balance.Reject{ID: a.ID})
		}
	}
	return out
}

// Each kind of disruption has its effect, and none makes the decision module break a rule.
func TestEachDisruption(t *testing.T) {
	quiet, _ := run(t, small(5))
	for _, tt := range []struct {
		t    Disruption
		seen func(r *Result) bool
	}{
		{Disruption{Kind: SlowHosts, Fraction: 0.5, Size: 8}, func(r *Result) bool { return r.G() < quiet.G() }},
		{Disruption{Kind: Burst, Size: 3}, func(r *Result) bool { return r.Asked > 1.3*quiet.Asked }},
		{Disruption{Kind: HeavyTail, Fraction: 0.2, Size: 20}, func(r *Result) bool { return r.Classes[0].First.Max() > quiet.Classes[0].First.Max() }},
		{Disruption{Kind: RouterCrash, Fraction: 0.5}, func(r *Result) bool { return r.Retries > quiet.Retries }},
		{Disruption{Kind: HostsDie, Fraction: 0.5}, func(r *Result) bool { return r.Classes[0].BrokenOff+r.Classes[1].BrokenOff > 0 && leastAlive(r) == 3 }},
		{Disruption{Kind: Replace, Fraction: 0.3}, func(r *Result) bool { return leastAlive(r) == 4 }},
		{Disruption{Kind: Release, Fraction: 0.2}, func(r *Result) bool { return leastAlive(r) >= 4 }},
		{Disruption{Kind: LostZone, Zone: "b"}, func(r *Result) bool { return r.G() < quiet.G() }},
		{Disruption{Kind: ListLost}, func(r *Result) bool { return r.G() == quiet.G() }},
	} {
		s := small(5)
		tt.t.At, tt.t.Length = 4*time.Second, 6*time.Second
		s.Disruptions = []Disruption{tt.t}
		r, text := run(t, s)
		if !tt.seen(r) {
			t.Errorf("%s did not have its effect: G %.3f, without the disruption %.3f\n%s", tt.t.Kind, r.G(), quiet.G(), text)
		}
	}
}

func leastAlive(r *Result) int {
	least := 1 << 30
	for _, s := range r.Seconds[1 : len(r.Seconds)-1] {
		least = min(least, s.Alive)
	}
	return least
}

// Without any host, and with all hosts cold at once, no rule is broken. Clients are refused or wait.
func TestWorldsWithoutHostsAndWithAllHostsDead(t *testing.T) {
	s := small(2)
	s.Groups = nil
	r, _ := run(t, s)
	if r.G() != 0 || r.Attempts != 0 {
		t.Errorf("no hosts: G %v with %d attempts", r.G(), r.Attempts)
	}
	s = small(2)
	s.Disruptions = []Disruption{{Kind: HostsDie, Fraction: 1, Length: time.Second}}
	r, _ = run(t, s)
	if r.G() == 0 || leastAlive(r) > 6 {
		t.Errorf("all hosts cold: G %v", r.G())
	}
}

// Each rule has a check that stops the simulation with a Violation, which has the seed and the
// preceding events.
func TestEachRuleFindsItsViolation(t *testing.T) {
	for _, tt := range []struct {
		rule string
		d    func(events []balance.Event) []balance.Action
	}{
		{ruleOneAnswer, func(events []balance.Event) (out []balance.Action) {
			for _, a := range arrivals(events) {
				out = append(out, balance.Reject{ID: a}, balance.Reject{ID: a})
			}
			return out
		}},
		{ruleInTime, func([]balance.Event) []balance.Action { return nil }},
		{ruleOneAttempt, func(events []balance.Event) (out []balance.Action) {
			for _, a := range arrivals(events) {
				out = append(out, balance.Send{ID: a, Replica: "h0"}, balance.Send{ID: a, Replica: "h1"})
			}
			return out
		}},
		{ruleAnswered, func(events []balance.Event) (out []balance.Action) {
			for _, a := range arrivals(events) {
				out = append(out, balance.Reject{ID: a}, balance.Send{ID: a, Replica: "h1"})
			}
			return out
		}},
		{ruleListed, func(events []balance.Event) (out []balance.Action) {
			for _, a := range arrivals(events) {
				out = append(out, balance.Send{ID: a, Replica: "h99"})
			}
			return out
		}},
		{ruleDrain, func(events []balance.Event) (out []balance.Action) {
			for _, a := range arrivals(events) {
				out = append(out, balance.Send{ID: a, Replica: "h0"})
			}
			return out
		}},
		{ruleSlowStart, func(events []balance.Event) (out []balance.Action) {
			for _, a := range arrivals(events) {
				out = append(out, balance.Send{ID: a, Replica: "h5"})
			}
			return out
		}},
	} {
		s := small(4)
		s.New = func(balance.Config, uint64) (Decider, error) { return scripted(tt.d), nil }
		s.Disruptions = []Disruption{{Kind: Replace, Fraction: 0.9, At: 100 * ms, Length: 500 * ms}}
		if tt.rule == ruleSlowStart {
			s.Disruptions = []Disruption{{Kind: HostsDie, Fraction: 1, At: 100 * ms, Length: 500 * ms}}
			s.Classes[0].Rate, s.Groups[1].Host.Queue = 300, 2000
		}
		w, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		_, err = w.Run(0)
		var v *Violation
		if !errors.As(err, &v) || v.Rule != tt.rule || v.Seed != 4 || len(v.Last) == 0 {
			t.Errorf("%s: got %v", tt.rule, err)
		} else if !strings.Contains(v.Report(), v.Last[0]) {
			t.Errorf("%s: %s", tt.rule, v.Report())
		}
	}
}

func arrivals(events []balance.Event) (ids []string) {
	for _, e := range events {
		if a, ok := e.(balance.Arrival); ok {
			ids = append(ids, a.ID)
		}
	}
	return ids
}

type scripted func([]balance.Event) []balance.Action

func (s scripted) Step(_ time.Duration, events []balance.Event) []balance.Action { return s(events) }

// The queue returns events in the order of their times, and events with equal times in the order in
// which they were pushed.
func TestQueueKeepsOrderOfTimeAndInsertion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue
		var want []event
		for i, at := range rapid.SliceOfN(rapid.IntRange(0, 20), 1, 200).Draw(t, "times") {
			q.push(event{at: time.Duration(at), number: i})
			want = append(want, event{at: time.Duration(at), number: i})
		}
		slices.SortStableFunc(want, func(a, b event) int { return int(a.at - b.at) })
		for _, e := range want {
			if got := q.pop(); got.at != e.at || got.number != e.number {
				t.Fatalf("%v %d, want %v %d", got.at, got.number, e.at, e.number)
			}
		}
	})
}

// Whatever disruptions a fleet has, the decision module breaks no rule, and each request has exactly
// one outcome.
func TestRulesHoldInRandomWorlds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := small(rapid.Uint64().Draw(t, "seed"))
		s.Length = 6 * time.Second
		s.Routers = rapid.IntRange(1, 3).Draw(t, "routers")
		for i := range s.Groups {
			s.Groups[i].Count = rapid.IntRange(0, 3).Draw(t, "hosts")
			h := &s.Groups[i].Host
			h.Slots = rapid.IntRange(8, 40).Draw(t, "slots")
			h.SlowStart.PerAnswerToken = (h.Base + time.Duration(h.Slots)*h.PerSeq) / time.Duration(h.Slots)
			s.Groups[i].Host.Memory = rapid.IntRange(18000, 120000).Draw(t, "memory")
		}
		for range rapid.IntRange(0, 3).Draw(t, "troubles") {
			x := Disruption{Kind: rapid.SampledFrom([]DisruptionKind{SlowHosts, Burst, HeavyTail, RouterCrash, HostsDie, Replace, Release, LostZone, ListLost}).Draw(t, "kind"),
				At:       time.Duration(rapid.IntRange(0, 5000).Draw(t, "at")) * ms,
				Fraction: rapid.Float64Range(0.05, 1).Draw(t, "part"), Size: rapid.Float64Range(1, 8).Draw(t, "size"), Zone: "a",
				Length: time.Duration(rapid.IntRange(100, 4000).Draw(t, "length")) * ms}
			s.Disruptions = append(s.Disruptions, x)
		}
		w, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		r, err := w.Run(5e6)
		var v *Violation
		if errors.As(err, &v) {
			t.Fatal(v.Report())
		} else if err != nil {
			t.Fatal(err)
		}
		for _, c := range r.Classes {
			if sum := c.Good + c.Late + c.Slow + c.Refused + c.Failed + c.BrokenOff + c.Lost; sum != c.Asked {
				t.Fatalf("%s: %d requests, %d outcomes", c.Name, c.Asked, sum)
			}
		}
	})
}

// The error for an invalid Spec is one line that names the field.
func TestCheckNamesTheBadField(t *testing.T) {
	for want, change := range map[string]func(*Spec){
		"Length is 0s":                          func(s *Spec) { s.Length = 0 },
		"Tick is 0s":                            func(s *Spec) { s.Tick = 0 },
		"Routers is 0":                          func(s *Spec) { s.Routers = 0 },
		"Classes is empty":                      func(s *Spec) { s.Classes = nil },
		"Classes[1] needs a Rate":               func(s *Spec) { s.Classes[1].Turns = 0 },
		"Classes[0].Patience is 2":              func(s *Spec) { s.Classes[0].Patience = 2 },
		"Classes[0].Class.Deadline is 0s":       func(s *Spec) { s.Classes[0].Class.Deadline = 0 },
		"Groups[0].Count is -1":                 func(s *Spec) { s.Groups[0].Count = -1 },
		"Groups[1].Host needs Slots":            func(s *Spec) { s.Groups[1].Host.Slots = 0 },
		"Troubles[0] (slow).Part is 1.5":        func(s *Spec) { s.Disruptions = []Disruption{{Kind: SlowHosts, Fraction: 1.5}} },
		"Troubles[0] (slow).Size is 0":          func(s *Spec) { s.Disruptions = []Disruption{{Kind: SlowHosts, Fraction: 0.5}} },
		"Troubles[0] (slow).At and Length":      func(s *Spec) { s.Disruptions = []Disruption{{Kind: SlowHosts, At: -1}} },
		`Troubles[0] (lost_zone).Zone is "c"`:   func(s *Spec) { s.Disruptions = []Disruption{{Kind: LostZone, Zone: "c"}} },
		"Troubles[0] (release).Part and Length": func(s *Spec) { s.Disruptions = []Disruption{{Kind: Release}} },
		"Troubles[0] (flood).Kind is unknown":   func(s *Spec) { s.Disruptions = []Disruption{{Kind: "flood"}} },
	} {
		s := small(1)
		change(&s)
		if _, err := New(s); err == nil || !strings.HasPrefix(err.Error(), "spec: "+want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// BenchmarkWorld simulates 5 seconds of 200 hosts and 20 routers, and reports the number of events.
func BenchmarkWorld(b *testing.B) {
	for b.Loop() {
		s := small(1)
		s.Length = 5 * time.Second
		s.Routers = 20
		for i := range s.Groups {
			s.Groups[i].Count = 100
			s.Classes[i].Rate *= 30
		}
		w, err := New(s)
		if err != nil {
			b.Fatal(err)
		}
		r, err := w.Run(0)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(r.Events), "events/world")
	}
}

// If a zone is isolated for longer than StreamIdleTimeout, routers end its streams during the
// isolation, not when the zone is reconnected.
func TestIdleStreamsOfIsolatedHostEnd(t *testing.T) {
	ended := func(silent time.Duration) (during, broken uint64) {
		s := small(2)
		s.Net.StreamIdleTimeout = silent
		s.Retries.Max = 0
		s.Disruptions = []Disruption{{Kind: LostZone, At: 5 * time.Second, Length: 9 * time.Second, Zone: "a"}}
		r, _ := run(t, s)
		for _, second := range r.Seconds[9:11] {
			during += second.Other
		}
		for _, c := range r.Classes {
			broken += c.BrokenOff
		}
		return during, broken
	}
	during, broken := ended(4500 * ms)
	never, later := ended(0)
	if broken == 0 || during < never+broken/2 || later < broken {
		t.Errorf("with an idle timeout, %d requests end without success around it and %d are interrupted; without one, %d and %d", during, broken, never, later)
	}
}
