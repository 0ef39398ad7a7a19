package program

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The fields of the configuration file, of the lines that commands print as JSON, of the admission
// status and of the fleet's record must not change.
func TestProgramFormsAreUnchanged(t *testing.T) {
	formtest.Compare(t, "forms.txt", formtest.Document([2]string{"ROUTER_CONFIG", formtest.Fields(Config{}, "json")},
		[2]string{"line of the calls view, recovery and duties", formtest.Fields(Line{}, "json")},
		[2]string{"admission status", formtest.Fields(AdmissionStatus{}, "json")},
		[2]string{"record of the fleet", formtest.Fields(Record{}, "json")}))
}
