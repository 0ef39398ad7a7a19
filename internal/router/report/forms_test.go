package report

import (
	"testing"

	"reachspread/internal/testbed/formtest"
)

// The report as JSON has the same fields.
func TestReportFormIsUnchanged(t *testing.T) {
	formtest.Compare(t, "report.txt", formtest.Fields(Report{}, "json"))
}
