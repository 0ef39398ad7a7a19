package configuration

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The JSON fields of the configuration document, of patches and of list changes, and the types of
// these fields, equal those in testdata/document.txt.
func TestDocumentFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "document.txt", formtest.Document([2]string{"configuration", formtest.Fields(Configuration{}, "json")},
		[2]string{"patch", formtest.Fields(patchJSON{}, "json")},
		[2]string{"change of a list", formtest.Fields(ListChange{}, "json")}))
}
