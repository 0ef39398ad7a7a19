package hostmodel

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// plain returns the configuration of a host whose times are easy to calculate by hand: 10 ms for a
// step, 1 ms for each running request, and 10,000 prompt tokens a second (0.1 ms for each).
func plain() Config {
	return Config{Slots: 4, Queue: 2, Memory: 10000, Chunk: 100, Block: 10, Base: 10 * ms, PerSeq: ms, ReadPerS: 10000}
}

// play applies events at one time, then steps the host until another time, and returns all results.
func play(h *Host, from, until time.Duration, events ...Event) (all []Result) {
	for _, e := range events {
		all = append(all, h.Step(from, e)...)
	}
	for {
		at, ok := h.Next()
		if !ok || at > until {
			return all
		}
		all = append(all, h.Step(at, TimePassed{})...)
	}
}

func ask(id string, prompt, out int) Arrive {
	return Arrive{Request{ID: id, PromptTokens: prompt, AnswerTokens: out, MaxAnswerTokens: out}}
}

// times returns the times of a request's results of one kind.
func times(all []Result, kind ResultKind, id string) (at []time.Duration) {
	for _, r := range all {
		if r.Kind == kind && r.ID == id {
			at = append(at, r.At)
		}
	}
	return at
}

// A prompt of 250 tokens is prefilled in three steps of up to 100 tokens, and the third step makes
// the first token. The first two steps take 10+1+10 ms each, the third takes 10+1+5 ms, and each
// later step takes 11 ms.
func TestStepTimes(t *testing.T) {
	all := play(New(plain(), 1), 0, time.Second, ask("a", 250, 3))
	want := []time.Duration{58 * ms, 69 * ms, 80 * ms}
	if diff := cmp.Diff(want, times(all, Token, "a")); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(want[2:], times(all, LastToken, "a")); diff != "" {
		t.Error(diff)
	}
}

// Contexts and pairs of tokens take time: here 10 ms for each 1,000 tokens of context and 100 ms for
// each million pairs. The second step of a prompt of 200 tokens begins with a context of 100 tokens
// (1 ms) and prefills 100 tokens after these (15,000 pairs: 1.5 ms).
func TestLongContextsTakeLonger(t *testing.T) {
	c := plain()
	c.ContextPerK, c.PairsPerM = 10*ms, 100*ms
	all := play(New(c, 1), 0, time.Second, ask("a", 200, 2))
	first := 21*ms + 500*time.Microsecond + 21*ms + ms + 1500*time.Microsecond
	if diff := cmp.Diff([]time.Duration{first, first + 11*ms + 2010*time.Microsecond}, times(all, Token, "a")); diff != "" {
		t.Error(diff)
	}
}

// Two prompts share the chunk of a step in the order of their arrival: the second one gets the
// tokens that the first one leaves.
func TestFirstComeFirstRead(t *testing.T) {
	all := play(New(plain(), 1), 0, time.Second, ask("a", 150, 1), ask("b", 50, 1))
	// The first step began with only request a: 21 ms. The second step prefills 50 tokens of a and 50
	// of b: 10+2+10 ms.
	for _, id := range []string{"a", "b"} {
		if diff := cmp.Diff([]time.Duration{43 * ms}, times(all, Token, id)); diff != "" {
			t.Errorf("%s: %s", id, diff)
		}
	}
}

// At saturation each slot makes a token in each step: 4 tokens in 14 ms.
func TestThroughputAtSaturation(t *testing.T) {
	c := plain()
	c.Queue = 100
	h := New(c, 1)
	for i := range 40 {
		h.Step(0, ask(fmt.Sprint(i), 1, 1000))
	}
	play(h, 0, 10*time.Second)
	got, want := float64(h.Stats(10*time.Second).Tokens)/10, 4/0.014
	if got < want*0.99 || got > want*1.01 {
		t.Errorf("%.1f tokens a second, want %.1f", got, want)
	}
}

