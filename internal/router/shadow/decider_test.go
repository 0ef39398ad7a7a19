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
)

const ms = time.Millisecond

// TestMain makes rapid run 1000 random histories of a Decider unless a flag sets the number. 100
// histories, rapid's default, are too few to reach each cap, and 1000 take one second.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		f.Value.Set("1000")
	}
	os.Exit(m.Run())
}

func config() Config {
	return Config{
		Caps:     Caps{PerSecond: 1000, InFlight: 4, InFlightPerHost: 2, Bytes: 1000, Waiting: 3, MaxWait: time.Second, MaxDuration: 10 * time.Second},
		Pressure: Pressure{Queued: 8, BodyFraction: 0.5, SocketFraction: 0.7, Delay: 10 * ms, Rejections: 2, HardFactor: 2, GracePeriod: 500 * ms, CalmPeriod: 2 * time.Second},
		Health:   Health{Failures: 3, MinBackoff: time.Second, MaxBackoff: 8 * time.Second},
	}
}

// testStep is one call of Step in a test: its time, its events and the actions that it must return.
type testStep struct {
	at     time.Duration
	events []Event
	want   []Action
}

func runSteps(t *testing.T, c Config, steps []testStep) *Decider {
	t.Helper()
	d := New(c, 1)
	for i, m := range steps {
		got := d.Step(m.at, m.events)
		if diff := cmp.Diff(m.want, got); diff != "" {
			t.Fatalf("step %d at %v returned other actions: %s", i, m.at, diff)
		}
	}
	return d
}

// ready returns events that make the pool able to start copies, a sample without pressure and two
// serving hosts, followed by more.
func ready(more ...Event) []Event { return append([]Event{Sample{}, HostsChanged{2}}, more...) }

func TestRecordFollowsBothAnswers(t *testing.T) {
	runSteps(t, config(), []testStep{
		{ms, ready(Offer{1, 7, 10}, Offer{2, 7, 10}, Offer{3, 7, 10}, Offer{4, 7, 10}),
			[]Action{Start{1, false}, Start{2, false}, Start{3, false}, Start{4, false}}},
		{2 * ms, []Event{CopyEnded{1, ""}}, nil},
		{3 * ms, []Event{LiveEnded{1, true}}, []Action{Record{1, "", true}}},
		{4 * ms, []Event{LiveEnded{2, true}, CopyEnded{2, StreamFailed}}, []Action{Record{2, StreamFailed, true}}},
		// Without a live answer there is nothing to compare with: the copy is canceled at once.
		{5 * ms, []Event{LiveEnded{3, false}}, []Action{Cancel{3, NoLiveAnswer}}},
		{6 * ms, []Event{CopyEnded{3, ""}}, []Action{Record{3, NoLiveAnswer, true}}},
		{7 * ms, []Event{CopyEnded{4, ""}, LiveEnded{4, false}}, []Action{Record{4, NoLiveAnswer, true}}},
		// Events of unknown copies are ignored.
		{8 * ms, []Event{CopyEnded{4, ""}, LiveEnded{9, true}, AttemptEnded{"h"}}, nil},
	})
}

func TestCapsQueueOrDropCopies(t *testing.T) {
	c := config()
	c.Caps.InFlight, c.Caps.Waiting, c.Caps.Bytes = 1, 2, 100
	d := runSteps(t, c, []testStep{
		{ms, ready(Offer{1, 1, 30}, Offer{2, 2, 30}, Offer{3, 3, 50}), []Action{Start{1, false}, Drop{3, OverBytes}}},
		{2 * ms, []Event{Offer{4, 4, 10}, Offer{5, 5, 10}}, []Action{Drop{5, OverQueue}}},
		{3 * ms, []Event{AttemptRequest{1, "a"}, CopyEnded{1, ""}, LiveEnded{1, true}},
			[]Action{AttemptGranted{1, "a", true}, Record{1, "", true}, Start{2, false}}},
		{500 * ms, []Event{Sample{}}, nil},
		{1000 * ms, []Event{Sample{}}, nil},
		{1003 * ms, nil, []Action{Drop{4, OverInFlight}}},
		// A request of the conversation of copy 4 was dropped, so the next one has a HistoryGap.
		{1010 * ms, []Event{CopyEnded{2, ""}, LiveEnded{2, true}, Offer{6, 4, 10}}, []Action{Record{2, "", true}, Start{6, true}}},
	})
	got := d.Counts()
	if got.Bytes != 10 || got.Offered != 6 || got.Started != 3 || got.Compared != 2 {
		t.Errorf("got counts %+v; want 10 bytes, 6 offered, 3 started and 2 compared", got)
	}
}

