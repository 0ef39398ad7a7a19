package checker

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"reachspread/internal/testbed/faults"
)

// The operators' page has the same tables of checkers and of faults as the program.
func TestPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/rig.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), faults.Table()) {
		t.Error("the table of faults differs; reachlab faults prints it")
	}
	for _, c := range Checkers {
		if row := fmt.Sprintf("| `%s` | %s |\n", c.Name, c.Rule); !strings.Contains(string(page), row) {
			t.Errorf("the page lacks %s", row)
		}
	}
}
