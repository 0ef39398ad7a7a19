package capacity

import (
	"os"
	"strings"
	"testing"
)

func samples(values ...float64) (all []Sample) {
	for i, v := range values {
		all = append(all, Sample{Slope: "s", Unit: "u", Over: "routers", Size: float64(10 * (i + 1)), Value: v})
	}
	return all
}

func TestFit(t *testing.T) {
	lines, err := Fit(append(samples(12, 22, 32, 42, 52), samples(14, 24, 34, 44, 54)...))
	if err != nil {
		t.Fatal(err)
	}
	l := lines[0]
	if l.PerUnit < 0.99 || l.PerUnit > 1.01 || l.At0 < 3.9 || l.At0 > 4.1 || !l.Linear() || !l.Extrapolated() {
		t.Errorf("got %+v, want the line 4 + 1 x size through the medians, linear and extrapolated", l)
	}
	if p := l.Points[0]; p.Repetitions != 2 || p.Spread < 0.14 || p.Spread > 0.15 {
		t.Errorf("the first point is %+v, want 2 repetitions and a spread of 0.14 to 0.15", p)
	}
}

// For a slope that is not linear, the table has no value at the planned size. A slope that was
// measured at too few sizes is an error.
func TestNonlinearSlopeHasNoPlannedValue(t *testing.T) {
	lines, err := Fit(samples(1, 4, 9, 16, 60))
	if err != nil {
		t.Fatal(err)
	}
	if lines[0].Linear() || !strings.Contains(Tables(lines), "not linear") {
		t.Errorf("the slope counts as linear: %+v", lines[0])
	}
	if _, err := Fit(samples(1, 2, 3, 4)); err == nil || !strings.Contains(err.Error(), "4 sizes") {
		t.Errorf("got %v, want an error that contains \"4 sizes\"", err)
	}
}

func TestBadResults(t *testing.T) {
	const good = "slope,unit,over,size,value\n"
	for text, want := range map[string]string{
		"":                         "line 1",
		"a,b\n":                    "line 1",
		good + "s,u,moons,1,2\n":   "line 2: over",
		good + "s,u,hosts,0,2\n":   "line 2: size",
		good + "s,u,hosts,1,-2\n":  "line 2: value",
		good + "s,u,hosts,1\n":     "record on line 2",
		good + "s,u,hosts,one,2\n": "line 2: size",
	} {
		if _, err := Read(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %q", text, err, want)
		}
	}
}

// docs/CAPACITY.md contains the tables that are computed from the stored results.
func TestPageAndResultsAgree(t *testing.T) {
	results, err := os.Open("../../../docs/measurements/capacity.csv")
	if err != nil {
		t.Fatal(err)
	}
	defer results.Close()
	all, err := Read(results)
	if err != nil {
		t.Fatal(err)
	}
	lines, err := Fit(all)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	if table := Tables(lines); !strings.Contains(string(page), table) {
		t.Errorf("docs/CAPACITY.md lacks:\n%s", table)
	}
}