func TestTurnedAway(t *testing.T) {
	h := New(plain(), 1)
	for i := range 6 { // 4 slots and 2 in the queue
		if got := h.Step(0, ask(fmt.Sprint(i), 10, 100)); len(got) > 0 {
			t.Fatalf("%d: %+v", i, got)
		}
	}
	for _, tt := range []struct {
		e   Event
		why RejectReason
	}{{ask("6", 10, 10), QueueFull}, {ask("7", 9991, 10), TooLong}} {
		if got := h.Step(0, tt.e); len(got) != 1 || got[0].Kind != Rejected || got[0].Reason != tt.why {
			t.Errorf("%+v, want %v", got, tt.why)
		}
	}
	h.Step(0, Drain{})
	if got := h.Step(0, ask("8", 10, 10)); len(got) != 1 || got[0].Reason != Draining {
		t.Errorf("%+v", got)
	}
	if got := play(h, 0, time.Minute); len(times(got, LastToken, "0")) != 1 || len(times(got, LastToken, "5")) != 1 {
		t.Error("a draining host did not finish what it had")
	}
	if got := h.Step(time.Minute, Crash{}); len(got) != 0 {
		t.Errorf("%+v", got)
	}
	if got := h.Step(time.Minute, ask("9", 10, 10)); len(got) != 1 || got[0].Reason != Dead {
		t.Errorf("%+v", got)
	}
}

// A prefilled prefix is cached for other sessions, and a session's next request reuses all tokens
// of its previous one. Both are cached in whole blocks.
func TestWhatIsKept(t *testing.T) {
	for _, made := range []bool{false, true} {
		c := plain()
		c.CachesAnswers = made
		h := New(c, 1)
		turn := func(at time.Duration, id, session string, prompt, out int) int {
			for _, r := range play(h, at, at+time.Second, Arrive{Request{ID: id, Session: session, Prefix: "p", PrefixTokens: 47, PromptTokens: prompt, AnswerTokens: out, MaxAnswerTokens: out}}) {
				if r.Kind == LastToken {
					return r.CachedTokens
				}
			}
			t.Fatalf("%s was not answered", id)
			return 0
		}
		third := 80 // whole blocks of the first turn's prompt of 85 tokens, without its answer
		if made {
			third = 100 // whole blocks of 105 tokens, with the answer
		}
		for i, tt := range []struct {
			id, session string
			prompt, out int
			want        int
		}{{"a", "s", 85, 20, 0}, {"b", "t", 60, 5, 40}, {"c", "s", 130, 5, third}, {"d", "s", 41, 5, 40}, {"e", "", 47, 1, 40}} {
			if got := turn(time.Duration(i+1)*time.Second, tt.id, tt.session, tt.prompt, tt.out); got != tt.want {
				t.Errorf("answers cached: %v; request %s found %d tokens in the cache, want %d", made, tt.id, got, tt.want)
			}
		}
		if s := h.Stats(time.Minute); s.UsedTokens > c.Memory || s.RunningTokens != 0 {
			t.Errorf("%+v", s)
		}
	}
}

// The least recently used sequence is evicted first, and a prefix is never evicted before the
// sequences that extend it.
func TestEviction(t *testing.T) {
	c := plain()
	c.Memory, c.Chunk = 400, 400
	h := New(c, 1)
	at := time.Second
	turn := func(id, session, prefix string, prompt int) (kept int) {
		at += time.Second
		for _, r := range play(h, at, at+900*ms, Arrive{Request{ID: id, Session: session, Prefix: prefix, PrefixTokens: 50, PromptTokens: prompt, AnswerTokens: 1, MaxAnswerTokens: 1}}) {
			if r.Kind == LastToken {
				kept = r.CachedTokens
			}
		}
		return kept
	}
	turn("1", "s", "p", 150) // caches 50 tokens of the prefix and 100 of the session
	turn("2", "t", "p", 150)
	turn("3", "u", "", 120) // 370 tokens are cached now
	if got := turn("4", "s", "p", 160); got != 150 {
		t.Errorf("found %d cached tokens before any eviction, want 150", got)
	}
	turn("5", "v", "", 100)                         // evicts 100 tokens of t
	if got := turn("6", "t", "p", 150); got != 50 { // only the prefix is left
		t.Errorf("found %d cached tokens after the eviction, want the 50 of the prefix", got)
	}
}

