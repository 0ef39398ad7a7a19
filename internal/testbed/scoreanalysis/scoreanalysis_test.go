package scoreanalysis

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const entryText = `{"v":1,"id":"ab12","cmd":"score","site":"port","why":"a trial","days":[
 {"G":0.5,"name":"calm","seed":7,"score":0.4,"rules":{},"parts":[["whole day",0.6,0.9],["worst class",0.4,0.5]],"prices":[["machine-seconds",648.0,0.03],["cloud calls",0.0,0.0]]},
 {"G":0.3,"name":"rough","seed":8,"score":0.1,"rules":{"QUOTA":1,"CUT":0},"parts":[["whole day",0.6,0.5],["worst class",0.4,0.4]],"prices":[["machine-seconds",648.0,0.05]]}]}`

const reportText = `{"G":0.6,"breaks":{},"parts":[["whole day",0.6,0.95],["worst class",0.4,0.9]],"prices":[["machine-seconds",600.0,0.02]]}`

func read(t *testing.T, text string) *Account {
	t.Helper()
	a, err := Read(strings.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// A part loses its weight times the difference of its value from 1, and a price loses the worth that
// it took. The largest loss is first.
func TestRead(t *testing.T) {
	is := is.New(t)
	a := read(t, entryText)
	is.Equal(a.ID+" "+a.Site, "ab12 port")
	is.Equal(len(a.Days), 2)
	calm := a.Named("calm")
	is.Equal(calm.Losses[0].Cause, "worst class")
	is.Equal(calm.Lost("worst class"), 0.2)
	is.Equal(calm.Lost("machine-seconds"), 0.03)
	is.Equal(calm.Lost("nothing"), 0.0)
	is.Equal(len(calm.Broken), 0)
	is.Equal(a.Named("rough").Broken, []string{"QUOTA"})
	is.Equal(a.Mean()[0].Cause, "worst class")
	is.Equal(a.Named("none"), nil)

	one := read(t, reportText)
	is.Equal(len(one.Days), 1)
	is.True(!one.Days[0].Scored)
	is.Equal(one.Days[0].Worth, 0.6)
}

// Read returns an error for input that is neither a journal entry nor a report.
func TestReadNothing(t *testing.T) {
	for _, text := range []string{"", "{", "[]", "{}", `{"days":[{}]}`, `{"G":1,"parts":[[1,2,3]]}`, `{"G":1,"prices":"a"}`} {
		if a, err := Read(strings.NewReader(text)); err == nil {
			t.Errorf("%q was read as %v, want an error", text, a)
		}
	}
}

// Print with a second account also prints the differences between days of the same name.
func TestPrint(t *testing.T) {
	is := is.New(t)
	a, b := read(t, entryText), read(t, strings.Replace(entryText, "0.9]", "0.8]", 1))
	var out bytes.Buffer
	Print(&out, a, nil)
	text := strings.Join(strings.Fields(out.String()), " ")
	is.True(strings.Contains(text, "port, entry ab12: a trial"))
	is.True(strings.Contains(text, "calm 0.500 0.40 kept worst class 0.200, whole day 0.060, machine-seconds 0.030"))
	is.True(strings.Contains(text, "rough 0.300 0.10 broken: QUOTA"))
	is.True(strings.Contains(text, "mean"))
	out.Reset()
	Print(&out, a, b)
	is.True(strings.Contains(out.String(), "whole day 0.060 (-0.060)"))
}

// Read finds a day in at least one of the last 200 entries, by name, of this repository's own
// journal.
func TestJournal(t *testing.T) {
	files, err := filepath.Glob("../../../journal/2026*.json")
	if err != nil {
		t.Fatal(err)
	}
	days := 0
	for _, file := range files[max(len(files)-200, 0):] {
		text, err := os.Open(file)
		if err != nil {
			t.Fatal(err)
		}
		if a, err := Read(text); err == nil {
			days += len(a.Days)
		}
		text.Close()
	}
	if len(files) > 0 && days == 0 {
		t.Error("no journal entry that was read has a day")
	}
}
