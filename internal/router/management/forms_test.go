package management

import (
	"strings"
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The calls and figures of the management API must keep their names and order.
func TestCallsAndFiguresAreUnchanged(t *testing.T) {
	var calls, figures strings.Builder
	for _, call := range Calls {
		calls.WriteString(call.Name + "\n")
	}
	r := &scripted{phase: "serving", values: Values{Classes: []Class{{Name: "c"}}, ClosedConnections: []ClosedConnections{{Reason: "idle"}}, Fleet: &Fleet{}, Roles: &Roles{}, Recovery: &Recovery{}}}
	figures.WriteString(Answer("vars", r))
	formtest.Compare(t, "forms.txt", formtest.Document([2]string{"calls", calls.String()}, [2]string{"figures", figures.String()}))
}
