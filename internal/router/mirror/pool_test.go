package mirror

import (
	"testing"

	"reachspread/internal/router/settings"
	"reachspread/internal/router/shadow"
	"reachspread/internal/testbed/scripted"
)

// A pool that has ended denies attempts at once, and queues nothing.
func TestClosedPoolTakesNothingMore(t *testing.T) {
	m := newMirror(t, 1)
	p := m.pools[0]
	m.Shutdown()
	scripted.Receive(t, p.done, "its end")
	granted := make(chan bool, 1)
	p.post(message{event: shadow.AttemptRequest{Copy: 1, Host: "c0"}, grantReply: granted})
	if scripted.Receive(t, granted, "an answer") || len(p.pending) > 0 {
		t.Error("an attempt was granted, or waits")
	}
	if c, _ := m.Choose("chat", "s", "q", nil); c != nil {
		t.Error("a copy was chosen")
	}
	if m.Apply(settings.Shadow{}) == nil {
		t.Error("settings were taken up")
	}
}