// No more attempts than the cap reach hosts in any second, however long the attempts are in flight.
// A retry counts as one more attempt, and the cap may be below one attempt per second.
func TestRateCapCountsEachAttemptThatMayReachAHost(t *testing.T) {
	c := config()
	c.Caps.PerSecond, c.Caps.InFlight, c.Caps.MaxWait = 2, 100, 5*time.Second
	runSteps(t, c, []testStep{
		{700 * ms, ready(Offer{1, 1, 1}, AttemptRequest{1, "a"}), []Action{Start{1, false}, AttemptGranted{1, "a", true}}},
		{900 * ms, []Event{AttemptReached{1}}, nil},
		{950 * ms, []Event{Offer{2, 2, 1}, Offer{3, 3, 1}, AttemptRequest{2, "a"}}, []Action{Start{2, false}, AttemptGranted{2, "a", true}}},
		{960 * ms, []Event{AttemptReached{2}, AttemptEnded{"a"}, AttemptRequest{2, "a"}}, []Action{AttemptGranted{2, "a", false}}}, // no rate slot is free for the retry
		{1400 * ms, []Event{Sample{}}, nil},
		{1899 * ms, []Event{Sample{}}, nil},
		{1900 * ms, []Event{AttemptRequest{2, "a"}}, []Action{AttemptGranted{2, "a", true}}},
		{2000 * ms, []Event{Sample{}, Offer{4, 4, 1}}, []Action{Start{3, false}}},
		{2400 * ms, []Event{Sample{}}, nil}, // the attempts of copies 2 and 3 have not reached a host yet
		{2500 * ms, []Event{CopyEnded{2, ""}}, nil},
		{3499 * ms, []Event{Sample{}}, nil},
		{3500 * ms, nil, []Action{Start{4, false}}},
	})
	c.Caps.PerSecond = 0.5
	runSteps(t, c, []testStep{
		{ms, ready(Offer{1, 1, 1}, Offer{2, 2, 1}, AttemptRequest{1, "a"}, AttemptReached{1}), []Action{Start{1, false}, AttemptGranted{1, "a", true}}},
		{2000 * ms, []Event{Sample{}}, nil},
		{2001 * ms, nil, []Action{Start{2, false}}},
	})
}

// A copy that started under a higher rate already has a slot, but must still wait if the rate was
// lowered since. Otherwise two copies could reach a host in a second that allows one, which a random
// history of rapid showed.
func TestLoweredRateAppliesToStartedCopies(t *testing.T) {
	c := config()
	c.Caps.PerSecond = 2
	lower := c
	lower.Caps.PerSecond = 1
	runSteps(t, c, []testStep{
		{ms, ready(Offer{1, 7, 10}, Offer{2, 7, 10}), []Action{Start{1, false}, Start{2, false}}},
		{2 * ms, []Event{Reconfigure{lower}}, nil},
		{3 * ms, []Event{AttemptRequest{1, "h"}}, []Action{AttemptGranted{1, "h", true}}},
		{4 * ms, []Event{AttemptReached{1}, AttemptEnded{"h"}}, nil},
		{5 * ms, []Event{AttemptRequest{2, "h"}}, []Action{AttemptGranted{2, "h", false}}},
		{4*ms + time.Second, []Event{AttemptRequest{2, "h"}}, []Action{AttemptGranted{2, "h", true}}},
	})
}

func TestAttemptsPerHostAreCapped(t *testing.T) {
	d := runSteps(t, config(), []testStep{
		{ms, ready(Offer{1, 1, 1}, Offer{2, 2, 1}, Offer{3, 3, 1}), []Action{Start{1, false}, Start{2, false}, Start{3, false}}},
		{2 * ms, []Event{AttemptRequest{1, "a"}, AttemptRequest{2, "a"}, AttemptRequest{3, "a"}, AttemptRequest{3, "b"}},
			[]Action{AttemptGranted{1, "a", true}, AttemptGranted{2, "a", true}, AttemptGranted{3, "a", false}, AttemptGranted{3, "b", true}}},
		{3 * ms, []Event{AttemptEnded{"a"}, AttemptRequest{3, "a"}, AttemptRequest{9, "b"}}, []Action{AttemptGranted{3, "a", true}, AttemptGranted{9, "b", false}}},
		// A copy that was refused after a cap denied an attempt does not count as a pool failure.
		{4 * ms, []Event{CopyEnded{3, Refused}, LiveEnded{3, true}}, []Action{Record{3, Refused, true}}},
	})
	if d.failures != 0 {
		t.Errorf("%d failures were counted, want 0", d.failures)
	}
}

