package capture

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The fields of a capture's lines, which are stored, must not change.
func TestFileFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "lines.txt", formtest.Document([2]string{"first line", formtest.Fields(Header{}, "json")},
		[2]string{"request", formtest.Fields(Request{}, "json")}))
}
