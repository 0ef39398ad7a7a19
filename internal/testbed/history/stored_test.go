package history

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"

	"reachspread/internal/testbed/golden"
)

// A Writer at commit 5bfcc27 wrote the file history.ndjson under testdata, by the command
// WRITE_GOLDEN=1 go test -run Golden.

// goldenEvents returns the beginning of a play, one event of each kind with its fields set, and one
// event for each outcome of a request.
func goldenEvents() []Event {
	all := []Event{{What: Begin, Play: &Play{Version: Version, World: "rig", Name: "upgrade", Seed: 1<<63 - 1, Routers: 3, Hosts: 2, Schedule: "fault \"kill\" {}\n",
		Slack: 5e8, Memory: 192 << 20, Sockets: 512, Leave: 7e8, Views: 3e9, Settle: 4e9}}}
	event := Event{T: 123456789, Who: "r0/2", ID: "x-1", Text: "words", PID: 4321, N: 3, Status: 503, How: Refused, Until: 9e9, Class: "chat", From: "r1", Conn: "c-7",
		Bytes: 300, Memory: 1 << 20, Descriptors: 40, CPU: 5e6, Routers: []int{1, 2}, Hosts: []int{3}, Links: []string{"peers", "hosts"}, All: true, Incarnation: 4, Token: 77,
		LeaseCheckedAt: 8e9, Op: &Op{Kind: "cas", Key: "k", Value: "r1/2", Old: "r2/1", Succeeded: true, Token: 76}}
	for _, what := range []What{Start, Phase, Ready, Unready, Log, Term, Exit, Usage, Unresponsive, Call, Return, Fault, Heal, Ask, First, Answer, Attempt, Done, Closed, ListApplied,
		HostOverloaded, OversizedDatagram, View, Invoke, OK, Act, Note, Bound, End} {
		event.What = what
		all = append(all, event)
	}
	for _, how := range []How{Complete, Broken, Refused, Failed, Unreached, Interrupted, None, Left} {
		all = append(all, Event{T: 5, What: Answer, ID: "x-2", How: how})
	}
	return all
}

// The stored history is read as it was written, and writing its events again gives the same bytes.
func TestGoldenHistory(t *testing.T) {
	want := goldenEvents()
	golden.Complete(t, want[0].Play)
	golden.Complete(t, want[1], "Event.Play", "Event.Withheld", "Event.Arrived")
	sameHistory(t, "history.ndjson", want)
}

// The same holds for a stored history with the field Withheld, which was added later.
func TestGoldenHistoryWithWithheld(t *testing.T) {
	usage := Event{T: 123456789, What: Usage, Who: "r0/2", Memory: 1 << 20, Descriptors: 40, CPU: 5e6, Withheld: 7e6}
	sameHistory(t, "history-withheld.ndjson", append(goldenEvents()[:1], usage))
}

// The same holds for a stored history with the field Arrived, which was added later.
func TestGoldenHistoryWithArrived(t *testing.T) {
	answer := Event{T: 123456789, What: Answer, ID: "x-2", Status: 503, How: Refused, Until: 9e9, Arrived: 123000000}
	sameHistory(t, "history-arrived.ndjson", append(goldenEvents()[:1], answer))
}

// sameHistory checks that writing events gives the bytes of a golden file, and that reading the file
// gives the events.
func sameHistory(t *testing.T, file string, want []Event) {
	t.Helper()
	var made bytes.Buffer
	w := NewWriter(&made)
	for i := range want {
		if err := w.Write(&want[i]); err != nil {
			t.Fatal(err)
		}
	}
	golden.Same(t, file, made.Bytes())
	got, err := Read(bytes.NewReader(golden.File(t, file, made.Bytes())))
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("%v\n%s", err, diff)
	}
}
