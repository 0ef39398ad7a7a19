package settings

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The blocks, fields and types of the operators' settings file must not change.
func TestSettingsFileFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "settings-file.txt", formtest.Fields(file{}, "hcl"))
}
