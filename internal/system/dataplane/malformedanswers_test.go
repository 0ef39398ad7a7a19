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

// Guards against a malformed trailer section that counts as the end of an answer: bytes behind it
// would be taken for the next answer. A plain answer is a failed attempt. A stream has begun by
// then, so it is cut, or resumed at another host.
func TestMalformedTrailerSectionEndsNoAnswer(t *testing.T) {
	for _, change := range append(slices.Clone(scripted.MalformedTrailers), scripted.ForbiddenTrailer) {
		t.Run(change.Name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			chunked := func(r received) string { return stream(r, "fine", "") }
			bad := newHost(t, "i-bad", withChange(chunked, change))
			a := newFleet(t, "", bad, newHost(t, "i-good", chunked)).call(t, "/safe/", "x")
			is.Equal(a.StatusCode, 200)
			is.Equal(a.Header.Get("Response-Seal"), "seal-i-good")

			bad = newHost(t, "i-bad", withChange(chunked, change))
			f := newFleet(t, "", bad)
			for i := range 2 {
				is.Equal(f.call(t, "/unsafe/", "x", fmt.Sprint("Request-Id: q", i)).StatusCode, 502)
			}
			is.Equal(int(bad.conns.Load()), len(bad.requests()))
			is.Equal(f.servers.MalformedAnswers(), uint64(2))

			bad = newHost(t, "i-bad", withChange(streamedAnswer, change))
			f = newFleet(t, "", bad)
			a = f.call(t, "/stream/", "x")
			is.True(a.err != nil) // cut
			is.Equal(a.body, event(1, "a")+event(2, "b"))
			is.Equal(f.servers.MalformedAnswers(), uint64(1))

			resumed := func(r received) string {
				if r.Header.Get("Last-Event-Id") == "" {
					return change.Of(streamedAnswer(r))
				}
				return stream(r, event(3, "c"), "")
			}
			f = newFleet(t, "", newHost(t, "i-1", resumed), newHost(t, "i-2", resumed))
			a = f.call(t, "/resumed/", "x")
			is.NoErr(a.err)
			is.Equal(a.body, event(1, "a")+event(2, "b")+event(3, "c"))
		})
	}
}

// Trailer sections, chunk extensions, interim answers and unusual but sound names and values change
// nothing of an answer.
func TestSoundAnswersPassUnchanged(t *testing.T) {
	is := is.New(t)
	for _, change := range []scripted.Malformation{
		{Name: "trailer section", Old: "0\r\n\r\n", New: "0\r\nDigest: x\r\nServer-Timing:\r\n\r\n"},
		{Name: "announced trailer section", Old: "\r\n", New: "\r\nTrailer: Digest\r\n"},
		{Name: "chunk extension", Old: "0\r\n\r\n", New: "000 ;a=\"b c\"\r\n\r\n"},
		{Name: "interim answer", Old: "HTTP/1.1 200", New: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200"},
		{Name: "status alone", Old: "HTTP/1.1 200 OK", New: "HTTP/1.1 200"},
		{Name: "reason", Old: "200 OK", New: "200 all's\t\xfcber well"},
		{Name: "names", Old: "\r\n", New: "\r\nx!#$%&'*+-.^_`|~9: y\r\n"},
		{Name: "values", Old: "\r\n", New: "\r\nX-Y: \t a : \"\xfc\" \r\nX-Empty:\r\n"},
	} {
		h := newHost(t, "i-1", withChange(streamedAnswer, change))
		f := newFleet(t, "", h)
		for i := range 2 {
			a := f.call(t, "/stream/", "x", fmt.Sprint("Request-Id: q", i))
			is.NoErr(a.err)
			is.Equal(a.StatusCode, 200)
			is.Equal(a.body, event(1, "a")+event(2, "b"))
		}
		is.Equal(int(h.conns.Load()), 1)
		is.Equal(f.servers.MalformedAnswers(), uint64(0))
	}
}
