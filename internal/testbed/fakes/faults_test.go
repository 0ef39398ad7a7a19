package fakes

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"reachspread/internal/protocol"
	"reachspread/internal/testbed/faults"
	"reachspread/internal/testbed/scripted"
	"reachspread/internal/testbed/simulator"
)

// Each fault has its expected effect on its own hosts only, and only while it lasts.
func TestFaultAffectsOnlyItsHostsWhileItLasts(t *testing.T) {
	spec := &simulator.Spec{Seed: 1, Groups: []simulator.Group{{Count: 2, Kind: "k", Zone: "z", Host: config()}}}
	for _, tt := range []struct {
		kind   faults.Kind
		during string // what a client gets from host 0
	}{{faults.Stall, "late"}, {faults.Reset, "broken"}, {faults.Garbage, "garbage"}, {faults.Drain, "503"}, {faults.Kill, "refused"},
		{faults.Refuse, "refused"}, {faults.Slow, "late"}} {
		t.Run(string(tt.kind), func(t *testing.T) {
			f, err := NewFleet(spec, AnyPort)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			begun, ended := make(chan bool), make(chan bool)
			over := make(chan error, 1)
			go func() {
				over <- f.Play(context.Background(), []faults.Fault{{Kind: tt.kind, Length: 600 * ms, Hosts: faults.Selection{Numbers: []int{0}}, Size: 400}}, func(line string) {
					if strings.HasSuffix(line, "begins") {
						close(begun)
					} else {
						close(ended)
					}
				})
			}()
			<-begun
			if got := askOutcome(t, f.Hosts[0], string(tt.kind)); got != tt.during {
				t.Errorf("faulty host during the fault: %s, want %s", got, tt.during)
			}
			if got := askOutcome(t, f.Hosts[1], "other"); got != "well" {
				t.Errorf("other host during the fault: %s, want well", got)
			}
			<-ended
			if err := <-over; err != nil {
				t.Error(err)
			}
			if got := askOutcome(t, f.Hosts[0], "after"); got != "well" {
				t.Errorf("faulty host after the fault: %s, want well", got)
			}
		})
	}
}

// askOutcome sends a request to a host on a new connection and returns a name for the outcome.
func askOutcome(t *testing.T, h *Host, id string) string {
	t.Helper()
	r := scripted.NewRequest(t, h.Addr, id, nil)
	r.Body, r.ContentLength = io.NopCloser(strings.NewReader(`{"lab_out":6,"lab_prompt":10}`)), 29
	begun := time.Now()
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		if strings.Contains(err.Error(), "refused") {
			return "refused"
		}
		return "broken"
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	lines := strings.Split(string(text), "\n")
	switch {
	case err != nil:
		return "broken"
	case resp.StatusCode == 503 && resp.Header.Get(protocol.HeaderUnprocessed) == "1":
		return "503"
	case slices.ContainsFunc(lines, func(l string) bool { return strings.Contains(l, "no event") }):
		return "garbage"
	case time.Since(begun) > 300*ms:
		return "late"
	}
	return "well"
}

// No connection is reset after the end of the fault was signalled.
func TestNoConnectionIsResetAfterFaultEnds(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	h := &Host{conns: map[net.Conn]bool{here: true}}
	until := make(chan struct{})
	close(until)
	if !h.resetOnce(until) {
		t.Error("resetOnce reports that the fault has not ended")
	}
	go there.Write([]byte("x"))
	if _, err := here.Read(make([]byte, 1)); err != nil {
		t.Errorf("a connection was reset after the fault ended: %v", err)
	}
}
