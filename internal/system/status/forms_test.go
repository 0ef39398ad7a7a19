package status

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The path of a router's status, its fields and their types are unchanged, so that operators' tools
// still work.
func TestStatusFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "status.txt", formtest.Document([2]string{Path, formtest.Fields(Router{}, "json")}))
}
