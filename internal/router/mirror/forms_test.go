package mirror

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The status of the shadow pools has the same fields.
func TestStatusFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "status.txt", formtest.Fields(Report{}, "json"))
}
