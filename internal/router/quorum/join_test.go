package quorum

import (
	"slices"
	"testing"
	"time"

	"reachspread/internal/router/lease"
)

// If all candidates know of a group and none has a log entry of it, the first candidate founds
// another group with the other founders. It does so once all candidates have said for longer than a
// lease that they have no entry, and not while one of them has an entry, knows a leader or sends no
// hellos. A candidate other than the first never founds a group.
func TestEmptyGroupIsFoundedAgain(t *testing.T) {
	const group, length = 7, 12 * time.Second
	empty := func(time.Duration) *hello { return &hello{Stage: Joining} }
	for name, x := range map[string]struct {
		self    string
		third   func(now time.Duration) *hello // returns the hello of candidate 3; nil while it sends none
		founded time.Duration                  // when the group is founded; 0 for never
	}{
		"all are empty":     {"0", empty, helloTTL + exploreTiming.Duration},
		"not the first one": {"1", empty, 0},
		"one has an entry":  {"0", func(time.Duration) *hello { return &hello{Stage: Verifying, LastIndex: 1} }, 0},
		"one has had an entry": {"0", func(now time.Duration) *hello {
			if now < 4*time.Second {
				return &hello{Stage: Verifying, LastIndex: 1}
			}
			return empty(now)
		}, 4*time.Second + helloTTL + exploreTiming.Duration},
		"one knows a leader": {"0", func(time.Duration) *hello { return &hello{Stage: Learning, Leader: "2"} }, 0},
		"one is away":        {"0", func(time.Duration) *hello { return nil }, 0},
		"one goes": {"0", func(now time.Duration) *hello {
			if now < time.Second {
				return empty(now)
			}
			return nil
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			candidates := []string{"0", "1", "2", "3"}
			v, err := New(Config{Self: x.self, Candidates: candidates, Voters: 3, Roles: []lease.Role{{Name: "d"}}, Timing: exploreTiming, ReplaceTimeout: time.Hour, Boot: 1}, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			founded := time.Duration(0)
			for now := time.Duration(0); now < length && founded == 0; now += helloInterval {
				for i, other := range candidates {
					h := empty(now)
					if other == "3" {
						h = x.third(now)
					}
					if other == x.self || h == nil {
						continue
					}
					m := &message{Group: group, From: Node{ID: uint64(i + 1), Name: other}, Starts: firstStart, Boot: 9, Hello: h}
					v.Step(now, MessageReceived{Data: m.encode()})
				}
				if v.Status().Group > group {
					founded = now
				}
			}
			if founded != x.founded {
				t.Errorf("group founded at %v, want %v", founded, x.founded)
			}
			if got := v.Status().Voters; founded > 0 && !slices.Equal(got, []string{"0", "1", "2"}) {
				t.Errorf("the new group has voters %v, want 0, 1 and 2", got)
			}
		})
	}
}
