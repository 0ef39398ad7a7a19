package settings

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The operators' settings file has the same blocks and fields, with the same types.
func TestSettingsFileFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "settings-file.txt", formtest.Fields(file{}, "hcl"))
}
