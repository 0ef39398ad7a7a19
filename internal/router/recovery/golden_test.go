package recovery

import (
	"reflect"
	"testing"
	"time"

	"reachspread/internal/testbed/golden"
)

// Words, questions and replies have the bytes that they had at commit 5bfcc27, and are read from them.
func TestDatagramsKeepTheirBytes(t *testing.T) {
	word := Word{From: "router-1", Boot: 0xfedcba98, Up: 90 * time.Minute, Version: 1 << 40, Source: 0x0123456789abcdef, Stage: Admitting,
		Measure: Measure{Work: 17 * time.Millisecond, MeanWork: 2500 * time.Microsecond}}
	asks := Word{Asks: true, From: "r", Boot: 1}
	question := Question{From: "router-2", Tags: []uint32{1, 0xabcdef, 0xfedcba98}}
	reply := Reply{From: "router-3", Version: 300, Source: 0x0123456789abcdef, First: 0xabcdef, Of: 3, Not: []uint32{1, 0xfedcba98}}
	data := golden.Check(t, "datagrams", []golden.Record{
		{Name: "word", Data: word.Append()},
		{Name: "word-that-asks", Data: asks.Append()},
		{Name: "question", Data: question.Append()},
		{Name: "reply", Data: reply.Append()},
	})
	for name, want := range map[string]Event{"word": Heard{word}, "word-that-asks": Heard{asks}, "question": Asked{question}, "reply": Replied{reply}} {
		if got, err := Read(data[name]); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s is read as %+v, not %+v (%v)", name, got, want, err)
		}
	}
}
