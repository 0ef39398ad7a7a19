package mirror

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The fields of the shadow pools' status, which leaves the process, must not change.
func TestStatusFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "status.txt", formtest.Fields(Report{}, "json"))
}
