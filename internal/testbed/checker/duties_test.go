package checker

import (
	"testing"

	"reachspread/internal/testbed/history"
)

func act(t int64, from string, token uint64, status int, begun int64) history.Event {
	return history.Event{T: t, What: history.Act, Who: "h0", From: from, Text: "scribe", Token: token, Status: status, LeaseCheckedAt: begun}
}

// Invalid acts are found. An act that its receiver refused is no violation, unless it began after one
// with a higher token.
func TestDutiesPlanted(t *testing.T) {
	for name, x := range map[string]struct {
		events []history.Event
		found  int
	}{
		"one after another":              {[]history.Event{act(1, "r0", 5, 200, 1), act(2, "r0", 5, 200, 2), act(3, "r1", 6, 200, 3)}, 0},
		"an older one, refused":          {[]history.Event{act(1, "r0", 5, 200, 0), act(2, "r1", 6, 200, 0), act(3, "r0", 5, 409, 0)}, 0},
		"an older one, taken":            {[]history.Event{act(1, "r0", 5, 200, 0), act(2, "r1", 6, 200, 0), act(3, "r0", 5, 200, 0)}, 1},
		"one token, two routers":         {[]history.Event{act(1, "r0", 5, 200, 0), act(2, "r1", 5, 200, 0)}, 1},
		"begun after another, refused":   {[]history.Event{act(1, "r0", 5, 200, 1), act(2, "r1", 6, 200, 2), act(4, "r0", 5, 409, 3)}, 1},
		"begun before another, and late": {[]history.Event{act(2, "r1", 6, 200, 2), act(4, "r0", 5, 409, 1)}, 0},
	} {
		if got := duties(NewCase(x.events)); len(got) != x.found {
			t.Errorf("%s: %v", name, got)
		}
	}
}

// op returns the two events of an operation on a duty, its call and its end. The operation failed if
// got, the resulting token, is 0.
func op(from, to int64, who, kind string, token, got uint64) []history.Event {
	id := who + kind + string(rune('a'+from))
	return []history.Event{{T: from, What: history.Invoke, Who: who, ID: id, Op: &history.Op{Kind: kind, Key: "scribe", Value: who, Token: token}},
		{T: to, What: history.OK, Who: who, ID: id, Op: &history.Op{Succeeded: got > 0, Token: got}}}
}

// Grants that fit no sequential order are found: a renewal after another router was granted the duty,
// two holders at once, and a token that decreases.
func TestGrantsPlanted(t *testing.T) {
	for name, x := range map[string]struct {
		ops   [][]history.Event
		wrong bool
	}{
		"asked, renewed, given back, asked by another": {[][]history.Event{op(1, 2, "r0/1", "acquire", 0, 5), op(3, 4, "r0/1", "renew", 5, 5), op(5, 6, "r0/1", "yield", 5, 5),
			op(7, 8, "r1/1", "acquire", 0, 9)}, false},
		"expired, in turn to another, the first is told no": {[][]history.Event{op(1, 2, "r0/1", "acquire", 0, 5), op(1, 9, "x", "expire", 5, 5), op(6, 8, "r1/1", "renew", 7, 7),
			op(9, 10, "r0/1", "renew", 5, 0)}, false},
		"another life":                         {[][]history.Event{op(1, 2, "r0/1", "acquire", 0, 5), op(3, 4, "r0/2", "acquire", 5, 6)}, false},
		"renewed after another was granted it": {[][]history.Event{op(1, 2, "r0/1", "acquire", 0, 5), op(1, 9, "x", "expire", 5, 5), op(6, 8, "r1/1", "renew", 7, 7), op(9, 10, "r0/1", "renew", 5, 5)}, true},
		"two at once":                          {[][]history.Event{op(1, 2, "r0/1", "acquire", 0, 5), op(3, 4, "r1/1", "acquire", 0, 6)}, true},
		"a token that falls":                   {[][]history.Event{op(1, 2, "r0/1", "acquire", 0, 5), op(3, 4, "r0/1", "yield", 5, 5), op(5, 6, "r1/1", "acquire", 0, 4)}, true},
		"told no, and it holds":                {[][]history.Event{op(1, 2, "r0/1", "acquire", 0, 5), op(3, 4, "r0/1", "renew", 5, 0), op(5, 6, "r0/1", "renew", 5, 5)}, true},
	} {
		var events []history.Event
		for _, o := range x.ops {
			events = append(events, o...)
		}
		if got := linear(NewCase(events)); (len(got) > 0) != x.wrong {
			t.Errorf("%s: %v", name, got)
		}
	}
}