// When memory runs out, the newest request is put back into the queue. It prefills its prompt and
// the tokens made so far again, and is still answered completely: no token is lost or repeated.
// Memory may run out twice in a step.
func TestPreemption(t *testing.T) {
	c := plain()
	c.Memory, c.Chunk = 300, 1000
	h := New(c, 1)
	all := play(h, 0, time.Minute, ask("a", 90, 120), ask("b", 90, 120), ask("c", 90, 120))
	preempted := 0
	for _, id := range []string{"a", "b", "c"} {
		preempted += len(times(all, Preempted, id))
		if n, aligned := len(times(all, Token, id)), len(times(all, LastToken, id)); n != 120 || aligned != 1 {
			t.Errorf("request %s: %d tokens and %d ends, want 120 and 1", id, n, aligned)
		}
	}
	if len(times(all, Preempted, "a")) > 0 || preempted == 0 || h.Stats(0).Preempted != uint64(preempted) {
		t.Errorf("%d preemptions, %d of them of the oldest request; want some, and none of the oldest", preempted, len(times(all, Preempted, "a")))
	}
	if a, c := times(all, LastToken, "a"), times(all, LastToken, "c"); a[0] >= c[0] {
		t.Errorf("the oldest request ended at %v, the newest at %v; want the oldest first", a, c)
	}
}

// A cold host starts with its initial capacity, which rises linearly. If it is sent more work than
// its budget within the window, it fails and interrupts its requests.
func TestColdStart(t *testing.T) {
	c := plain()
	c.SlowStart = SlowStart{InitialCapacity: 0.25, Duration: 10 * time.Second, MaxLoadFactor: 2, Window: time.Second, PerPromptToken: ms}
	h := New(c, 1)
	h.Step(0, Crash{})
	h.Step(time.Second, Start{})
	for at, want := range map[time.Duration]float64{time.Second: 0.25, 6 * time.Second: 0.625, 11 * time.Second: 1, time.Hour: 1} {
		if got := h.Stats(at).Capacity; got != want {
			t.Errorf("at %v a capacity of %v, want %v", at, got, want)
		}
	}
	all := play(h, time.Second, 2*time.Second, ask("a", 90, 1))
	if diff := cmp.Diff([]time.Duration{time.Second + 80*ms}, times(all, Token, "a")); diff != "" { // 20 ms of work at a quarter of the capacity
		t.Error(diff)
	}
	// At 2.5 s the capacity is 0.3625, so 725 ms of work may be sent within a second. The 90 ms of the
	// first request were sent before 1.5 s and do not count.
	var failure []Result
	for i := range 8 {
		got := h.Step(2500*ms, ask(fmt.Sprint("b", i), 100, 500))
		if overloaded := slices.ContainsFunc(got, func(r Result) bool { return r.Kind == Overloaded }); overloaded != (i == 7) {
			t.Errorf("request %d: %+v", i, got)
		} else if overloaded {
			failure = slices.Clone(got)
		}
	}
	if len(failure) == 0 || h.Stats(0).Alive {
		t.Fatal("the host did not fail from overload")
	}
	kinds := map[ResultKind]int{}
	for _, r := range failure {
		kinds[r.Kind]++
	}
	// Four requests ran and two waited. The last two were rejected, but their work counts.
	if diff := cmp.Diff(map[ResultKind]int{Rejected: 1, Overloaded: 1, Interrupted: 6}, kinds); diff != "" {
		t.Error(diff)
	}
}

