package program

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Checks properties of the phase tables on which operators rely: which phases are ready, which accept
// connections, and that SIGTERM leads out of every phase between Starting and Terminating.
func TestPhaseTables(t *testing.T) {
	got := map[string][]Phase{}
	for _, p := range []Phase{Starting, Listing, Withheld, Serving, Draining, Terminating, Finishing, Stopped} {
		d := policies[p]
		for word, is := range map[string]bool{"ready": d.ready, "accepts an own": d.acceptFrom >= acceptExclusive,
			"accepts an inherited": d.acceptFrom == acceptShared, "keeps": d.keepAlive, "sends off": d.closeIdleAfter > 0,
			"SIGTERM": transitions[p][terminated] == Terminating, "drains twice": transitions[transitions[p][drainRequested]][drainRequested] == transitions[p][drainRequested] && transitions[p][drainRequested] != ""} {
			if is {
				got[word] = append(got[word], p)
			}
		}
	}
	want := map[string][]Phase{
		"ready":                {Serving},
		"accepts an own":       {Listing, Withheld, Serving, Draining, Terminating},
		"accepts an inherited": {Serving, Draining},
		"keeps":                {Starting, Listing, Serving},
		"sends off":            {Draining, Terminating, Finishing},
		"SIGTERM":              {Listing, Withheld, Serving, Draining},
		"drains twice":         {Listing, Withheld, Serving, Draining},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// For any sequence of events, the router is ready exactly if a server is listed, the last drain event
// was not a request to drain, and there was no SIGTERM.
func TestTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		phase, drained, known, ended := Listing, false, false, false
		for _, event := range rapid.SliceOf(rapid.SampledFrom([]phaseEvent{serversListed, drainRequested, drainLifted, terminated, graceElapsed, requestsDone})).Draw(t, "happenings") {
			if event == serversListed && known {
				continue // this event occurs only once
			}
			next, ok := transitions[phase][event]
			if ok {
				phase = next
			}
			known = known || event == serversListed
			if !ended && (event == drainRequested || event == drainLifted) {
				drained = event == drainRequested
			}
			ended = ended || event == terminated
			if ready := policies[phase].ready; ready != (known && !drained && !ended) {
				t.Fatalf("phase %s: ready is %t with server listed %t, drained %t, terminated %t", phase, ready, known, drained, ended)
			}
		}
	})
}