// Under pressure, waiting copies are dropped, no copy starts, and after the grace period the copies
// in flight are canceled. Copies start again only after a calm period in which no signal exceeds
// half of its threshold. The period doubles if pressure returns within it.
func TestPressureDropsThenCancelsCopies(t *testing.T) {
	c := config()
	c.Caps.InFlight = 1
	atThreshold, aboveHalf, atHalf := Sample{Queued: 8}, Sample{Queued: 5}, Sample{Queued: 4}
	d := runSteps(t, c, []testStep{
		{ms, ready(Offer{1, 1, 1}, Offer{2, 2, 1}), []Action{Start{1, false}}},
		{100 * ms, []Event{atThreshold}, []Action{Drop{2, UnderPressure}}},
		{200 * ms, []Event{aboveHalf, Offer{3, 3, 1}}, []Action{Drop{3, UnderPressure}}},
		{600 * ms, []Event{aboveHalf}, []Action{Cancel{1, UnderPressure}}},
		{601 * ms, []Event{CopyEnded{1, StreamFailed}, LiveEnded{1, true}}, []Action{Record{1, UnderPressure, true}}},
		{1000 * ms, []Event{atHalf}, nil},
		{1400 * ms, []Event{atHalf}, nil},
		{1800 * ms, []Event{atHalf}, nil},
		{2200 * ms, []Event{atHalf}, nil},
		{2599 * ms, []Event{atHalf, Offer{4, 4, 1}}, []Action{Drop{4, UnderPressure}}},
		{2600 * ms, []Event{atHalf}, nil},
		{2601 * ms, []Event{atHalf, Offer{5, 5, 1}}, []Action{Start{5, false}}},
		// A signal at twice its threshold cancels copies in flight at once.
		{2700 * ms, []Event{Sample{Delay: 20 * ms}}, []Action{Cancel{5, UnderPressure}}},
		{2800 * ms, []Event{CopyEnded{5, StreamFailed}, LiveEnded{5, true}}, []Action{Record{5, UnderPressure, true}}},
	})
	for at := 3000 * ms; at < 6700*ms; at += 100 * ms { // the doubled calm period
		if got := d.Step(at, []Event{atHalf}); d.level == LevelCalm || got != nil {
			t.Fatalf("the level is calm again at %v, within the doubled calm period, or there were actions", at)
		}
	}
	if d.Step(6700*ms, []Event{atHalf}); d.level != LevelCalm {
		t.Error("the level is not calm after the doubled calm period")
	}
	if d.failures != 0 || !maps.Equal(d.Counts().PressureSignals, map[string]uint64{"held": 1, "late": 1}) {
		t.Errorf("%d failures and pressure signals %v; want no failures and one each of held and late", d.failures, d.Counts().PressureSignals)
	}
	// Under pressure, a further attempt of a copy in flight is denied, and the copy is canceled.
	d.Step(6800*ms, []Event{Offer{6, 6, 1}})
	if got := d.Step(6900*ms, []Event{atThreshold, AttemptRequest{6, "a"}}); !cmp.Equal(got, []Action{Cancel{6, UnderPressure}, AttemptGranted{6, "a", false}}) {
		t.Error(got)
	}
}

// No copy starts without a recent sample of the live path, because the goroutine that samples may be
// stuck.
func TestNothingStartsWithoutFreshSample(t *testing.T) {
	d := runSteps(t, config(), []testStep{
		{ms, []Event{HostsChanged{1}, Offer{1, 1, 1}}, nil},
		{2 * ms, []Event{Sample{}}, []Action{Start{1, false}}},
		{600 * ms, []Event{Offer{2, 2, 1}}, []Action{Drop{2, UnderPressure}}},
	})
	if d.Counts().PressureSignals["no sample"] != 1 {
		t.Error(d.Counts().PressureSignals)
	}
}

