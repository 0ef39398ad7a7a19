package dataplane

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"reachspread/internal/testbed/scripted"
)

// malformedHeads are changes that make the head of an answer malformed.
var malformedHeads = slices.Concat(scripted.MalformedStatuses, scripted.MalformedLines, scripted.MalformedFraming)

// withChange returns a host's script whose answers have a change.
func withChange(script func(r received) string, change scripted.Malformation) func(r received) string {
	return func(r received) string { return change.Of(script(r)) }
}

func plainAnswer(r received) string { return answer(r, 200, "", "fine") }

func streamedAnswer(r received) string { return stream(r, event(1, "a"), event(2, "b"), "") }

// Guards against a malformed answer that reaches its client (issue 97, MIXED). It is a failed
// attempt: an idempotent request is retried at another host, any other request gets the router's
// own 502 and runs once. Its connection is not used again, and it is counted and logged.
func TestMalformedAnswerIsAFailedAttempt(t *testing.T) {
	for _, kind := range []struct {
		name, path string
		script     func(r received) string
	}{
		{"plain", "/unsafe/", plainAnswer},
		{"stream", "/stream/", streamedAnswer},
	} {
		for _, change := range malformedHeads {
			t.Run(kind.name+", "+change.Name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				bad := newHost(t, "i-bad", withChange(kind.script, change))
				f := newFleet(t, "", bad)
				const requests = 2
				for i := range requests {
					a := f.call(t, kind.path, "x", fmt.Sprint("Request-Id: q", i))
					is.NoErr(a.err)
					is.Equal(a.StatusCode, 502)
					is.Equal(a.Header.Get("Response-Seal"), "") // not the host's answer
				}
				is.Equal(len(bad.requests()), requests) // each executed once
				is.Equal(int(bad.conns.Load()), requests)
				is.Equal(f.servers.MalformedAnswers(), uint64(requests))
				is.Equal(strings.Count(f.log.text(), "malformed answer"), 1) // the next line is due later
			})
		}
	}
	for _, change := range malformedHeads {
		t.Run("retried, "+change.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			bad := newHost(t, "i-bad", withChange(plainAnswer, change))
			good := newHost(t, "i-good", plainAnswer)
			f := newFleet(t, "", bad, good)
			for i := range 6 {
				a := f.call(t, "/safe/", "x", fmt.Sprint("Request-Id: q", i))
				is.NoErr(a.err)
				is.Equal(a.StatusCode, 200)
				is.Equal(a.body, "fine")
				is.Equal(a.Header.Get("Response-Seal"), "seal-i-good")
			}
			is.Equal(int(bad.conns.Load()), len(bad.requests()))
		})
	}
}

// Guards against a stream that goes on with a malformed answer. Another host resumes it.
func TestMalformedAnswerResumesNoStream(t *testing.T) {
	for _, change := range malformedHeads {
		t.Run(change.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			resumed := func(r received) string { return stream(r, event(2, "b"), event(3, "c"), "") }
			malformed := withChange(resumed, change)
			resumptions := make(chan int, 1)
			resumptions <- 0
			script := func(r received) string {
				if r.Header.Get("Last-Event-Id") == "" {
					return stream(r, event(1, "a"), "id: 2\ndata: hal") + hangUp
				}
				n := <-resumptions
				resumptions <- n + 1
				if n == 0 {
					return malformed(r)
				}
				return resumed(r)
			}
			f := newFleet(t, "", newHost(t, "i-1", script), newHost(t, "i-2", script), newHost(t, "i-3", script))
			a := f.call(t, "/resumed/", "x")
			is.NoErr(a.err)
			is.Equal(a.StatusCode, 200)
			is.Equal(a.body, event(1, "a")+event(2, "b")+event(3, "c"))
			is.Equal(<-resumptions, 2)
			is.Equal(f.servers.MalformedAnswers(), uint64(1))
		})
	}
}
