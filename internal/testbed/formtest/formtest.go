// Package formtest describes the formats that programs outside this repository rely on: the names
// and types of fields, flags, calls and metrics. Tests compare a description with a file under
// testdata. So Go names may change freely, but a change of an external name fails a test.
//
// Only tests use this package. The code of commit 5bfcc27 made the files. A file may change only
// together with a change of the format that is announced to users.
package formtest

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// createVariable is the environment variable that makes Compare create a missing file. Compare never
// overwrites an existing file.
const createVariable = "FORMTEST_CREATE"

// Compare fails the test unless got equals testdata/name. It shows the lines that only one of them
// has.
func Compare(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name)
	want, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(createVariable) != "" {
		create(t, path, got)
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if string(want) == got {
		return
	}
	wantLines, gotLines := strings.Split(string(want), "\n"), strings.Split(got, "\n")
	for _, line := range wantLines {
		if !slices.Contains(gotLines, line) {
			t.Errorf("%s: the description lacks the line: %s", path, line)
		}
	}
	for _, line := range gotLines {
		if !slices.Contains(wantLines, line) {
			t.Errorf("%s: the file lacks the line: %s", path, line)
		}
	}
	if !t.Failed() {
		t.Errorf("%s: the description has the same lines in a different order or number; got\n%s", path, got)
	}
}

func create(t *testing.T, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Fields describes the fields of a value's type by the names in a struct tag, such as json, toml or
// hcl. There is one line for each field, with its path, its type and the options of its tag. The
// description does not contain the names of Go types that this module declares.
func Fields(value any, tag string) string {
	w := &walker{tag: tag}
	w.walk("", reflect.TypeOf(value), "", nil)
	return w.out.String()
}

// Document joins sections, each of which is a heading and a description.
func Document(sections ...[2]string) string {
	var out strings.Builder
	for i, section := range sections {
		if i > 0 {
			out.WriteByte('\n')
		}
		fmt.Fprintf(&out, "# %s\n%s", section[0], section[1])
	}
	return out.String()
}

// walker writes the description of a type.
type walker struct {
	tag string
	out strings.Builder
}

var (
	timeType     = reflect.TypeFor[time.Time]()
	durationType = reflect.TypeFor[time.Duration]()
)

// walk describes the type t at a path. The argument above lists the structs that enclose t, so that
// the description of a type that contains itself ends.
func (w *walker) walk(path string, t reflect.Type, options string, above []reflect.Type) {
	switch {
	case t == timeType:
		w.line(path, "time", options)
	case t == durationType:
		w.line(path, "duration (int64)", options)
	case t.Kind() == reflect.Pointer:
		w.walk(path, t.Elem(), strings.TrimSpace(options+" nullable"), above)
	case t.Kind() == reflect.Struct && slices.Contains(above, t):
		w.line(path, "as above", options)
	case t.Kind() == reflect.Struct:
		if path != "" {
			w.line(path, "object", options)
		}
		w.fields(path, t, append(slices.Clone(above), t))
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8:
		w.line(path, "bytes", options)
	case t.Kind() == reflect.Slice || t.Kind() == reflect.Array:
		w.walk(path+"[]", t.Elem(), options, above)
	case t.Kind() == reflect.Map:
		w.walk(path+"{"+t.Key().Kind().String()+"}", t.Elem(), options, above)
	default:
		w.line(path, t.Kind().String(), options)
	}
}

func (w *walker) line(path, kind, options string) {
	if options != "" {
		options = " (" + options + ")"
	}
	fmt.Fprintf(&w.out, "%s %s%s\n", strings.TrimPrefix(path, "."), kind, options)
}

// fields describes the fields of a struct. It leaves out fields that have no name in the encoded
// form, such as the body of an HCL block.
func (w *walker) fields(path string, t reflect.Type, above []reflect.Type) {
	for f := range fieldsOf(t) {
		text, tagged := f.Tag.Lookup(w.tag)
		name, options, _ := strings.Cut(text, ",")
		switch {
		case name == "-" || !f.IsExported() && !f.Anonymous:
			continue
		case f.Anonymous && name == "":
			inner := f.Type
			if inner.Kind() == reflect.Pointer {
				inner = inner.Elem()
			}
			w.fields(path, inner, above)
			continue
		case name == "" && tagged && w.tag == "hcl":
			continue
		case name == "":
			name = f.Name
		}
		w.walk(path+"."+name, f.Type, options, above)
	}
}

func fieldsOf(t reflect.Type) func(func(reflect.StructField) bool) {
	return func(yield func(reflect.StructField) bool) {
		for i := range t.NumField() {
			if !yield(t.Field(i)) {
				return
			}
		}
	}
}

// Commands describes a command line: each command with its aliases and flags, including hidden ones.
// The argument defaults maps the name of a flag whose default depends on the machine to the text
// that replaces this default.
func Commands(root *cobra.Command, defaults map[string]string) string {
	var out strings.Builder
	describe(&out, root, defaults)
	return out.String()
}

func describe(out *strings.Builder, c *cobra.Command, defaults map[string]string) {
	out.WriteString(c.CommandPath())
	if len(c.Aliases) > 0 {
		fmt.Fprintf(out, " (or %s)", strings.Join(c.Aliases, ", "))
	}
	if c.Hidden {
		out.WriteString(" (hidden)")
	}
	if c.DisableFlagParsing {
		out.WriteString(" (arguments as they are)")
	}
	out.WriteByte('\n')
	c.LocalFlags().VisitAll(func(f *pflag.Flag) { describeFlag(out, c, f, defaults) })
	for _, inner := range c.Commands() {
		describe(out, inner, defaults)
	}
}

func describeFlag(out *strings.Builder, c *cobra.Command, f *pflag.Flag, defaults map[string]string) {
	value := fmt.Sprintf("%q", f.DefValue)
	if text, ok := defaults[f.Name]; ok {
		value = text
	}
	fmt.Fprintf(out, "  --%s", f.Name)
	if f.Shorthand != "" {
		fmt.Fprintf(out, " -%s", f.Shorthand)
	}
	fmt.Fprintf(out, " %s = %s", f.Value.Type(), value)
	if f.NoOptDefVal != "" && f.NoOptDefVal != "true" {
		fmt.Fprintf(out, ", %q without a value", f.NoOptDefVal)
	}
	if f.Hidden {
		out.WriteString(" (hidden)")
	}
	if c.PersistentFlags().Lookup(f.Name) != nil {
		out.WriteString(" (and of the commands below)")
	}
	out.WriteByte('\n')
}
