package transport

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The message that accompanies a moved connection must keep its fields, because the two processes
// may have different versions.
func TestHandoverMessageIsUnchanged(t *testing.T) {
	formtest.Compare(t, "moved.txt", formtest.Fields(movedConn{}, "json"))
}
