package metrics

import (
	"bytes"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"reachspread/internal/system/status"
	"reachspread/internal/testbed/formtest"
)

// fill sets each field of a value, so that each metric has a sample. Slices and maps get one
// element, numbers the value 2 and strings a word.
func fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0))
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key)
		fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString("word")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(2)
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(2)
	case reflect.Float64:
		v.SetFloat(2)
	default:
		panic("fill supports no values of kind " + v.Kind().String())
	}
}

// The names, types, labels and order of the metrics are unchanged, so that dashboards and alerts
// still work.
func TestFiguresAreUnchanged(t *testing.T) {
	s := &status.Router{}
	fill(reflect.ValueOf(s).Elem())
	var text bytes.Buffer
	if err := Write(&text, s); err != nil {
		t.Fatal(err)
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(bytes.NewReader(text.Bytes()))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	fmt.Fprintf(&out, "path %s\n", Path)
	for line := range strings.Lines(text.String()) {
		name, ok := strings.CutPrefix(line, "# TYPE ")
		if !ok {
			continue
		}
		name, _, _ = strings.Cut(name, " ")
		family := families[name]
		fmt.Fprintf(&out, "%s %s\n", name, strings.ToLower(family.GetType().String()))
		for _, sample := range family.Metric {
			var labels []string
			for _, label := range sample.Label {
				labels = append(labels, label.GetName()+"="+label.GetValue())
			}
			fmt.Fprintf(&out, "  {%s}\n", strings.Join(labels, ","))
		}
	}
	formtest.Compare(t, "figures.txt", out.String())
}
