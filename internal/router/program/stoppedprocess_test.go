package program

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"reachspread/internal/testbed/scripted"
)

// stop is an interval during which a process is stopped. Both ends are relative to SIGTERM.
type stop struct{ from, until time.Duration }

// stopsInBursts returns periodic stops that together take four fifths of the time until end.
func stopsInBursts(end time.Duration) (stops []stop) {
	const period = 500 * time.Millisecond
	for from := time.Duration(0); from < end; from += period {
		stops = append(stops, stop{from, from + period*4/5})
	}
	return stops
}

// Guards against requests that are unanswered when the platform sends SIGKILL, because the process
// was not running when the final answers were due or when SIGTERM arrived.
func TestOpenRequestsAreAnsweredByStoppedProcess(t *testing.T) {
	t.Parallel()
	const killDelay = shutdownGrace + maxCountedDeadline
	for name, stops := range map[string][]stop{
		"never":                         nil,
		"for 300 ms before SIGKILL":     {{killDelay - 300*time.Millisecond, killDelay}},
		"as the last answers are due":   {{2800 * time.Millisecond, 3300 * time.Millisecond}},
		"as SIGTERM comes":              {{-100 * time.Millisecond, 500 * time.Millisecond}},
		"for a second as SIGTERM comes": {{-100 * time.Millisecond, time.Second}},
		"in bursts from SIGTERM on":     stopsInBursts(killDelay),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			host := scripted.NewModel(t, scripted.ModelBehavior{Stalls: true})
			p := newSupervisor(t, host)
			p.ln.Close() // the process opens its own listener
			o := p.start("ROUTER_ACCEPT_FD=").awaitReady()
			answers := make(chan *http.Response, 1)
			go func() {
				defer close(answers)
				resp, err := new(http.Transport).RoundTrip(scripted.NewRequest(t, p.addr, "open", nil))
				if err != nil {
					t.Error(err)
					return
				}
				resp.Body.Close()
				answers <- resp
			}()
			scripted.Receive(t, host.Started, "the attempt")
			o.terminate(stops, killDelay)
			resp := scripted.Receive(t, answers, "an answer")
			if resp == nil || resp.StatusCode != http.StatusBadGateway {
				t.Errorf("got %+v, want status %d", resp, http.StatusBadGateway)
			}
		})
	}
}

// terminate sends SIGTERM, stops and continues the process at the given times, and sends SIGKILL
// after killDelay.
func (o *routerProcess) terminate(stops []stop, killDelay time.Duration) {
	begun := time.Now()
	if len(stops) > 0 {
		begun = begun.Add(max(-stops[0].from, 0))
	}
	at := func(after time.Duration, signal syscall.Signal) {
		time.Sleep(time.Until(begun.Add(after)))
		o.cmd.Process.Signal(signal)
	}
	terminated := false
	sigterm := func() {
		if !terminated {
			terminated = true
			at(0, syscall.SIGTERM)
		}
	}
	for _, s := range stops {
		if s.from >= 0 {
			sigterm()
		}
		at(s.from, syscall.SIGSTOP)
		sigterm()
		at(s.until, syscall.SIGCONT)
	}
	sigterm()
	at(killDelay, syscall.SIGKILL)
}
