package settings

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The settings file of a router has the same fields, with the same types.
func TestSettingsFileFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "settings-file.txt", formtest.Fields(Settings{}, "toml"))
	if PathVariable != "REACHSPREAD_CONFIG" {
		t.Errorf("the environment variable is %s", PathVariable)
	}
}
