package transport

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// What goes with a connection that moves to another process has the same fields: the two may be of
// different versions.
func TestHandoverMessageIsUnchanged(t *testing.T) {
	formtest.Compare(t, "moved.txt", formtest.Fields(movedConn{}, "json"))
}
