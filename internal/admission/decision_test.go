package admission

import (
	"net/netip"
	"slices"
	"testing"
	"time"
)

// Guards against a request that was read and gets no decision, as its connection was evicted before
// its goroutine went on: nobody answers it.
func TestRequestThatHasBegunGetsDecision(t *testing.T) {
	newConfig := Config{MaxConnections: 0}
	for _, test := range []struct {
		name   string
		busy   bool          // another request is open, so the connection is of the overflow
		after  time.Duration // its last byte
		evicts Event
	}{
		{"another client, later than the minimum age", false, 2 * minEvictionAge, Event{Kind: Opened, Addr: addr("10.0.0.2")}},
		{"another client in the overflow", true, 2 * minEvictionAge, Event{Kind: Opened, Addr: addr("10.0.0.2")}},
		{"a client of a known address", false, 0, Event{Kind: Opened, Addr: addr("10.9.0.1")}},
		{"a client of a known identity", false, 0, Event{Kind: Opened, Addr: addr("10.0.0.2"), HeadComplete: true, Identity: "tool"}},
		{"lowered limits", false, 0, Event{Kind: ConfigChanged, Config: &newConfig}},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := New(Config{MaxConnections: 1, MaxOverflow: 1, KnownIdentities: map[string]bool{"tool": true},
				KnownRanges: []netip.Prefix{netip.MustParsePrefix("10.9.0.0/16")}}, 1)
			now := time.Second
			if test.busy {
				d.Step(now, Event{Kind: RequestRead, Conn: d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.3")})[0].Conn})
			}
			id := d.Step(now, Event{Kind: Opened, Addr: addr("10.0.0.1")})[0].Conn
			d.Step(now, Event{Kind: RequestBegan, Conn: id, RequestComplete: true})
			now += test.after
			d.Step(now, test.evicts)
			actions := d.Step(now, Event{Kind: RequestRead, Conn: id})
			if !slices.ContainsFunc(actions, func(a Action) bool { return a.Conn == id && (a.Kind == Serve || a.Kind == Reject) }) {
				t.Errorf("got %+v; want the request served or rejected", actions)
			}
		})
	}
}
