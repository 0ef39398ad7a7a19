package configuration

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The operators' configuration document, the patch and the list of changes have the same fields,
// with the same types.
func TestDocumentFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "document.txt", formtest.Document([2]string{"configuration", formtest.Fields(Configuration{}, "json")},
		[2]string{"patch", formtest.Fields(patchJSON{}, "json")},
		[2]string{"change of a list", formtest.Fields(ListChange{}, "json")}))
}
