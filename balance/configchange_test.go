package balance

import (
	"testing"
	"time"
)

// A request that is under way when the configuration changes keeps the effect of its class. A lower
// MaxAttempts applies to it as well: when it has no attempts left, it is answered and not sent
// again.
func TestConfigChange(t *testing.T) {
	cfg := Config{MaxAttempts: 3, Classes: []Class{{Name: "c", LatencyTarget: time.Minute, Deadline: time.Minute, Streamed: true}}}
	strict := Config{MaxAttempts: 3, Classes: []Class{{Name: "c", Effect: Unsafe, LatencyTarget: time.Minute, Deadline: time.Minute, Streamed: true}}}
	fewer := cfg
	fewer.MaxAttempts = 1
	for _, tt := range []struct {
		name                   string
		next                   Config
		wantEarlier, wantLater Action // actions on a failed attempt of a request that arrived before the change, and after it
	}{
		{"the same configuration", cfg, Send{}, Send{}},
		{"a stricter effect", strict, Send{}, Fail{}},
		{"fewer attempts", fewer, Reject{}, Reject{}},
	} {
		b, err := New(cfg, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Second
		step := func(events ...Event) (last Action) {
			now += time.Millisecond
			for _, a := range b.Step(now, events) {
				switch a.(type) {
				case Send, Fail, Reject:
					last = a
				}
			}
			return last
		}
		step(Members{Version: 1, Complete: true, Members: []Member{{Replica: "a"}, {Replica: "b"}, {Replica: "c"}, {Replica: "d"}}})
		ask := func(id string) Action {
			return step(Arrival{ID: id, Class: "c", Session: id, TimeLeft: time.Minute, PromptTokens: 10})
		}
		fail := func(id string) Action { return step(Outcome{ID: id, Attempt: 0, Result: Error}) }
		if _, ok := ask("before").(Send); !ok {
			t.Fatalf("%s: the request before the change was not sent", tt.name)
		}
		step(ConfigChange{tt.next})
		if got := fail("before"); actionName(got) != actionName(tt.wantEarlier) {
			t.Errorf("%s: after a failure, the request from before the change got %#v, want %T", tt.name, got, tt.wantEarlier)
		}
		ask("after")
		if got := fail("after"); actionName(got) != actionName(tt.wantLater) {
			t.Errorf("%s: after a failure, the request from after the change got %#v, want %T", tt.name, got, tt.wantLater)
		}
	}
}

func actionName(a Action) string {
	switch a.(type) {
	case Send:
		return "send"
	case Fail:
		return "fail"
	case Reject:
		return "reject"
	}
	return "nothing"
}