// A host whose slow start depends on work stays cold for as long as it has no work.
func TestWarmedByWork(t *testing.T) {
	c := plain()
	c.SlowStart = SlowStart{InitialCapacity: 0.5, Duration: time.Second, Work: 110 * ms}
	h := New(c, 1)
	h.Step(0, Crash{})
	h.Step(0, Start{})
	if got := h.Stats(time.Hour).Capacity; got != 0.5 {
		t.Errorf("after an idle hour, the capacity is %v, want 0.5", got)
	}
	play(h, time.Hour, 2*time.Hour, ask("a", 1, 10)) // 10 steps of 11 ms, and 0.1 ms to prefill
	if got := h.Stats(2 * time.Hour).Capacity; got != 1 {
		t.Errorf("after the work, the capacity is %v, want 1", got)
	}
}

// A full connection table reduces the capacity by TableCost, each handshake costs HandshakeWork, and
// a connection beyond the size of the table fails.
func TestConnections(t *testing.T) {
	c := plain()
	c.MaxConnections, c.TableCost, c.HandshakeWork = 10, 0.5, 2*ms
	h := New(c, 1)
	for range 10 {
		if got := h.Step(0, Connect{}); len(got) > 0 {
			t.Fatalf("%+v", got)
		}
	}
	if got := h.Step(0, Connect{}); len(got) != 1 || got[0].Kind != TableFull {
		t.Errorf("%+v", got)
	}
	all := play(h, 0, time.Second, ask("a", 10, 2))
	// The first token takes 10+1+1 ms and 20 ms of handshakes, the second 11 ms, both at half the
	// capacity.
	if diff := cmp.Diff([]time.Duration{64 * ms, 86 * ms}, times(all, Token, "a")); diff != "" {
		t.Error(diff)
	}
	for range 10 {
		h.Step(time.Second, Disconnect{})
	}
	if s := h.Stats(time.Second); s.Connections != 0 || s.Capacity != 1 {
		t.Errorf("%+v", s)
	}
}

// A load report shows the state at the last refresh. A shallow probe is answered at once, a deep
// probe waits in the queue.
func TestReportsAndProbes(t *testing.T) {
	c := plain()
	c.ReportInterval, c.MaxProbesPerSecond = 100*ms, 3
	h := New(c, 1)
	h.Step(0, TimePassed{})
	for i := range 5 {
		h.Step(10*ms, ask(fmt.Sprint(i), 100, 50))
	}
	if got := h.Load(20 * ms); got.Running != 0 || got.Utilization != 0 {
		t.Errorf("refreshed too early: %+v", got)
	}
	if got := h.Step(110*ms, Probe{ID: "p"}); len(got) == 0 || got[len(got)-1].Kind != ProbeAnswered || got[len(got)-1].Load.Running != 4 ||
		got[len(got)-1].Load.Waiting != 1 {
		t.Errorf("%+v", got)
	}
	deep := play(h, 110*ms, time.Minute, Probe{ID: "deep", Deep: true})
	if at := times(deep, ProbeAnswered, "deep"); len(at) != 1 || at[0] < 700*ms { // a slot is free only when the first requests are complete
		t.Errorf("%v", at)
	}
	h.Step(59*time.Second, Probe{ID: "q"})
	for i, want := range []ResultKind{ProbeAnswered, ProbeAnswered, Rejected} {
		if got := h.Step(59*time.Second, Probe{ID: "q"}); got[0].Kind != want {
			t.Errorf("probe %d: %+v", i, got)
		}
	}
}

