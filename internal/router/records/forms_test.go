package records

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// Record must keep the JSON fields that testdata lists, because stored files contain them.
func TestFileFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "lines.txt", formtest.Fields(Record{}, "json"))
}
