package experiment

import (
	"strings"
	"testing"
)

// Variants that differ by routers and load make one table. A cell without runs, or only with runs
// that broke a rule, has no number.
func TestScale(t *testing.T) {
	text := strings.ReplaceAll(good, "variant \"base\" {}", "variant \"base\" {\n  routers = 10\n  load = 1.5\n}")
	x, err := Parse([]byte(text), "day.hcl")
	if err != nil {
		t.Fatal(err)
	}
	run := func(variant string, g float64, broken string) KeptRun {
		k := KeptRun{Variant: variant, Broken: broken}
		k.Result.Worth, k.Result.Asked = g, 1
		k.Result.Classes = []struct{ Asked, Good uint64 }{{4, 3}}
		return k
	}
	s := x.ScaleOf([]KeptRun{run("base", 0.4, ""), run("base", 0.6, ""), run("single", 0.7, ""), run("single", 0.1, "a rule"), run("other", 1, "")})
	var out strings.Builder
	if err := s.WriteTable(&out); err != nil {
		t.Fatal(err)
	}
	want := `| load | 1 | 10 | lost from the first to the last | best class, first and last |
| --- | --- | --- | --- | --- |
| 1.5 | 0.700 | 0.500 | 0.200 | 0.750, 0.750 |
`
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
	none := x.ScaleOf(nil)
	out.Reset()
	if err := none.WriteTable(&out); err != nil || !strings.Contains(out.String(), "| 1.5 | - | - | - | -, - |") {
		t.Errorf("%v\n%s", err, out.String())
	}
	out.Reset()
	if err := WriteScalePage(&out, "day", s, s); err != nil || !strings.Contains(out.String(), "<svg") || !strings.Contains(out.String(), "before") {
		t.Errorf("%v\n%s", err, out.String())
	}
}