// Whatever the events, each accepted request ends exactly once, no token is lost or made twice, the
// memory limit holds, and the same events give the same results.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := plain()
		c.Memory = rapid.IntRange(50, 600).Draw(t, "memory")
		c.Chunk = rapid.IntRange(1, 200).Draw(t, "chunk")
		c.Block = rapid.IntRange(1, 32).Draw(t, "block")
		c.CachesAnswers = rapid.Bool().Draw(t, "keeps")
		c.SlowStart = SlowStart{InitialCapacity: 0.3, Duration: time.Second, MaxLoadFactor: 2, Window: 300 * ms, PerPromptToken: 200 * time.Microsecond}
		c.ReportNoise = 0.1
		h, twin := New(c, 7), New(c, 7)
		now, n := time.Duration(0), 0
		type state struct{ made, out int }
		open := map[string]*state{}
		step := func(e Event) {
			got := append([]Result(nil), h.Step(now, e)...)
			if diff := cmp.Diff(got, append([]Result(nil), twin.Step(now, e)...)); diff != "" {
				t.Fatal(diff)
			}
			last := time.Duration(0)
			for _, r := range got {
				if r.At > now || r.At < last {
					t.Fatalf("%+v after %v, at %v", r, last, now)
				}
				last = r.At
				s := open[r.ID]
				switch r.Kind {
				case Token:
					if s.made++; s.made > s.out {
						t.Fatalf("%s has %d tokens of %d", r.ID, s.made, s.out)
					}
				case LastToken:
					if s.made != s.out {
						t.Fatalf("%s ended with %d tokens of %d", r.ID, s.made, s.out)
					}
					delete(open, r.ID)
				case Rejected, Interrupted:
					if s == nil {
						t.Fatalf("%+v is for a request that is not open", r)
					}
					delete(open, r.ID)
				case Preempted:
					if s == nil {
						t.Fatalf("%+v is for a request that is not open", r)
					}
				}
			}
			s := h.Stats(now)
			if s.UsedTokens > c.Memory || s.RunningTokens > s.UsedTokens || s.Running > c.Slots || s.Running+s.Waiting != len(open) || s.RunningTokens < 0 {
				t.Fatalf("%+v with %d open, memory %d", s, len(open), c.Memory)
			}
			if _, busy := h.Next(); !busy && s.Running+s.Waiting > 0 {
				t.Fatalf("the host has requests but runs no step: %+v", s)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				n++
				q := Request{ID: fmt.Sprint(n), Session: rapid.SampledFrom([]string{"", "s", "t", "u"}).Draw(t, "session"),
					Prefix: rapid.SampledFrom([]string{"", "p", "q"}).Draw(t, "prefix"), PromptTokens: rapid.IntRange(1, 300).Draw(t, "prompt")}
				q.PrefixTokens = rapid.IntRange(0, q.PromptTokens).Draw(t, "shared")
				q.AnswerTokens = rapid.IntRange(1, 60).Draw(t, "out")
				q.TokensMade = rapid.IntRange(0, q.AnswerTokens-1).Draw(t, "made")
				q.MaxAnswerTokens = q.AnswerTokens
				open[q.ID] = &state{q.TokensMade, q.AnswerTokens}
				step(Arrive{q})
			},
			"pass": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * ms
				step(TimePassed{})
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, n).Draw(t, "id"))
				delete(open, id)
				step(Cancel{id})
			},
			"die": func(t *rapid.T) {
				if rapid.IntRange(0, 3).Draw(t, "really") == 0 {
					step(Crash{})
					step(Start{})
				}
			},
			"slow": func(t *rapid.T) { step(Slow{rapid.Float64Range(0, 3).Draw(t, "factor")}) },
		})
		now += time.Hour
		step(TimePassed{})
		if len(open) > 0 {
			t.Fatalf("%d requests are still open after an hour", len(open))
		}
	})
}

// BenchmarkStep measures steps of a full host whose sessions send further requests.
func BenchmarkStep(b *testing.B) {
	c := Config{Slots: 64, Queue: 64, Memory: 200000, Chunk: 2048, Block: 16, Base: 10 * ms, PerSeq: 100 * time.Microsecond, ReadPerS: 20000}
	h := New(c, 1)
	now, n := time.Duration(0), 0
	b.ReportAllocs()
	for b.Loop() {
		if at, ok := h.Next(); ok {
			now = at
		}
		h.Step(now, TimePassed{})
		for h.Stats(now).Waiting < 8 {
			n++
			h.Step(now, Arrive{Request{ID: fmt.Sprint(n), Session: fmt.Sprint(n % 300), Prefix: fmt.Sprint(n % 10), PrefixTokens: 500, PromptTokens: 1200, AnswerTokens: 100, MaxAnswerTokens: 200}})
		}
	}
}