// An ejected pool gets one trial copy at a time, with a growing backoff.
func TestEjectedPoolIsTriedWithBackoff(t *testing.T) {
	c := config()
	c.Pressure.CalmPeriod = ms
	d := New(c, 1)
	at, id := ms, uint64(0)
	offerAndEnd := func(after time.Duration, cause Cause) []Action {
		for end := at + after; at < end; {
			at = min(at+400*ms, end)
			d.Step(at, ready())
		}
		id++
		got := d.Step(at, ready(Offer{id, id, 1}))
		if len(got) > 0 && got[0] == (Start{id, slices.Contains([]uint64{}, id)}) {
			got = append(got, d.Step(at, []Event{Offer{id + 1000, id, 1}, CopyEnded{id, cause}, LiveEnded{id, true}, LiveEnded{id + 1000, false}})...)
		}
		return got
	}
	typeNames := func(actions []Action) (s string) {
		for _, a := range actions {
			s += fmt.Sprintf("%T ", a)[len("shadow."):]
		}
		return s
	}
	for range 2 {
		if got := typeNames(offerAndEnd(0, Failed)); got != "Start Start Record Cancel " {
			t.Fatal(got)
		}
	}
	d.Step(at, []Event{CopyEnded{1001, Failed}, CopyEnded{1002, Failed}}) // the Decider canceled both copies, so they do not count as pool failures
	if got := typeNames(offerAndEnd(0, StreamFailed)); got != "Start Start PoolEjected Record Cancel " {
		t.Fatal(got)
	}
	d.Step(at, []Event{CopyEnded{1003, Failed}})
	for _, wait := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second, 8 * time.Second} {
		if got := typeNames(offerAndEnd(wait-ms, Failed)); got != "Drop " {
			t.Fatalf("before the backoff of %v passed: got actions %s", wait, got)
		}
		// The second offer is dropped because the trial is in flight. The failed trial doubles the
		// backoff.
		if got := typeNames(offerAndEnd(wait/5+2*ms, Failed)); got != "Start Drop Record " {
			t.Fatalf("after the backoff of %v: got actions %s", wait, got)
		}
	}
	if got := typeNames(offerAndEnd(10*time.Second, "")); got != "Start Drop PoolRecovered Record " {
		t.Fatal(got)
	}
	if d.Counts().Down {
		t.Error("the pool is still ejected after a trial copy succeeded")
	}
	d.Step(at, []Event{HostsChanged{0}})
	if got := d.Step(at, []Event{Offer{9999, 1, 1}}); !cmp.Equal(got, []Action{Drop{9999, NoHosts}}) {
		t.Error(got)
	}
}

func TestMaxDurationAndCloseCancelCopies(t *testing.T) {
	c := config()
	c.Caps.InFlight = 2
	d := runSteps(t, c, []testStep{
		{ms, ready(Offer{1, 1, 1}, Offer{2, 2, 1}, Offer{3, 3, 1}), []Action{Start{1, false}, Start{2, false}}},
		{2 * ms, []Event{CopyEnded{2, ""}, Offer{4, 4, 1}}, []Action{Start{3, false}}},
	})
	for at := 400 * ms; at < 10*time.Second; at += 400 * ms {
		d.Step(at, []Event{Sample{}})
	}
	got := d.Step(10*time.Second+ms, []Event{Sample{}})
	if diff := cmp.Diff([]Action{Cancel{1, TimedOut}}, got); diff != "" {
		t.Error(diff)
	}
	// After Close, copies are recorded without waiting for their live answers.
	got = d.Step(10*time.Second+2*ms, []Event{Offer{5, 5, 1}, Close{}, Offer{6, 6, 1}})
	if diff := cmp.Diff([]Action{Drop{6, Closing}, Drop{5, Closing}, Cancel{3, Closing}, Record{2, Closing, false}}, got); diff != "" {
		t.Error(diff)
	}
	got = d.Step(10*time.Second+3*ms, []Event{CopyEnded{1, StreamFailed}, CopyEnded{3, StreamFailed}})
	if diff := cmp.Diff([]Action{Record{1, TimedOut, false}, Record{3, Closing, false}}, got); diff != "" {
		t.Error(diff)
	}
}
