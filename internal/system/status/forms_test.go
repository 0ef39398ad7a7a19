package status

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// A router's status has the same fields at the same path, with the same types.
func TestStatusFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "status.txt", formtest.Document([2]string{Path, formtest.Fields(Router{}, "json")}))
}
