package golden

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// File returns the content of testdata/name, which is stored data that an earlier version wrote. The
// argument made holds the bytes that the present code writes. With WRITE_GOLDEN=1, File creates a
// missing file with these bytes. It never overwrites an existing file, because the data on the disks
// of routers does not change with the code either.
func File(t testing.TB, name string, made []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) && os.Getenv(writeVariable) != "" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, made, 0o644); err != nil {
			t.Fatal(err)
		}
		return made
	}
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Same fails the test unless testdata/name has exactly the bytes in made, which the present code
// writes.
func Same(t testing.TB, name string, made []byte) {
	t.Helper()
	if text := File(t, name, made); string(text) != string(made) {
		t.Errorf("%s: the present code writes\n%q\nwant the content of the file\n%q", name, made, text)
	}
}

// Complete fails the test if an exported field of content is zero, because a golden file with a zero
// field does not show how the field is encoded. The fields in except, in the form Type.Field, may be
// zero.
func Complete(t testing.TB, content any, except ...string) {
	t.Helper()
	allowed := map[string]bool{}
	for _, name := range except {
		allowed[name] = true
	}
	for _, name := range zeroFields(reflect.ValueOf(content), "content") {
		if !allowed[name] {
			t.Errorf("%s is zero: the golden file does not show how this field is encoded", name)
		}
	}
}

// zeroFields returns the names, in the form Type.Field, of all exported fields within a value that
// are zero.
func zeroFields(v reflect.Value, name string) (zero []string) {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if !v.IsNil() {
			return zeroFields(v.Elem(), name)
		}
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			zero = append(zero, zeroFields(v.Index(i), name)...)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			zero = append(zero, zeroFields(v.MapIndex(key), name)...)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			fieldName := fmt.Sprintf("%s.%s", v.Type().Name(), field.Name)
			switch {
			case !field.IsExported():
			case v.Field(i).IsZero():
				zero = append(zero, fieldName)
			default:
				zero = append(zero, zeroFields(v.Field(i), fieldName)...)
			}
		}
	}
	return zero
}
