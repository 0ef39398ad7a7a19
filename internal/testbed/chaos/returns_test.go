package chaos

import (
	"strings"
	"testing"
	"time"

	"reachspread/internal/testbed/history"
)

// Only restarted processes count, not replacing ones. Each step is measured from the start of its own
// process.
func TestReturns(t *testing.T) {
	at := func(x time.Duration, what history.What, who, text string) history.Event {
		return history.Event{T: x.Nanoseconds(), What: what, Who: who, Text: text}
	}
	var r Returns
	for _, late := range []time.Duration{0, 400 * time.Millisecond} {
		r.Add([]history.Event{
			at(0, history.Start, "r0", ""), at(time.Second, history.Phase, "r0", "serving"),
			at(5*time.Second, history.Start, "r0/2", againStart), at(5*time.Second, history.Start, "r1/2", replaceStart),
			at(5200*time.Millisecond+late, history.Phase, "r0/2", "serving"), at(6*time.Second, history.Phase, "r1/2", "serving"),
			at(5300*time.Millisecond, history.Log, "r0/2", `INF recovery stage entered after=300ms stage=admitting why="x"`),
		})
	}
	var b strings.Builder
	r.Write(&b)
	want := "| serves | 2 | 600ms | 600ms | 600ms | #### |\n| has a list | 2 | 300ms | 300ms | 300ms | ## |\n"
	if !strings.HasSuffix(b.String(), want) {
		t.Errorf("got\n%s", b.String())
	}
}
