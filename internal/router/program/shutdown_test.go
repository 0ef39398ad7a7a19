package program

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// Guards against requests that are unanswered when the platform sends SIGKILL. Every request that is
// still open shortly before SIGKILL must get an answer. A request that was not sent to any server
// gets one with Retry-After.
func TestOpenRequestsAreAnsweredBeforeKill(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name       string
		listed     bool
		status     int
		retryAfter string
	}{
		{"no server listed", false, http.StatusServiceUnavailable, "1.000"},
		{"a server says nothing", true, http.StatusBadGateway, ""},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			taken := make(chan bool)
			defer close(taken)
			silent := scripted.NewServer(t, func(net.Conn) bool { <-taken; return false })
			list := scripted.List(1, true)
			if x.listed {
				list = scripted.List(1, true, scripted.ListEntry("s0", silent.Addr, "Ready"))
			}
			env := configFile(t, "127.0.0.1:1", scripted.NewDiscovery(t, list).Addr, `"maxAttempts":3`, `"maxAttempts":3,"retryAfter":true,"maxRetryAfterNs":1000000000`)
			lines := make(scripted.LogLines, 20)
			p := New(load(t, env), env, "", lines)
			ctx, sigterm := context.WithCancel(context.Background())
			exit := make(chan error, 1)
			go func() { exit <- p.Run(ctx, nil) }()
			scripted.Receive(t, lines, "the first phase")
			if x.listed {
				scripted.Receive(t, lines, "the serving phase")
			}
			answers := make(chan *http.Response, 1)
			go func() {
				if resp, err := http.DefaultClient.Do(scripted.NewRequest(t, p.ln.Addr().String(), "open", nil)); err == nil {
					resp.Body.Close()
					answers <- resp
				}
				close(answers)
			}()
			scripted.AwaitCondition(t, "an accepted request", func() bool { return p.router.Metrics().Open == 1 })
			sigterm()
			kill := time.AfterFunc(shutdownGrace+maxCountedDeadline, func() { t.Error("the program had not ended when the platform would have sent SIGKILL") })
			defer kill.Stop()
			resp := scripted.Receive(t, answers, "an answer")
			if resp == nil || resp.StatusCode != x.status || resp.Header.Get("Retry-After") != x.retryAfter {
				t.Errorf("got %+v, want status %d and Retry-After %q", resp, x.status, x.retryAfter)
			}
			if err := scripted.Receive(t, exit, "the exit"); err != nil {
				t.Error(err)
			}
		})
	}
}
