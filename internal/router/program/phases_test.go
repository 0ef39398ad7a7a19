package program

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// What the operators rely on, read off the tables: who is ready, who accepts, and that SIGTERM
// leads out of every phase in which there is anything to leave.
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

// Whatever happens in whatever order: the router is ready just when an entry is known, the last
// word was not to drain, and no SIGTERM came.
func TestTransitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		phase, drained, known, ended := Listing, false, false, false
		for _, event := range rapid.SliceOf(rapid.SampledFrom([]phaseEvent{serversListed, drainRequested, drainLifted, terminated, graceElapsed, requestsDone})).Draw(t, "happenings") {
			if event == serversListed && known {
				continue // is told once
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
				t.Fatalf("%s: ready is %t with an entry %t, drained %t, ended %t", phase, ready, known, drained, ended)
			}
		}
	})
}
