package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The account command finds an entry by its file name or by its ID in the journal, and compares it
// with another entry.
func TestAccount(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	write := func(name, value string) string {
		path := filepath.Join(folder, name)
		text := `{"id":"x","site":"port","why":"w","days":[{"G":` + value + `,"name":"calm","parts":[["whole day",1.0,` + value + `]],"prices":[]}]}`
		is.NoErr(os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	one := write("20260101T000000-aaaa1111.json", "0.5")
	write("20260101T000001-bbbb2222.json", "0.25")
	call := func(args ...string) (string, error) {
		var out bytes.Buffer
		c := command()
		c.SetArgs(append([]string{"account", "--journal", folder}, args...))
		c.SetOut(&out)
		err := c.Execute()
		return out.String(), err
	}
	text, err := call(one, "--beside", "bbbb2222")
	is.NoErr(err)
	is.True(strings.Contains(text, "0.500 (+0.250)"))
	is.True(strings.Contains(text, "whole day 0.500 (-0.250)"))
	text, err = call("aaaa1111")
	is.NoErr(err)
	is.True(strings.Contains(text, "whole day 0.500"))
	_, err = call("cccc3333")
	is.True(err != nil && strings.Contains(err.Error(), "no such entry"))
}
