package quorum

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The encoded fields of messages, proposals and snapshots must not change, because voters of two
// versions work together.
func TestWireFormsAreUnchanged(t *testing.T) {
	formtest.Compare(t, "forms.txt", formtest.Document([2]string{"message", formtest.Fields(message{}, "json")},
		[2]string{"greeting", formtest.Fields(hello{}, "json")},
		[2]string{"proposal", formtest.Fields(proposal{}, "json")},
		[2]string{"state", formtest.Fields(snapshotContent{}, "json")}))
}
