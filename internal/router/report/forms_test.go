package report

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The fields of the report's JSON form must not change.
func TestReportFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "report.txt", formtest.Fields(Report{}, "json"))
}
