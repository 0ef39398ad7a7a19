package balance

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// In another process, what was learned of a replica applies only if the replica has not restarted
// since. What was learned of a kind of machine and of a warm replica's work applies until the
// process observes something itself.
func TestLearned(t *testing.T) {
	cfg := Config{Zone: "a", SlowStartMinCapacity: 0.3, SlowStartWindow: 8 * time.Second, Classes: []Class{{Name: "c", LatencyTarget: time.Second, Deadline: 4 * time.Second, Value: 1, Streamed: true}}}
	now := time.Hour
	list := func(startedAt ...time.Duration) Members {
		m := Members{Version: 1, Complete: true}
		for i, b := range startedAt {
			m.Members = append(m.Members, Member{Replica: fmt.Sprint("r", i), Zone: "a", Kind: "k", StartedAt: b})
		}
		return m
	}
	b, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(now, []Event{list(time.Minute, time.Minute, 0, time.Minute)})
	for i := range 40 {
		now += 100 * time.Millisecond
		id := fmt.Sprint("q", i)
		for _, a := range b.Step(now, []Event{Arrival{ID: id, Class: "c", TimeLeft: 4 * time.Second, PromptTokens: 1000}}) {
			if _, is := a.(Send); is {
				b.Step(now+50*time.Millisecond, []Event{FirstToken{ID: id}})
				b.Step(now+80*time.Millisecond, []Event{Outcome{ID: id, Result: OK, Final: true}})
			}
		}
	}
	for _, r := range b.sorted {
		r.limit = 23
		r.latencyRatio.Observe(now, 3, 1)
	}
	l := b.Learned()
	if l.CompletedWork <= 0 || l.MeanWork <= 0 || l.PrefillByKind["k"].XX <= 0 || len(l.Replicas) != 3 {
		t.Fatalf("%+v", l)
	}

	next, _ := New(cfg, 2)
	next.Restore(l)
	next.RestoreReplicas()
	next.Step(now, []Event{list(time.Minute, now-time.Minute, 0, now-time.Second)}) // r1 has restarted, the start of r2 is unknown, r3 is in slow start
	next.RestoreReplicas()
	for i, want := range []float64{23, initialLimit, initialLimit, slowStartLimit} {
		if got := next.sorted[i].limit; got != want {
			t.Errorf("r%d has limit %v, want %v", i, got, want)
		}
	}
	if s := next.latencyRatioOf(next.sorted[0]); s < 2.5 || next.latencyRatioOf(next.sorted[1]) != 1 {
		t.Errorf("latency ratio of r0 is %v, want 2.5 or more; that of r1 is %v, want 1", s, next.latencyRatioOf(next.sorted[1]))
	}
	if got, want := next.replicas["r0"].prefill.perToken(), b.prefillByKind["k"].perToken(); got != want || next.completedWork != l.CompletedWork || len(next.restored) != 0 {
		t.Errorf("restored prefill time per token is %v s, want %v; completed work %v, want %v; %d restored replicas left, want 0", got, want, next.completedWork, l.CompletedWork, len(next.restored))
	}

	// Invalid values are ignored, and values that are already known stay.
	next.Restore(Learned{CompletedWork: 5, MeanWork: 5, PrefillByKind: map[string]PrefillLine{"k": {1, 1}, "z": {math.Inf(1), 1}}})
	if next.completedWork != l.CompletedWork || next.prefillByKind["k"].perToken() != b.prefillByKind["k"].perToken() || next.prefillByKind["z"].XX != 0 {
		t.Errorf("known values changed or invalid ones accepted: completed work %v, prefill time per token %v s, sum of squares of kind z %v", next.completedWork, next.prefillByKind["k"].perToken(), next.prefillByKind["z"].XX)
	}
	invalid, _ := New(cfg, 3)
	invalid.Restore(Learned{CompletedWork: math.NaN(), MeanWork: 1, Replicas: []LearnedReplica{{"r0", time.Minute, math.Inf(1), -1}}})
	invalid.Step(now, []Event{list(time.Minute)})
	if invalid.RestoreReplicas(); invalid.sorted[0].limit != initialLimit || invalid.latencyRatioOf(invalid.sorted[0]) != 1 || invalid.completedWork != 0 {
		t.Errorf("invalid values accepted: limit %v, latency ratio %v, completed work %v", invalid.sorted[0].limit, invalid.latencyRatioOf(invalid.sorted[0]), invalid.completedWork)
	}
}
