package pintest

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func at(s int) time.Time { return time.Unix(int64(s), 0) }

// An answer is allowed if its version was pinned at some time between the request and the answer.
func TestAnswerIsAllowedByPinInForceDuringRequest(t *testing.T) {
	is := is.New(t)
	s := &Scenario{pins: []period{{from: at(0), until: at(12)}, {version: 2, from: at(10), until: at(22)}, {version: 1, from: at(20)}}}
	for _, c := range []struct {
		sent, answered int
		version        int64
		allowed        bool
	}{
		{1, 2, 7, true},    // no pin was requested yet
		{11, 11, 7, true},  // the pin was requested, but not acknowledged
		{13, 14, 7, false}, // the pin was acknowledged
		{13, 14, 2, true},
		{19, 21, 1, true}, // the next pin was requested while the request was running
		{19, 19, 1, false},
		{21, 21, 2, true},
		{23, 24, 2, false},
		{23, 24, 1, true},
	} {
		is.Equal(s.allowed(Request{Sent: at(c.sent), Answered: at(c.answered), Version: c.version}), c.allowed)
	}
}

// findViolations reports answers that come from the wrong version, are incomplete or belong to another
// request, and unsafe requests that were executed twice.
func TestFindViolationsReportsWrongAnswersAndSecondExecutions(t *testing.T) {
	good := Request{ID: "q1", Path: UnsafePath, Sent: at(13), Answered: at(14), Status: http.StatusOK, Version: 2, Text: "2 by q1", Complete: true}
	for _, c := range []struct {
		name   string
		change func(a *Request)
		runs   int
		wrong  int
	}{
		{"good", func(*Request) {}, 1, 0},
		{"refused", func(a *Request) { a.Status, a.Version = 503, 0 }, 0, 0},
		{"another version", func(a *Request) { a.Version, a.Text = 1, "1 by q1" }, 1, 1},
		{"cut", func(a *Request) { a.Complete = false }, 1, 1},
		{"another request's", func(a *Request) { a.Text = "2 by q2" }, 1, 1},
		{"ran twice", func(*Request) {}, 2, 1},
		{"ran twice, and may", func(a *Request) { a.Path = SafePath }, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := good
			c.change(&a)
			s := &Scenario{pins: []period{{version: 2, from: at(10)}}, Hosts: []*Host{{executions: map[string]int{"q1": c.runs}}}, requests: []Request{a}}
			is.Equal(len(s.findViolations().Violations), c.wrong)
		})
	}
}
