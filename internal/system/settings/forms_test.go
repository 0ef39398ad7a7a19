package settings

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The fields of the settings file and their types are unchanged, so that existing files still work.
func TestSettingsFileFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "settings-file.txt", formtest.Fields(Settings{}, "toml"))
	if PathVariable != "REACHSPREAD_CONFIG" {
		t.Errorf("the environment variable is %s", PathVariable)
	}
}
