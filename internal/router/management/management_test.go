package management

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// scripted is a Router that returns the values and errors that the test has set.
type scripted struct {
	phase  string
	values Values
	err    error
}

func (s *scripted) Accepting() (bool, string) { return s.phase == "serving", s.phase }
func (s *scripted) Values() Values            { return s.values }
func (s *scripted) View() ([]string, bool) {
	return []string{"view version=1"}, s.values.Fleet != nil
}
func (s *scripted) Roles() ([]string, bool) {
	return []string{"duties leader=r0"}, s.values.Roles != nil
}
func (s *scripted) Recovery() ([]string, bool) { return nil, false }
func (s *scripted) TransferRole(name, to string, token uint64) error {
	if token == 7 {
		return errors.New("nobody holds it")
	}
	return s.err
}
func (s *scripted) RebuildRoles(lost []string) error {
	if len(lost) == 0 {
		return errors.New("a majority may live")
	}
	return nil
}
func (s *scripted) Drain(on bool) (string, error) {
	if on {
		return "draining", s.err
	}
	return "serving", s.err
}

func TestAnswerToEachCall(t *testing.T) {
	for _, tt := range []struct {
		line, phase, want string
		err               error
	}{
		{"check", "serving", "+OK\n", nil},
		{"check\r", "serving", "+OK\n", nil},
		{"check", "listing", "-ERR listing\n", nil},
		{"check", "draining", "-ERR draining\n", nil},
		{"drain-on", "serving", "+OK draining\n", nil},
		{"drain-off", "draining", "+OK serving\n", nil},
		{"drain-off", "leaving", "-ERR no\n", errors.New("no")},
		{"view", "serving", "-ERR this router keeps no view of the fleet; the settings have no block fleet\n", nil},
		{"recovery", "serving", "-ERR this router keeps nothing of its last life; the settings have no block recovery\n", nil},
		{"duties", "serving", "-ERR this router has no duties; the settings have no block duties\n", nil},
		{"duty-give scribe", "serving", "-ERR say duty-give DUTY ROUTER [TOKEN], with * for whoever waits and the token of the holder, as duties tells it\n", nil},
		{"duty-give scribe r1 all", "serving", "-ERR say duty-give DUTY ROUTER [TOKEN], with * for whoever waits and the token of the holder, as duties tells it\n", nil},
		{"duty-give scribe r1 7", "serving", "-ERR nobody holds it\n", nil},
		{"duty-give scribe r1", "serving", "+OK\n", nil},
		{"duties-rebuild", "serving", "-ERR a majority may live\n", nil},
		{"duties-rebuild r1 r2", "serving", "+OK\n", nil},
		{"", "serving", "-ERR the line is empty; say check, vars, drain-on, drain-off, view, recovery, duties, duty-give or duties-rebuild\n", nil},
		{"Check", "serving", "-ERR \"Check\" is no call; say check, vars, drain-on, drain-off, view, recovery, duties, duty-give or duties-rebuild\n", nil},
	} {
		if got := Answer(tt.line, &scripted{phase: tt.phase, err: tt.err}); got != tt.want {
			t.Errorf("%q while %s: got %q, want %q", tt.line, tt.phase, got, tt.want)
		}
	}
}

// The first answer to vars already contains every figure, with the classes sorted by name and a
// final line ".".
func TestVarsHasEachFigureInOrder(t *testing.T) {
	s := &scripted{values: Values{AttemptsWritten: 9, OpenRequests: 4, ListedHosts: 10, ExcludedHosts: 2, ConfigsAccepted: 1, ConfigsInvalid: 3, PanicsRecovered: 5, MalformedAnswers: 6,
		Classes: []Class{{Name: `o"dd\`, Accepted: 8, Throttled: 8}, {Name: "C", Accepted: 834, Fulfilled: 812, Throttled: 5, Faulted: 6, Abandoned: 7, Moved: 2}}}}
	want := `+OK
edge_router_fulfilled_total{priority="C"} 812
edge_router_fulfilled_total{priority="o\"dd\\"} 0
edge_router_throttled_total{priority="C"} 5
edge_router_throttled_total{priority="o\"dd\\"} 8
edge_router_faulted_total{priority="C"} 6
edge_router_faulted_total{priority="o\"dd\\"} 0
edge_router_taken_total{priority="C"} 834
edge_router_taken_total{priority="o\"dd\\"} 8
edge_router_abandoned_total{priority="C"} 7
edge_router_abandoned_total{priority="o\"dd\\"} 0
edge_router_moved_total{priority="C"} 2
edge_router_moved_total{priority="o\"dd\\"} 0
edge_router_relayed_total 9
edge_router_open_requests 4
edge_router_registry_entries 10
edge_router_out_of_rotation 2
edge_router_cfg_accepted_total 1
edge_router_cfg_invalid_total 3
edge_router_panics_recovered_total 5
edge_router_malformed_answers_total 6
.
`
	if diff := cmp.Diff(want, Answer("vars", s)); diff != "" {
		t.Error(diff)
	}
}

// Any line gets exactly one answer, which begins with either +OK or -ERR. A refusal has one line.
func TestAnyLineGetsOneAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		got := Answer(rapid.String().Draw(t, "line"), &scripted{phase: "serving"})
		ok, refused := strings.HasPrefix(got, "+OK"), strings.HasPrefix(got, "-ERR ")
		if ok == refused || refused && strings.Count(got, "\n") != 1 {
			t.Errorf("got %q", got)
		}
	})
}

// The operators' page contains the tables exactly as Page generates them.
func TestOperatorsPageHasTheTables(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/service.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), Page()) {
		t.Errorf("docs/operators/service.md lacks:\n%s", Page())
	}
}
