package records

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The lines of compared answers have the same fields.
func TestFileFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "lines.txt", formtest.Fields(Record{}, "json"))
}
